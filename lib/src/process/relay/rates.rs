//! Rates of organisations on a relay: messages over the links, records in the shared store.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;

use super::frame::ExchangeId;
use super::frame::Head;
use super::frame::encode_frame;
use super::link::LinkFailure;
use super::link_reply::PeerReply;
use super::node::RelayNode;
use super::rate_records::RateRecordCall;
use super::rate_records::RateRecordOutcome;
use super::rate_records::StoreWay;
use super::rate_records::THROUGH_NODE_TIMEOUT;
use super::rate_records::nodes_to_ask;
use super::settings::RawRelaySettings;
use super::store::SharedStore;
use super::store::StoreError;
use super::store::StoreRevision;
use super::store::StoreSwap;
use crate::process::events::relay as events;
use crate::process::membership::MemberTable;
use crate::process::membership::NodeRecord;
use crate::process::rates::FleetRates;
use crate::process::rates::HolderRecord;
use crate::process::rates::PeerStatus;
use crate::process::rates::RateNode;
use crate::process::rates::RatePlan;
use crate::process::rates::RateTransport;
use crate::process::rates::RecordAge;
use crate::process::rates::RecordCallError;
use crate::process::rates::RecordSwap;
use crate::process::rates::SettlementReport;
use crate::process::rates::StoredHolderRecord;
use crate::process::rates::TokenReply;
use crate::process::rates::TokenRequest;
use crate::process::rates::ZoneLayout;
use crate::values::Clock;
use crate::values::Incarnation;
use crate::values::NodeId;
use crate::values::TokenCount;
use crate::values::ZoneId;
use crate::version::Organisation;
use crate::version::TrafficPlan;

/// Prefix of the zones' holder records in the store.
const RECORD_PREFIX: &str = "rates/";
/// Timeout for the status of another node, several round trips between zones.
const STATUS_TIMEOUT: Duration = Duration::from_millis(200);

/// Creates the rates of a node, which has no tokens and is not the holder of its zone.
pub(super) fn new_rates(
    node: &Weak<RelayNode>,
    settings: &RawRelaySettings,
    clock: Clock,
    store: Arc<dyn SharedStore>,
) -> FleetRates {
    let own = RateNode {
        node: settings.node.clone(),
        incarnation: Incarnation(clock.wall().0),
        zone: settings.zone.clone(),
        address: settings.listen.peers,
    };
    let transport = LinkTransport {
        node: Weak::clone(node),
        store,
        way: StoreWay::default(),
    };
    FleetRates::new(&own, clock, Arc::new(transport))
}

/// Returns the limits of a configuration, shared equally by `zones`.
///
/// A bucket must have room for one token, so a limit without a burst gets a burst of one.
pub fn rate_plan<'a>(plan: &TrafficPlan, zones: impl Iterator<Item = &'a ZoneId>) -> RatePlan {
    let organisations = plan.organisations.values().filter_map(|limits| {
        let organisation = Organisation {
            id: limits.id.clone(),
            rate_per_s: limits.rate_per_s?,
            burst_tokens: limits.burst.max(TokenCount(1)),
        };
        Some((limits.id.clone(), organisation))
    });
    RatePlan {
        layout: ZoneLayout {
            weights: zones.map(|zone| (zone.clone(), 1)).collect(),
        },
        organisations: organisations.collect(),
    }
}

/// Sends messages about rates over the connections to other nodes.
struct LinkTransport {
    node: Weak<RelayNode>,
    store: Arc<dyn SharedStore>,
    way: StoreWay,
}

impl LinkTransport {
    /// Calls the store for the holder record of a zone: directly, or through other nodes while the store
    /// turns this one away.
    async fn call_record(
        &self,
        node: &Arc<RelayNode>,
        zone: &ZoneId,
        call: &RateRecordCall,
    ) -> RateRecordOutcome {
        let is_read = *call == RateRecordCall::Read;
        let nodes = nodes_to_ask(node);
        if nodes.is_empty() || !self.way.is_closed(node.clock.now()) {
            let direct = call_store(node, zone.clone(), call.clone()).await;
            let has_reached = !matches!(
                direct,
                RateRecordOutcome::NotRun | RateRecordOutcome::MayHaveRun
            );
            self.way.record(has_reached, node.clock.now());
            match direct {
                RateRecordOutcome::NotRun => {}
                direct => return direct,
            }
        }
        for record in nodes {
            let (zone, call) = (zone.clone(), call.clone());
            let exchange = self.exchange(&record, move |exchange| Head::RateRecordRequest {
                exchange,
                zone,
                call,
            });
            let outcome = match tokio::time::timeout(THROUGH_NODE_TIMEOUT, exchange).await {
                Ok(Some(PeerReply::RateRecord(outcome))) => outcome,
                Ok(_) | Err(_) => RateRecordOutcome::MayHaveRun,
            };
            match outcome {
                RateRecordOutcome::NotRun => {}
                RateRecordOutcome::MayHaveRun if is_read => {}
                outcome => return outcome,
            }
        }
        RateRecordOutcome::NotRun
    }

    /// Sends the message that `head` returns to a node, and waits for its reply.
    fn exchange(
        &self,
        record: &NodeRecord,
        head: impl FnOnce(ExchangeId) -> Head<'static> + Send + 'static,
    ) -> BoxFuture<'static, Option<PeerReply>> {
        let node = self.node.upgrade();
        let record = record.clone();
        async move {
            let node = node?;
            if node.links.is_unresponsive(&record) {
                return None;
            }
            let link = node.links.get(&record).await;
            let encode =
                |exchange| encode_frame(&head(exchange), &[]).map_err(|_| LinkFailure::NotSent);
            let reply = link.ok()?.exchange(encode).await;
            Some(reply.ok()?.reply)
        }
        .boxed()
    }

    /// Sends a message that gets no reply. It may be lost.
    fn notify(&self, record: &NodeRecord, head: Head<'static>) -> BoxFuture<'static, ()> {
        let node = self.node.upgrade();
        let record = record.clone();
        async move {
            let Some(node) = node else {
                return;
            };
            let link = node.links.get(&record).await;
            if let Ok(link) = link {
                // A lost report loses tokens and creates none; a lost notice only delays a takeover.
                let _ = link.queue(&head, &[]);
            }
        }
        .boxed()
    }

    fn record_call<T>(&self, result: &Result<T, StoreError>) {
        if let Some(node) = self.node.upgrade() {
            record_store_call(&node, result);
        }
    }
}

impl Clone for LinkTransport {
    fn clone(&self) -> Self {
        Self {
            node: Weak::clone(&self.node),
            store: Arc::clone(&self.store),
            way: self.way.clone(),
        }
    }
}

impl RateTransport for LinkTransport {
    fn members(&self) -> Arc<MemberTable> {
        let node = self.node.upgrade();
        node.map_or_else(Arc::default, |node| node.members())
    }

    fn is_leaving(&self) -> bool {
        self.node.upgrade().is_none_or(|node| node.is_stopping())
    }

    fn request_tokens(
        &self,
        holder: &NodeRecord,
        request: TokenRequest,
    ) -> BoxFuture<'static, Option<TokenReply>> {
        let reply = self.exchange(holder, |exchange| match request.returns {
            Some(returns) => Head::TokenRequestWithReturns {
                exchange,
                request,
                returns,
            },
            None => Head::TokenRequest { exchange, request },
        });
        async move {
            match reply.await? {
                PeerReply::Tokens(reply) => Some(reply),
                _ => None,
            }
        }
        .boxed()
    }

    fn report_tokens(
        &self,
        holder: &NodeRecord,
        report: SettlementReport,
    ) -> BoxFuture<'static, ()> {
        self.notify(holder, Head::TokenReport { report })
    }

    fn request_status(&self, node: &NodeRecord) -> BoxFuture<'static, Option<PeerStatus>> {
        let reply = self.exchange(node, |exchange| Head::RateStatusRequest { exchange });
        async move {
            match tokio::time::timeout(STATUS_TIMEOUT, reply).await {
                Ok(Some(PeerReply::RateStatus(status))) => Some(status),
                Ok(_) | Err(_) => None,
            }
        }
        .boxed()
    }

    fn notify_release(&self, node: &NodeRecord) -> BoxFuture<'static, ()> {
        self.notify(node, Head::RateHolderReleased)
    }

    fn read_record(
        &self,
        zone: &ZoneId,
        age: RecordAge,
    ) -> BoxFuture<'static, Result<Option<StoredHolderRecord>, RecordCallError>> {
        let key = format!("{RECORD_PREFIX}{zone}");
        let (transport, zone) = (self.clone(), zone.clone());
        async move {
            let node = transport.node.upgrade().ok_or(RecordCallError::NotRun)?;
            let own_id = &node.settings.raw.node;
            if age == RecordAge::Recent {
                let read = transport.store.get_recent(&key).await;
                transport.record_call(&read);
                let found = read.map_err(|_| RecordCallError::NotRun)?;
                return Ok(found
                    .content
                    .map(|item| decode_record(&key, &item.value, item.revision.0, own_id)));
            }
            let call = RateRecordCall::Read;
            match transport.call_record(&node, &zone, &call).await {
                RateRecordOutcome::Read(found) => Ok(
                    found.map(|(revision, value)| decode_record(&key, &value, revision, own_id))
                ),
                _ => Err(RecordCallError::NotRun),
            }
        }
        .boxed()
    }

    fn swap_record(
        &self,
        zone: &ZoneId,
        expected: Option<u64>,
        record: &HolderRecord,
    ) -> BoxFuture<'static, Result<RecordSwap, RecordCallError>> {
        let record = serde_json::to_vec(record);
        let (transport, zone) = (self.clone(), zone.clone());
        async move {
            let record = record.map_err(|_| RecordCallError::NotRun)?;
            let node = transport.node.upgrade().ok_or(RecordCallError::NotRun)?;
            let call = RateRecordCall::Swap { expected, record };
            let outcome = transport.call_record(&node, &zone, &call).await;
            outcome.into_swap()
        }
        .boxed()
    }
}

/// Calls the store for the holder record of a zone.
pub(super) fn call_store(
    node: &Arc<RelayNode>,
    zone: ZoneId,
    call: RateRecordCall,
) -> BoxFuture<'static, RateRecordOutcome> {
    let node = Arc::clone(node);
    let key = format!("{RECORD_PREFIX}{zone}");
    async move {
        match call {
            RateRecordCall::Read => {
                let read = node.store.get(&key).await;
                record_store_call(&node, &read);
                let item = read.map(|found| found.content);
                item.map_or(RateRecordOutcome::NotRun, |item| {
                    let item = item.map(|item| (item.revision.0, item.value.to_vec()));
                    RateRecordOutcome::Read(item)
                })
            }
            RateRecordCall::Swap { expected, record } => {
                let expected = expected.map(StoreRevision);
                let swap = node.store.swap(&key, expected, Bytes::from(record)).await;
                record_store_call(&node, &swap);
                match swap {
                    Ok(StoreSwap::Done(revision)) => RateRecordOutcome::Swapped(revision.0),
                    Ok(StoreSwap::Conflict) => RateRecordOutcome::Conflict,
                    Err(StoreError::NotDone { .. }) => RateRecordOutcome::NotRun,
                    Err(_) => RateRecordOutcome::MayHaveRun,
                }
            }
        }
    }
    .boxed()
}

fn record_store_call<T>(node: &RelayNode, result: &Result<T, StoreError>) {
    node.metrics.record_store_call(result.is_ok());
    if let Err(error) = result {
        node.metrics.record_store_error(error);
    }
}

/// Decodes a record. In place of one that another writer corrupted, returns one of an ended process
/// of this node.
fn decode_record(key: &str, value: &[u8], revision: u64, own_id: &NodeId) -> StoredHolderRecord {
    let decoded = serde_json::from_slice::<HolderRecord>(value);
    let reason = match decoded {
        Ok(record) if record.is_plausible() => return StoredHolderRecord { record, revision },
        Ok(record) => format!("epoch {} or renewals out of range", record.epoch),
        Err(error) => error.to_string(),
    };
    events::STORED_UNREADABLE.log(format_args!("key={key} reason=\"{reason}\""));
    StoredHolderRecord {
        record: HolderRecord::unreadable(own_id.clone(), revision),
        revision,
    }
}
