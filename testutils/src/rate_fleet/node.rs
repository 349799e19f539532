//! A simulated node.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use balsamfold::process::rates::Holder;
use balsamfold::process::rates::HolderLease;
use balsamfold::process::rates::HolderSettings;
use balsamfold::process::rates::LocalTokens;
use balsamfold::process::rates::PeerStatus;
use balsamfold::process::rates::TokenRequest;
use balsamfold::process::rates::ZoneLayout;
use balsamfold::process::rates::pool_zone;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::OrganisationId;
use balsamfold::values::ZoneId;
use balsamfold::version::Organisation;
use balsamfold::version::ZoneRecord;

use super::message::NodeIndex;

/// The buckets with which a new holder starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewHolder {
    /// Without tokens, as the library requires.
    Empty,
    /// With full buckets. This is wrong, and shows that the check of the bound detects it.
    Full,
}

/// Whether the holders of zones lend tokens to one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lending {
    /// Holders lend.
    On,
    /// Holders do not lend.
    Off,
}

/// A node's clock, with an offset and a speed of its own.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    /// Reading at the start of the schedule.
    pub offset_us: u64,
    /// How much too fast the clock runs, in millionths; negative if it is too slow.
    pub drift_ppm: i64,
}

impl NodeClock {
    /// Returns the reading at the time `real_us` of the schedule.
    pub fn read(&self, real_us: u64) -> MonotonicTime {
        let drift_us = real_us as i64 * self.drift_ppm / 1_000_000;
        MonotonicTime(self.offset_us + real_us.saturating_add_signed(drift_us))
    }
}

/// A request that waits for a token.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Identifies the request in the whole fleet.
    pub id: u64,
    /// Organisation of its caller.
    pub organisation: OrganisationId,
}

/// A token request that waits for loans.
#[derive(Clone, Debug)]
pub struct WaitingTokenRequest {
    /// The requester.
    pub from: NodeIndex,
    /// The request as the holder received it.
    pub request: TokenRequest,
    /// When it no longer waits, in microseconds of the schedule.
    pub waits_until_us: u64,
}

/// A round of status requests of the holder to all other running nodes of its zone.
#[derive(Clone, Debug)]
pub struct Poll {
    /// Time at which the requests were sent, by the holder's clock.
    pub requested_at: MonotonicTime,
    /// Number of nodes that must reply.
    pub expected: usize,
    /// Replies so far.
    pub replies: BTreeMap<NodeIndex, PeerStatus>,
}

/// A simulated node.
#[derive(Clone, Debug)]
pub struct SimNode {
    /// Name of the node.
    pub id: NodeId,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Clock of the node, used for all its state machines.
    pub clock: NodeClock,
    /// Increases with each restart of the node.
    pub incarnation: Incarnation,
    /// Time of the schedule before which the node does nothing.
    pub paused_until_us: u64,
    /// Whether the node runs: `false` between a crash and a restart.
    pub is_up: bool,
    /// Tokens that the node holds to admit requests.
    pub local: LocalTokens,
    /// Lease on the role of the holder of the zone.
    pub lease: HolderLease,
    /// Buckets of the zone, if the node has held the role.
    pub holder: Option<Holder>,
    /// Organisations of the configuration in force on the node.
    pub organisations: Vec<Organisation>,
    /// Split of the rates over zones in that configuration.
    pub layout: ZoneLayout,
    /// Requests that wait for a token.
    pub waiting: VecDeque<WaitingRequest>,
    /// Token requests that wait for loans.
    pub waiting_token_requests: Vec<WaitingTokenRequest>,
    /// Status requests whose replies are not complete.
    pub poll: Option<Poll>,
}

impl SimNode {
    /// Creates a running node without tokens. `zones` must start with the node's own zone.
    pub fn new(id: NodeId, zones: Vec<ZoneId>, clock: NodeClock) -> Self {
        let incarnation = Incarnation(1);
        Self {
            zone: zones[0].clone(),
            clock,
            incarnation,
            paused_until_us: 0,
            is_up: true,
            local: LocalTokens::new(id.clone(), incarnation, zones),
            lease: HolderLease::new(id.clone(), incarnation)
                .bound_to(Self::address(&id), clock.read(0)),
            holder: None,
            organisations: Vec::new(),
            layout: ZoneLayout::empty(),
            waiting: VecDeque::new(),
            waiting_token_requests: Vec::new(),
            poll: None,
            id,
        }
    }

    /// Starts the node again in its next incarnation. It keeps the configuration and loses all
    /// other state.
    pub fn restart(&mut self, zones: Vec<ZoneId>, now: MonotonicTime) {
        let incarnation = Incarnation(self.incarnation.0 + 1);
        let organisations = std::mem::take(&mut self.organisations);
        let layout = self.layout.clone();
        *self = Self::new(self.id.clone(), zones.clone(), self.clock);
        self.organisations = organisations;
        self.local = LocalTokens::new(self.id.clone(), incarnation, zones);
        self.incarnation = incarnation;
        self.lease =
            HolderLease::new(self.id.clone(), incarnation).bound_to(Self::address(&self.id), now);
        self.set_layout(layout, now);
    }

    /// Returns the address that all processes of a node bind, one after the other.
    fn address(node: &NodeId) -> SocketAddr {
        let hash = node.as_str().bytes().fold(0_u16, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(u16::from(byte))
        });
        SocketAddr::from(([127, 0, 0, 1], hash))
    }

    /// Applies the layout of a new configuration.
    pub fn set_layout(&mut self, layout: ZoneLayout, now: MonotonicTime) {
        self.lease.set_layout(layout.clone(), now);
        self.layout = layout;
    }

    /// Returns the holder if the node has the lease now, and creates it if it has none for this
    /// epoch.
    pub fn acting_holder(
        &mut self,
        new_holder: NewHolder,
        zones: &BTreeMap<ZoneId, ZoneRecord>,
        lending: Lending,
        now: MonotonicTime,
    ) -> Option<&mut Holder> {
        let epoch = self.lease.held_epoch(now)?;
        if self
            .holder
            .as_ref()
            .is_none_or(|holder| holder.epoch() != epoch)
        {
            let settings = HolderSettings {
                zone: self.zone.clone(),
                node: self.id.clone(),
                epoch,
                previous_grants_end: match new_holder {
                    NewHolder::Empty => self.lease.previous_grants_end(now),
                    NewHolder::Full => MonotonicTime::default(),
                },
            };
            let started = match new_holder {
                NewHolder::Empty => now,
                NewHolder::Full => MonotonicTime(now.0 - 3_600_000_000),
            };
            self.holder = Some(Holder::new(settings, started));
            self.apply_shares(zones, lending, started);
        }
        self.holder.as_mut()
    }

    /// Sets the shares of the holder by the configuration in force on the node.
    pub fn apply_shares(
        &mut self,
        zones: &BTreeMap<ZoneId, ZoneRecord>,
        lending: Lending,
        now: MonotonicTime,
    ) {
        let Some(holder) = &mut self.holder else {
            return;
        };
        for organisation in &self.organisations {
            let share = self.lease.layouts().share(organisation, &self.zone);
            let others = zones
                .keys()
                .filter(|zone| **zone != self.zone && lending == Lending::On);
            holder.set_share(&organisation.id, share, others.cloned(), now);
            let layout = self.lease.layouts().newest();
            let layout = layout.filter(|_| lending == Lending::On);
            let pool_zone = layout.and_then(|layout| pool_zone(organisation, layout));
            holder.set_pool_zone(organisation, pool_zone, now);
        }
    }

    /// Returns the number of requests of `organisation` that wait for a token.
    pub fn waiting_count(&self, organisation: &OrganisationId) -> u64 {
        let of_organisation = |request: &&WaitingRequest| request.organisation == *organisation;
        self.waiting.iter().filter(of_organisation).count() as u64
    }
}
