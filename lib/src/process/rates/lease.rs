//! The lease on the role of a zone's holder.
//!
//! One record per zone on the platform names the holder and its epoch. It is written by
//! compare-and-swap only, and every renewal changes it. The holder counts its lease from when it
//! *sent* the last renewal that took effect. Another node takes over only after it has *observed*
//! the record unchanged for [`LEASE_TAKEOVER`], which is longer than [`LEASE_HOLD`]. So two leases
//! never overlap, whatever is delayed. A process that has bound the address of an earlier process of
//! its node takes over from that one at once. Each node uses only its own monotonic clock, and no clocks
//! are compared.
//!
//! While the platform is down for all nodes of the zone, no node can take over. The holder then
//! queries all of them. A node that cannot reach the platform either promises not to take over for
//! [`LEASE_TAKEOVER`]. With the promises of all nodes, the holder extends its lease by
//! [`LEASE_HOLD`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::BucketHandover;
use super::HolderRecord;
use super::LayoutSet;
use super::MAX_BATCH_LIFETIME;
use super::PeerStatus;
use super::PlatformReachability;
use super::RecordWrite;
use super::ZoneLayout;
use crate::values::Epoch;
use crate::values::Incarnation;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::ZoneId;

/// How long the role is held after the sending of a renewal.
pub const LEASE_HOLD: Duration = Duration::from_millis(3_000);

/// How long a record must stay unchanged before another node may take over.
pub const LEASE_TAKEOVER: Duration = Duration::from_millis(4_000);

/// Interval between renewals of the holder, and between reads of a candidate.
pub const LEASE_RENEWAL: Duration = Duration::from_millis(1_000);

/// A node without a response of the platform for this time does not know whether the platform is
/// reachable, and reports it as unreachable.
///
/// Nodes that are not candidates make no calls. Their promises are as valid as those of candidates.
const PLATFORM_STATUS_TTL: Duration = Duration::from_millis(1_500);

/// The epoch of the first holder of a zone.
pub(super) const FIRST_EPOCH: Epoch = Epoch(1);

/// Next call of a node to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// No call is due.
    Wait,
    /// Read the record.
    Read,
    /// Write the record.
    Write(Box<RecordWrite>),
}

/// A record as last read from the platform or written to it.
#[derive(Clone, Debug)]
struct SeenRecord {
    record: Option<HolderRecord>,
    since: MonotonicTime,
}

/// A write whose outcome is unknown.
#[derive(Clone, Debug)]
struct PendingWrite {
    record: HolderRecord,
    /// Handovers in the record that the write replaces.
    handovers: Vec<BucketHandover>,
    /// Whether the replaced record is of an earlier process of this node.
    replaces_ended_process: bool,
    sent: MonotonicTime,
}

/// The lease on the role, as known to one node.
#[derive(Clone, Debug)]
pub struct HolderLease {
    node: NodeId,
    incarnation: Incarnation,
    /// The address that this process has bound, if it is known, and since when.
    bound: Option<(SocketAddr, MonotonicTime)>,
    seen: Option<SeenRecord>,
    pending: Option<PendingWrite>,
    /// Whether the last write met another record than the one read before.
    has_conflicted: bool,
    held: Option<HeldLease>,
    no_takeover_before: MonotonicTime,
    next_call: MonotonicTime,
    platform: PlatformReachability,
    /// When the platform last responded, or none if it never did.
    last_platform_response: Option<MonotonicTime>,
    highest_epoch: Epoch,
    /// Handovers of the previous holder, until they are applied.
    handovers: Vec<BucketHandover>,
    /// Whether the previous holder was an earlier process of this node, which had ended before this
    /// one bound its address.
    replaces_ended_process: bool,
    /// The layout of the configuration in force on this node.
    configured_layout: Option<ZoneLayout>,
    layouts: LayoutSet,
}

/// The lease while this node holds it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    epoch: Epoch,
    valid_until: MonotonicTime,
}

impl HolderLease {
    /// Creates a lease that is not held.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            node,
            incarnation,
            bound: None,
            seen: None,
            pending: None,
            has_conflicted: false,
            held: None,
            no_takeover_before: MonotonicTime::default(),
            next_call: MonotonicTime::default(),
            platform: PlatformReachability::Unreachable,
            last_platform_response: None,
            handovers: Vec::new(),
            replaces_ended_process: false,
            highest_epoch: Epoch::default(),
            configured_layout: None,
            layouts: LayoutSet::default(),
        }
    }

    /// Returns the node.
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// Names the address that this process has bound since `now` or earlier, by which a later
    /// process of the node knows that this one has ended.
    pub fn bound_to(self, address: SocketAddr, now: MonotonicTime) -> Self {
        Self {
            bound: Some((address, now)),
            ..self
        }
    }

    /// Returns the epoch in which this node may grant tokens now.
    pub fn held_epoch(&self, now: MonotonicTime) -> Option<Epoch> {
        match self.held {
            Some(held) if now < held.valid_until && held.epoch >= self.highest_epoch => {
                Some(held.epoch)
            }
            _ => None,
        }
    }

    /// Sets the layout of the configuration in force. A node without a layout does not take over.
    pub fn set_layout(&mut self, layout: ZoneLayout, now: MonotonicTime) {
        if self.held.is_some() {
            self.layouts.adopt(&layout, now);
        }
        self.configured_layout = Some(layout);
    }

    /// Returns the layouts that bind this node while it holds the role.
    pub fn layouts(&self) -> &LayoutSet {
        &self.layouts
    }

    /// Returns the zones whose records have to be read before only one layout binds this node.
    pub fn zones_to_read(&self, own: &ZoneId) -> Option<BTreeSet<ZoneId>> {
        self.held.and_then(|_| self.layouts.zones_to_read(own))
    }

    /// Applies the records of the zones in [`Self::zones_to_read`], read after that call.
    pub fn zones_read(&mut self, others: &[Option<HolderRecord>]) {
        self.layouts.settle(others);
    }

    /// Returns the time until which this node may grant tokens, if it still holds the role.
    pub fn held_until(&self) -> Option<MonotonicTime> {
        self.held.map(|held| held.valid_until)
    }

    /// Returns the zone's holder record as last read from or written to the platform.
    pub fn known_holder(&self) -> Option<&HolderRecord> {
        self.seen.as_ref()?.record.as_ref()
    }

    /// Returns whether the next read must return the newest record.
    ///
    /// A takeover succeeds only if the record is unchanged, so an outdated one can only delay it. The
    /// outcome of a write, and the record that it conflicted with, show in the newest one alone.
    pub fn needs_newest_record(&self) -> bool {
        self.pending.is_some() || self.held.is_some() || self.has_conflicted
    }

    /// Returns the call to send to the platform now. A node takes over only if `is_candidate`, or from
    /// an earlier process of its own.
    pub fn next_action(&mut self, is_candidate: bool, now: MonotonicTime) -> LeaseAction {
        let is_holder = self.held.is_some();
        if now < self.next_call || !(is_candidate || is_holder || self.may_succeed_itself()) {
            return LeaseAction::Wait;
        }
        self.next_call = now.after(LEASE_RENEWAL);
        match (&self.seen, is_holder) {
            _ if self.pending.is_some() => LeaseAction::Read,
            (Some(seen), true) => self.write(self.renewal(seen, now), now),
            (Some(seen), false) if self.may_take_over(seen, now) => {
                self.write(self.takeover(seen), now)
            }
            _ => LeaseAction::Read,
        }
    }

    /// Handles the record read from the platform.
    pub fn record_read(&mut self, record: Option<HolderRecord>, now: MonotonicTime) {
        self.platform_responded(now);
        self.has_conflicted = false;
        let epoch = record.as_ref().map_or(Epoch(0), |record| record.epoch);
        self.highest_epoch = self.highest_epoch.max(epoch);
        match self.pending.take() {
            Some(pending) if record.as_ref() == Some(&pending.record) => self.apply_write(&pending),
            _ => {}
        }
        let is_ours = record.as_ref().is_some_and(|record| self.is_own(record));
        if !is_ours {
            self.held = None;
        }
        match &self.seen {
            Some(seen) if seen.record == record => {}
            _ => self.seen = Some(SeenRecord { record, since: now }),
        }
        if self
            .seen
            .as_ref()
            .is_some_and(|seen| self.may_take_over(seen, now))
        {
            self.next_call = now;
        }
    }

    /// Releases the role for a planned stop. Returns the record to write, or none if this node does
    /// not hold the role, or does not know the stored record or the outcome of a write.
    ///
    /// This node grants no tokens from now on, whether or not the returned write takes effect.
    pub fn release(
        &mut self,
        handovers: Vec<BucketHandover>,
        now: MonotonicTime,
    ) -> Option<RecordWrite> {
        let held = self.held.take();
        let seen = self
            .seen
            .as_ref()
            .filter(|_| held.is_some() && self.pending.is_none())?;
        let record = seen.record.clone()?;
        Some(RecordWrite {
            expected: Some(record.clone()),
            record: HolderRecord {
                renewals: record.renewals + 1,
                released: true,
                handovers,
                layouts: self.layouts.to_publish(now),
                ..record
            },
        })
    }

    /// Returns when the batches of the previous holder have ended, for a role taken over at `now`.
    pub fn previous_grants_end(&self, now: MonotonicTime) -> MonotonicTime {
        match (self.bound, self.replaces_ended_process) {
            (Some((_, bound_at)), true) => bound_at.after(MAX_BATCH_LIFETIME),
            _ => now.after(MAX_BATCH_LIFETIME),
        }
    }

    /// Takes the handovers of the previous holder. They are returned only once.
    pub fn take_handovers(&mut self) -> Vec<BucketHandover> {
        std::mem::take(&mut self.handovers)
    }

    /// Handles the notice that another node released the role. The record is read at once.
    pub fn release_received(&mut self, now: MonotonicTime) {
        self.next_call = now;
    }

    /// Handles the success of the pending write.
    pub fn write_succeeded(&mut self, now: MonotonicTime) {
        self.platform_responded(now);
        if let Some(pending) = self.pending.take() {
            self.apply_write(&pending);
            self.highest_epoch = self.highest_epoch.max(pending.record.epoch);
            self.seen = Some(SeenRecord {
                record: Some(pending.record),
                since: now,
            });
        }
    }

    /// Handles the conflict of the pending write with another record. The record is read next.
    ///
    /// A lease that is still held stays valid to its end, because no node takes over before.
    pub fn write_conflicted(&mut self, now: MonotonicTime) {
        self.platform_responded(now);
        self.pending = None;
        self.has_conflicted = true;
        self.seen = None;
        self.next_call = now;
    }

    /// Handles the failure of a pending write that did not reach the platform and has no effect.
    pub fn write_not_sent(&mut self) {
        self.platform = PlatformReachability::Unreachable;
        self.pending = None;
    }

    /// Handles a call without a response of the platform. The outcome of a pending write stays
    /// unknown.
    pub fn platform_unreachable(&mut self) {
        self.platform = PlatformReachability::Unreachable;
    }

    fn platform_responded(&mut self, now: MonotonicTime) {
        self.platform = PlatformReachability::Reachable;
        self.last_platform_response = Some(now);
    }

    /// Records an epoch of the zone that another node has observed.
    pub fn epoch_seen(&mut self, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Returns the status for the holder of the zone, and makes the promise that it implies.
    pub fn peer_status(&mut self, now: MonotonicTime) -> PeerStatus {
        let responded_recently = self
            .last_platform_response
            .is_some_and(|responded| now.since(responded) < PLATFORM_STATUS_TTL);
        let platform = match self.pending {
            Some(_) => PlatformReachability::Reachable,
            None if responded_recently => self.platform,
            None => PlatformReachability::Unreachable,
        };
        if platform == PlatformReachability::Unreachable {
            self.no_takeover_before = self.no_takeover_before.max(now.after(LEASE_TAKEOVER));
        }
        PeerStatus {
            epoch: self.highest_epoch,
            platform,
        }
    }

    /// Returns whether the holder needs the promises of all nodes of its zone to extend its lease.
    pub fn needs_promises(&self, now: MonotonicTime) -> bool {
        match self.held {
            Some(held) if self.platform == PlatformReachability::Unreachable => {
                now.after(LEASE_HOLD / 2) > held.valid_until
            }
            _ => false,
        }
    }

    /// Applies the replies to a query sent at `requested_at` to all other nodes of the zone that
    /// are neither dead nor leaving, as far as known. `None` means that a node did not reply.
    pub fn apply_promises(&mut self, replies: &[Option<PeerStatus>], requested_at: MonotonicTime) {
        let seen = replies.iter().flatten().map(|reply| reply.epoch).max();
        self.highest_epoch = self.highest_epoch.max(seen.unwrap_or_default());
        let all_promised = replies.iter().all(|reply| {
            let platform = reply.as_ref().map(|reply| reply.platform);
            platform == Some(PlatformReachability::Unreachable)
        });
        match &mut self.held {
            Some(held) if all_promised && held.epoch >= self.highest_epoch => {
                held.valid_until = held.valid_until.max(requested_at.after(LEASE_HOLD));
            }
            _ => {}
        }
    }

    fn write(&mut self, write: RecordWrite, now: MonotonicTime) -> LeaseAction {
        self.pending = Some(PendingWrite {
            record: write.record.clone(),
            handovers: write
                .expected
                .as_ref()
                .map(|record| record.handovers.clone())
                .unwrap_or_default(),
            replaces_ended_process: write
                .expected
                .as_ref()
                .is_some_and(|record| self.has_ended(record)),
            sent: now,
        });
        LeaseAction::Write(Box::new(write))
    }

    fn renewal(&self, seen: &SeenRecord, now: MonotonicTime) -> RecordWrite {
        let renewals = seen.record.as_ref().map_or(0, |record| record.renewals);
        let epoch = self.held.map_or(Epoch(0), |held| held.epoch);
        self.record_after(seen, epoch, renewals + 1, self.layouts.to_publish(now))
    }

    fn takeover(&self, seen: &SeenRecord) -> RecordWrite {
        let in_record = seen.record.as_ref().map_or(Epoch(0), |record| record.epoch);
        let epoch = Epoch(in_record.max(self.highest_epoch).0 + 1);
        let layouts = match &seen.record {
            Some(record) => record.layouts.clone(),
            None => std::iter::once(ZoneLayout::empty())
                .chain(self.configured_layout.clone())
                .collect(),
        };
        self.record_after(seen, epoch, 0, layouts)
    }

    fn record_after(
        &self,
        seen: &SeenRecord,
        epoch: Epoch,
        renewals: u64,
        layouts: Vec<ZoneLayout>,
    ) -> RecordWrite {
        RecordWrite {
            expected: seen.record.clone(),
            record: HolderRecord {
                holder: self.node.clone(),
                incarnation: self.incarnation,
                address: self.address(),
                epoch,
                renewals,
                released: false,
                handovers: Vec::new(),
                layouts,
            },
        }
    }

    fn may_take_over(&self, seen: &SeenRecord, now: MonotonicTime) -> bool {
        let record = seen.record.as_ref();
        let is_free = record.is_none_or(|record| record.released || self.has_ended(record));
        let epoch = record.map_or(Epoch(0), |record| record.epoch);
        // After the platform went back to an earlier term, the holder of a later one may still grant.
        let is_free = is_free && epoch >= self.highest_epoch;
        let is_expired = now.since(seen.since) >= LEASE_TAKEOVER;
        let is_allowed = self.configured_layout.is_some() && now >= self.no_takeover_before;
        is_allowed && (is_free || is_expired)
    }

    fn is_own(&self, record: &HolderRecord) -> bool {
        record.holder == self.node && record.incarnation == self.incarnation
    }

    /// Returns whether the holder was an earlier process of this node, which has ended because this
    /// one could bind its address.
    fn has_ended(&self, record: &HolderRecord) -> bool {
        record.holder == self.node
            && record.incarnation != self.incarnation
            && record.address.is_some()
            && record.address == self.address()
    }

    /// Returns whether an earlier process of this node may be the holder: it is, or no record was read.
    fn may_succeed_itself(&self) -> bool {
        let record = self.known_holder();
        let is_unknown = self.bound.is_some() && self.seen.is_none();
        is_unknown || record.is_some_and(|record| self.has_ended(record))
    }

    fn address(&self) -> Option<SocketAddr> {
        self.bound.map(|(address, _)| address)
    }

    /// Starts or extends the lease, counted from when the write was sent.
    fn apply_write(&mut self, pending: &PendingWrite) {
        let valid_until = pending.sent.after(LEASE_HOLD);
        let epoch = pending.record.epoch;
        self.held = match self.held {
            Some(held) if held.epoch == epoch => Some(HeldLease {
                epoch,
                valid_until: held.valid_until.max(valid_until),
            }),
            _ => {
                self.layouts = LayoutSet::inherited(&pending.record.layouts, pending.sent);
                self.handovers = pending.handovers.clone();
                self.replaces_ended_process = pending.replaces_ended_process;
                Some(HeldLease { epoch, valid_until })
            }
        };
        self.layouts.mark_published(&pending.record.layouts);
        if let Some(configured_layout) = &self.configured_layout {
            self.layouts.adopt(configured_layout, pending.sent);
        }
    }
}
