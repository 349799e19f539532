//! Rates of organisations on a node: messages over the control channel, records in the platform's
//! service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;

use super::Node;
use crate::process::control;
use crate::process::control::ControlClient;
use crate::process::control::ControlHttpClient;
use crate::process::membership::MemberTable;
use crate::process::membership::NodeRecord;
use crate::process::platform::PlatformClient;
use crate::process::platform::PlatformError;
use crate::process::platform::PlatformKey;
use crate::process::platform::PlatformSettings;
use crate::process::platform::PlatformValue;
use crate::process::platform::Revision;
use crate::process::platform::StoredValue;
use crate::process::platform::SwapReply;
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
use crate::values::Incarnation;
use crate::values::ZoneId;

/// Timeout of a control call about rates.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a call to the platform's service, in milliseconds.
const PLATFORM_CALL_TIMEOUT_MS: u64 = 500;

/// Maximum rate of calls to the platform's service, per second.
const PLATFORM_CALLS_PER_S: u32 = 20;

/// Interval between checks for a new configuration.
const CONFIGURE_PERIOD: Duration = Duration::from_millis(20);

/// Creates the rates of a node, which has no tokens and is not the holder of its zone.
pub(super) fn new_rates(node: &Arc<Node>) -> FleetRates {
    let settings = &node.settings;
    let own = RateNode {
        node: settings.node.clone(),
        incarnation: Incarnation(node.clock.wall().0),
        zone: settings.zone.clone(),
        address: node.addresses.peer,
    };
    let platform = PlatformSettings {
        zone: Some(settings.zone.clone()),
        call_timeout_ms: PLATFORM_CALL_TIMEOUT_MS,
        calls_per_s: PLATFORM_CALLS_PER_S,
        ..PlatformSettings::new(settings.platform)
    };
    let transport = ControlTransport {
        node: Arc::downgrade(node),
        platform: Arc::new(PlatformClient::new(&platform)),
        clients: Mutex::default(),
    };
    FleetRates::new(&own, node.clock, Arc::new(transport))
}

/// Puts the limits of newer configurations in force, until the future is dropped.
pub(super) async fn configure_rates(node: Arc<Node>) {
    let mut period = tokio::time::interval(CONFIGURE_PERIOD);
    let mut version = None;
    loop {
        period.tick().await;
        match node.configuration() {
            Ok(configuration) if Some(configuration.version) > version => {
                version = Some(configuration.version);
                let plan = RatePlan::from(configuration.as_ref());
                node.rates().configure(&Arc::new(plan));
            }
            _ => {}
        }
    }
}

/// Sends messages about rates over the control channel.
struct ControlTransport {
    node: Weak<Node>,
    platform: Arc<PlatformClient>,
    clients: Mutex<HashMap<SocketAddr, ControlHttpClient>>,
}

impl ControlTransport {
    /// Returns a cached client of a node's control channel; none if it cannot be created.
    fn client(&self, record: &NodeRecord) -> Option<ControlHttpClient> {
        let address = record.addresses.control;
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        let node = self.node.upgrade()?;
        let client = control::connect(address, &node.settings.fleet_secret, CALL_TIMEOUT).ok()?;
        clients.insert(address, client.clone());
        Some(client)
    }
}

impl RateTransport for ControlTransport {
    fn members(&self) -> Arc<MemberTable> {
        let node = self.node.upgrade();
        node.map_or_else(Arc::default, |node| node.members())
    }

    fn is_leaving(&self) -> bool {
        self.node.upgrade().is_none_or(|node| node.is_draining())
    }

    fn request_tokens(
        &self,
        holder: &NodeRecord,
        request: TokenRequest,
    ) -> BoxFuture<'static, Option<TokenReply>> {
        let client = self.client(holder);
        async move { client?.ask_tokens(request).await.ok() }.boxed()
    }

    fn report_tokens(
        &self,
        holder: &NodeRecord,
        report: SettlementReport,
    ) -> BoxFuture<'static, ()> {
        let client = self.client(holder);
        async move {
            if let Some(client) = client {
                // A lost report can only lose tokens, never create them.
                let _ = client.report_tokens(report).await;
            }
        }
        .boxed()
    }

    fn request_status(&self, node: &NodeRecord) -> BoxFuture<'static, Option<PeerStatus>> {
        let client = self.client(node);
        async move { client?.rate_holder_standing().await.ok() }.boxed()
    }

    fn notify_release(&self, node: &NodeRecord) -> BoxFuture<'static, ()> {
        let client = self.client(node);
        async move {
            if let Some(client) = client {
                // A candidate that does not receive this learns of it with its next read.
                let _ = client.rate_holder_released().await;
            }
        }
        .boxed()
    }

    fn read_record(
        &self,
        zone: &ZoneId,
        _age: RecordAge,
    ) -> BoxFuture<'static, Result<Option<StoredHolderRecord>, RecordCallError>> {
        let platform = Arc::clone(&self.platform);
        let key = PlatformKey::RateHolder(zone.clone());
        async move {
            match platform.get(&key).await {
                Ok(None) => Ok(None),
                Ok(Some(stored)) => decode_record(&stored).map(Some),
                Err(error) => Err(call_error(&error)),
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
        let platform = Arc::clone(&self.platform);
        let key = PlatformKey::RateHolder(zone.clone());
        let value = encode_record(record);
        async move {
            let value = value.ok_or(RecordCallError::NotRun)?;
            let expected = expected.map(Revision);
            match platform
                .compare_and_swap(&key, expected, &value, None)
                .await
            {
                Ok(SwapReply::Done(revision)) => Ok(RecordSwap::Done(revision.0)),
                Ok(SwapReply::Conflict(_)) => Ok(RecordSwap::Conflict),
                Err(error) => Err(call_error(&error)),
            }
        }
        .boxed()
    }
}

fn call_error(error: &PlatformError) -> RecordCallError {
    match error.may_have_run() {
        true => RecordCallError::MayHaveRun,
        false => RecordCallError::NotRun,
    }
}

fn decode_record(stored: &StoredValue) -> Result<StoredHolderRecord, RecordCallError> {
    let record = serde_json::from_str(stored.value.as_str());
    Ok(StoredHolderRecord {
        record: record.map_err(|_| RecordCallError::NotRun)?,
        revision: stored.revision.0,
    })
}

fn encode_record(record: &HolderRecord) -> Option<PlatformValue> {
    let text = serde_json::to_string(record).ok()?;
    PlatformValue::try_from(text).ok()
}
