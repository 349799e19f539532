//! Acquires and renews the lease on the rates of a node's zone, through the platform service.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::process::control::ControlClient;
use crate::process::membership::NodeRecord;
use crate::process::platform::PlatformClient;
use crate::process::platform::PlatformError;
use crate::process::platform::PlatformKey;
use crate::process::platform::PlatformSettings;
use crate::process::platform::PlatformValue;
use crate::process::platform::Revision;
use crate::process::platform::StoredValue;
use crate::process::platform::SwapReply;
use crate::process::rates::HolderLease;
use crate::process::rates::HolderRecord;
use crate::process::rates::LeaseAction;
use crate::process::rates::PeerStatus;
use crate::process::rates::RecordWrite;
use crate::process::rates::holder_candidates;
use crate::values::ZoneId;

/// Interval between checks of the lease.
const PERIOD: Duration = Duration::from_millis(100);

/// Timeout of a call to the platform service, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 500;

/// Maximum rate of calls to the platform service, per second.
const CALLS_PER_S: u32 = 20;

/// Acquires, renews and releases the lease on the rates of a node's zone.
pub(super) struct HolderLeaseTask {
    node: Arc<Node>,
    platform: PlatformClient,
    key: PlatformKey,
    /// The revision of the record that the lease last read or wrote.
    revision: Option<Revision>,
}

impl HolderLeaseTask {
    /// Creates the task of `node`; it has read no record yet.
    pub fn new(node: Arc<Node>) -> Self {
        let settings = PlatformSettings {
            zone: Some(node.settings.zone.clone()),
            call_timeout_ms: CALL_TIMEOUT_MS,
            calls_per_s: CALLS_PER_S,
            ..PlatformSettings::new(node.settings.platform)
        };
        Self {
            platform: PlatformClient::new(&settings),
            key: PlatformKey::RateHolder(node.settings.zone.clone()),
            node,
            revision: None,
        }
    }

    /// Acquires, renews and watches the lease. Releases it and returns when the node is draining.
    pub async fn run(mut self) {
        let mut period = tokio::time::interval(PERIOD);
        period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            period.tick().await;
            if self.node.is_draining() {
                return self.release().await;
            }
            self.request_promises().await;
            let service = Arc::clone(&self.node.rates().service);
            match service.next_lease_action(self.is_candidate()) {
                LeaseAction::Wait => {}
                LeaseAction::Read => self.read().await,
                LeaseAction::Write(write) => self.write(write).await,
            }
        }
    }

    fn is_candidate(&self) -> bool {
        let settings = &self.node.settings;
        let candidates = holder_candidates(&settings.zone, &self.node.members());
        !self.node.is_draining() && candidates.contains(&settings.node)
    }

    /// Releases the lease, so that another node can acquire it immediately.
    async fn release(&self) {
        let service = &self.node.rates().service;
        let Some(value) = service.release().and_then(|write| value_of(&write.record)) else {
            return;
        };
        let swap = self
            .platform
            .compare_and_swap(&self.key, self.revision, &value, None);
        // If the write fails, another node takes over when the lease has expired.
        if let Ok(SwapReply::Done(_)) = swap.await {
            self.notify_candidates().await;
        }
    }

    /// Notifies the candidate holders that the lease is free.
    async fn notify_candidates(&self) {
        let members = self.node.members();
        let candidates = holder_candidates(&self.node.settings.zone, &members);
        let others = candidates
            .iter()
            .filter(|id| **id != self.node.settings.node);
        let calls = others.filter_map(|id| {
            let address = members.node(id)?.addresses.control;
            let client = self.node.rates().control_client(&self.node, address)?;
            // A candidate that does not receive this learns of it with its next read.
            Some(async move { client.rate_holder_released().await.ok() })
        });
        futures::future::join_all(calls).await;
    }

    async fn read(&mut self) {
        let reply = self.platform.get(&self.key).await;
        let service = &self.node.rates().service;
        match reply {
            Ok(None) => {
                self.revision = None;
                service.with_lease(|lease, now| lease.record_read(None, now));
            }
            Ok(Some(stored)) if parse(&stored).is_some() => {
                self.revision = Some(stored.revision);
                service.with_lease(|lease, now| lease.record_read(parse(&stored), now));
            }
            Ok(Some(_)) | Err(_) => service.with_lease(|lease, _| lease.platform_unreachable()),
        }
    }

    async fn write(&mut self, write: RecordWrite) {
        let Some(value) = value_of(&write.record) else {
            return;
        };
        let reply = self
            .platform
            .compare_and_swap(&self.key, self.revision, &value, None)
            .await;
        let service = &self.node.rates().service;
        match reply {
            Ok(SwapReply::Done(revision)) => {
                self.revision = Some(revision);
                service.with_lease(|lease, now| lease.write_succeeded(now));
                self.read_other_zones().await;
            }
            Ok(SwapReply::Conflict(_)) => {
                service.with_lease(|lease, now| lease.write_conflicted(now))
            }
            Err(error) => service.with_lease(|lease, _| write_failed(lease, &error)),
        }
    }

    /// Reads the records of other zones while zones may split rates differently from each other.
    async fn read_other_zones(&self) {
        let service = &self.node.rates().service;
        let Some(zones) = service.zones_to_read() else {
            return;
        };
        let reads = zones.into_iter().map(|zone| self.read_other_zone(zone));
        let records: Option<Vec<_>> = futures::future::join_all(reads).await.into_iter().collect();
        if let Some(records) = records {
            service.zones_read(&records);
        }
    }

    /// Returns `None` if the record cannot be read, and `Some(None)` if the zone has no record.
    async fn read_other_zone(&self, zone: ZoneId) -> Option<Option<HolderRecord>> {
        let key = PlatformKey::RateHolder(zone);
        match self.platform.get(&key).await {
            Ok(Some(stored)) => Some(Some(parse(&stored)?)),
            Ok(None) => Some(None),
            Err(_) => None,
        }
    }

    /// Requests promises from all nodes of the zone that are not known to be dead, while the
    /// platform service is unreachable.
    async fn request_promises(&self) {
        let service = &self.node.rates().service;
        let needed = service.with_lease(|lease, now| lease.needs_promises(now).then_some(now));
        let Some(requested_at) = needed else {
            return;
        };
        let members = self.node.members();
        let peers = members.nodes().filter(|record| self.is_live_peer(record));
        let requests = peers.map(|record| self.peer_status_of(record));
        let statuses = futures::future::join_all(requests).await;
        service.with_lease(|lease, _| lease.apply_promises(&statuses, requested_at));
    }

    fn is_live_peer(&self, record: &NodeRecord) -> bool {
        let settings = &self.node.settings;
        record.zone == settings.zone && record.id != settings.node && record.accepts_work()
    }

    async fn peer_status_of(&self, record: &NodeRecord) -> Option<PeerStatus> {
        let client = self
            .node
            .rates()
            .control_client(&self.node, record.addresses.control)?;
        client.rate_holder_standing().await.ok()
    }
}

fn write_failed(lease: &mut HolderLease, error: &PlatformError) {
    match error.may_have_run() {
        true => lease.platform_unreachable(),
        false => lease.write_not_sent(),
    }
}

fn parse(stored: &StoredValue) -> Option<HolderRecord> {
    serde_json::from_str(stored.value.as_str()).ok()
}

fn value_of(record: &HolderRecord) -> Option<PlatformValue> {
    let text = serde_json::to_string(record).ok()?;
    PlatformValue::try_from(text).ok()
}
