//! A planned stop of the node that holds the rates of its zone.

use std::sync::Arc;
use std::time::Duration;

use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::rates::FleetRates;
use balsamfold::process::rates::HolderRecord;
use balsamfold::process::rates::PeerStatus;
use balsamfold::process::rates::RateNode;
use balsamfold::process::rates::RatePlan;
use balsamfold::process::rates::RateTransport;
use balsamfold::process::rates::RecordAge;
use balsamfold::process::rates::RecordCallError;
use balsamfold::process::rates::RecordSwap;
use balsamfold::process::rates::SettlementReport;
use balsamfold::process::rates::StoredHolderRecord;
use balsamfold::process::rates::TokenReply;
use balsamfold::process::rates::TokenRequest;
use balsamfold::process::rates::ZoneLayout;
use balsamfold::values::Clock;
use balsamfold::values::Incarnation;
use balsamfold::values::ZoneId;
use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;

/// Only a hanging test reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct State {
    members: Arc<MemberTable>,
    record: Option<StoredHolderRecord>,
    is_leaving: bool,
    is_store_cut: bool,
    reads_while_cut: usize,
}

/// A store that can be cut off, and no other nodes.
#[derive(Clone, Default)]
struct LoneTransport(Arc<Mutex<State>>);

impl RateTransport for LoneTransport {
    fn members(&self) -> Arc<MemberTable> {
        Arc::clone(&self.0.lock().members)
    }

    fn is_leaving(&self) -> bool {
        self.0.lock().is_leaving
    }

    fn request_tokens(
        &self,
        _holder: &NodeRecord,
        _request: TokenRequest,
    ) -> BoxFuture<'static, Option<TokenReply>> {
        std::future::ready(None).boxed()
    }

    fn report_tokens(
        &self,
        _holder: &NodeRecord,
        _report: SettlementReport,
    ) -> BoxFuture<'static, ()> {
        std::future::ready(()).boxed()
    }

    fn request_status(&self, _node: &NodeRecord) -> BoxFuture<'static, Option<PeerStatus>> {
        std::future::ready(None).boxed()
    }

    fn notify_release(&self, _node: &NodeRecord) -> BoxFuture<'static, ()> {
        std::future::ready(()).boxed()
    }

    fn read_record(
        &self,
        _zone: &ZoneId,
        _age: RecordAge,
    ) -> BoxFuture<'static, Result<Option<StoredHolderRecord>, RecordCallError>> {
        let mut state = self.0.lock();
        let result = match state.is_store_cut {
            true => Err(RecordCallError::MayHaveRun),
            false => Ok(state.record.clone()),
        };
        state.reads_while_cut += usize::from(state.is_store_cut);
        std::future::ready(result).boxed()
    }

    fn swap_record(
        &self,
        _zone: &ZoneId,
        expected: Option<u64>,
        record: &HolderRecord,
    ) -> BoxFuture<'static, Result<RecordSwap, RecordCallError>> {
        let mut state = self.0.lock();
        let stored = state.record.as_ref().map(|stored| stored.revision);
        let result = match stored {
            _ if state.is_store_cut => Err(RecordCallError::MayHaveRun),
            stored if stored != expected => Ok(RecordSwap::Conflict),
            stored => {
                let revision = stored.unwrap_or_default() + 1;
                state.record = Some(StoredHolderRecord {
                    record: record.clone(),
                    revision,
                });
                Ok(RecordSwap::Done(revision))
            }
        };
        std::future::ready(result).boxed()
    }
}

async fn wait_until(reached: impl Fn() -> bool) {
    let waiting = async {
        while !reached() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(HANG_TIMEOUT, waiting).await;
    waited.expect("the condition holds before the timeout");
}

/// Guards against a cut-off zone without a holder: a holder that stopped as planned gave its role up
/// although no other node could take it over.
#[tokio::test]
async fn leaving_holder_keeps_its_role_until_the_store_is_reachable() {
    let address = "127.0.0.1:7000".parse().expect("valid address");
    let own = RateNode {
        node: "node-1".parse().expect("valid name"),
        incarnation: Incarnation(1),
        zone: "zone-a".parse().expect("valid name"),
        address,
    };
    let record = NodeRecord {
        id: own.node.clone(),
        zone: own.zone.clone(),
        addresses: NodeAddresses {
            peer: address,
            control: address,
            probe: address,
        },
        incarnation: own.incarnation,
        condition: NodeCondition::Alive,
        server: None,
    };
    let transport = LoneTransport::default();
    transport.0.lock().members = Arc::new(MemberTable::new([record]));
    let rates = FleetRates::new(&own, Clock::start(), Arc::new(transport.clone()));
    rates.configure(&Arc::new(RatePlan {
        layout: ZoneLayout {
            weights: [(own.zone.clone(), 1)].into(),
        },
        organisations: [].into(),
    }));
    let tasks = rates.start();
    wait_until(|| rates.service.is_holder()).await;
    {
        let mut state = transport.0.lock();
        state.is_store_cut = true;
        state.is_leaving = true;
    }
    wait_until(|| transport.0.lock().reads_while_cut >= 3 || !rates.service.is_holder()).await;
    assert!(rates.service.is_holder());
    transport.0.lock().is_store_cut = false;
    tasks.stop().await;
    let stored = transport.0.lock().record.clone();
    assert!(stored.is_some_and(|stored| stored.record.released));
    assert!(!rates.service.is_holder());
}
