//! Acquires and renews the lease on the rates of a node's zone, through the shared store.

use std::sync::Arc;
use std::time::Duration;

use super::HolderLease;
use super::HolderRecord;
use super::HolderService;
use super::LeaseAction;
use super::RecordWrite;
use super::holder_candidates;
use super::transport::RateTransport;
use super::transport::RecordAge;
use super::transport::RecordCallError;
use super::transport::RecordSwap;
use super::transport::StoredHolderRecord;
use crate::process::membership::NodeRecord;
use crate::values::NodeId;
use crate::values::ZoneId;

/// Interval between checks of the lease.
const PERIOD: Duration = Duration::from_millis(100);

/// Timeout for the read by which a leaving holder finds out whether the store is reachable: many times
/// the usual response time, and short beside the lease, which promises extend meanwhile.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(300);

/// Acquires, renews and releases the lease on the rates of a node's zone.
pub(super) struct HolderLeaseTask {
    service: Arc<HolderService>,
    transport: Arc<dyn RateTransport>,
    node: NodeId,
    zone: ZoneId,
    /// The revision of the record that the lease last read or wrote.
    revision: Option<u64>,
}

impl HolderLeaseTask {
    /// Creates the task of a node; it has read no record yet.
    pub(super) fn new(
        service: Arc<HolderService>,
        transport: Arc<dyn RateTransport>,
        node: NodeId,
        zone: ZoneId,
    ) -> Self {
        Self {
            service,
            transport,
            node,
            zone,
            revision: None,
        }
    }

    /// Acquires, renews and watches the lease. Releases it and returns when the node is leaving.
    ///
    /// A leaving holder keeps the role while the store is unreachable: no other node could take it
    /// over.
    pub(super) async fn run(mut self) {
        let mut period = tokio::time::interval(PERIOD);
        period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            period.tick().await;
            if self.transport.is_leaving() && self.can_release().await {
                return self.release().await;
            }
            self.request_promises().await;
            match self.service.next_lease_action(self.is_candidate()) {
                LeaseAction::Wait => {}
                LeaseAction::Read => self.read().await,
                LeaseAction::Write(write) => self.write(*write).await,
            }
        }
    }

    fn is_candidate(&self) -> bool {
        let candidates = holder_candidates(&self.zone, &self.transport.members());
        candidates.contains(&self.node)
    }

    /// Returns whether a release can be written now, or there is nothing to release.
    ///
    /// A release that may have been written cannot be taken back, so the store is tried first.
    async fn can_release(&self) -> bool {
        if !self.service.is_holder() {
            return true;
        }
        let read = self.transport.read_record(&self.zone, RecordAge::Newest);
        let read = tokio::time::timeout(REACHABILITY_TIMEOUT, read).await;
        matches!(read, Ok(Ok(_)))
    }

    /// Releases the lease, so that another node can acquire it immediately.
    async fn release(&self) {
        let Some(write) = self.service.release() else {
            return;
        };
        let swap = self
            .transport
            .swap_record(&self.zone, self.revision, &write.record);
        // If the write fails, another node takes over when the lease has expired.
        if let Ok(RecordSwap::Done(_)) = swap.await {
            self.notify_candidates().await;
        }
    }

    /// Notifies the candidate holders that the lease is free.
    async fn notify_candidates(&self) {
        let members = self.transport.members();
        let candidates = holder_candidates(&self.zone, &members);
        let others = candidates.iter().filter(|id| **id != self.node);
        // A candidate that does not receive this learns of it with its next read.
        let notices =
            others.filter_map(|id| Some(self.transport.notify_release(members.node(id)?)));
        futures::future::join_all(notices).await;
    }

    async fn read(&mut self) {
        let needs_newest = |lease: &mut HolderLease, _| lease.needs_newest_record();
        let age = match self.service.with_lease(needs_newest) {
            true => RecordAge::Newest,
            false => RecordAge::Recent,
        };
        let service = &self.service;
        match self.transport.read_record(&self.zone, age).await {
            Ok(stored) => {
                self.revision = stored.as_ref().map(|stored| stored.revision);
                let record = stored.map(|stored| stored.record);
                service.with_lease(|lease, now| lease.record_read(record, now));
            }
            Err(_) => service.with_lease(|lease, _| lease.platform_unreachable()),
        }
    }

    async fn write(&mut self, write: RecordWrite) {
        let swap = self
            .transport
            .swap_record(&self.zone, self.revision, &write.record)
            .await;
        let service = &self.service;
        match swap {
            Ok(RecordSwap::Done(revision)) => {
                self.revision = Some(revision);
                service.with_lease(|lease, now| lease.write_succeeded(now));
                self.read_other_zones().await;
            }
            Ok(RecordSwap::Conflict) => {
                service.with_lease(|lease, now| lease.write_conflicted(now));
            }
            Err(error) => service.with_lease(|lease, _| write_failed(lease, error)),
        }
    }

    /// Reads the records of other zones while zones may split rates differently from each other.
    async fn read_other_zones(&self) {
        let Some(zones) = self.service.zones_to_read() else {
            return;
        };
        let reads = zones.iter().map(|zone| self.read_other_zone(zone));
        let records: Option<Vec<_>> = futures::future::join_all(reads).await.into_iter().collect();
        if let Some(records) = records {
            self.service.zones_read(&records);
        }
    }

    /// Returns `None` if the record cannot be read, and `Some(None)` if the zone has no record.
    async fn read_other_zone(&self, zone: &ZoneId) -> Option<Option<HolderRecord>> {
        let read = self.transport.read_record(zone, RecordAge::Newest).await;
        let stored: Option<StoredHolderRecord> = read.ok()?;
        Some(stored.map(|stored| stored.record))
    }

    /// Requests promises from all other nodes of the zone that are neither dead nor leaving, as far
    /// as known, while the store is unreachable.
    async fn request_promises(&self) {
        let service = &self.service;
        let needed = service.with_lease(|lease, now| lease.needs_promises(now).then_some(now));
        let Some(requested_at) = needed else {
            return;
        };
        let members = self.transport.members();
        let peers = members.nodes().filter(|record| self.is_live_peer(record));
        let requests = peers.map(|record| self.transport.request_status(record));
        let statuses = futures::future::join_all(requests).await;
        service.with_lease(|lease, _| lease.apply_promises(&statuses, requested_at));
    }

    fn is_live_peer(&self, record: &NodeRecord) -> bool {
        record.zone == self.zone && record.id != self.node && record.accepts_work()
    }
}

fn write_failed(lease: &mut HolderLease, error: RecordCallError) {
    match error {
        RecordCallError::MayHaveRun => lease.platform_unreachable(),
        RecordCallError::NotRun => lease.write_not_sent(),
    }
}
