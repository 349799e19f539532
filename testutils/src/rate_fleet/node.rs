//! One node of the schedule.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use balsamfold::process::rates::Holder;
use balsamfold::process::rates::HolderLease;
use balsamfold::process::rates::HolderSettings;
use balsamfold::process::rates::LocalTokens;
use balsamfold::process::rates::PeerStatus;
use balsamfold::process::rates::TokenRequest;
use balsamfold::process::rates::ZoneLayout;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::OrganisationId;
use balsamfold::values::ZoneId;
use balsamfold::version::Organisation;
use balsamfold::version::ZoneRecord;

use super::message::NodeIndex;

/// How a new holder starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewHolder {
    /// As the library has it: without tokens.
    Empty,
    /// Wrongly, with full buckets.
    Full,
}

/// Whether the holders of zones lend to one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lending {
    /// They do.
    On,
    /// They do not.
    Off,
}

/// A node's clock: its own start and speed.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    /// The reading at the start of the schedule.
    pub offset_us: u64,
    /// How much too fast the clock runs, in millionths.
    pub drift_ppm: i64,
}

impl NodeClock {
    /// Returns the reading at `real_us` of the schedule.
    pub fn read(&self, real_us: u64) -> MonotonicTime {
        let drift_us = real_us as i64 * self.drift_ppm / 1_000_000;
        MonotonicTime(self.offset_us + real_us.saturating_add_signed(drift_us))
    }
}

/// A request that waits for a token.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Identifies the request.
    pub id: u64,
    /// The organisation.
    pub organisation: OrganisationId,
}

/// An ask that waits for loans.
#[derive(Clone, Debug)]
pub struct WaitingTokenRequest {
    /// The node that asked.
    pub from: NodeIndex,
    /// The ask.
    pub request: TokenRequest,
}

/// The holder's question to all nodes of its zone.
#[derive(Clone, Debug)]
pub struct Poll {
    /// When it was sent, by the holder's clock.
    pub requested_at: MonotonicTime,
    /// Nodes that have to answer.
    pub expected: usize,
    /// The answers.
    pub replies: BTreeMap<NodeIndex, PeerStatus>,
}

/// One node of the schedule.
#[derive(Clone, Debug)]
pub struct SimNode {
    /// The name.
    pub id: NodeId,
    /// The zone.
    pub zone: ZoneId,
    /// The clock.
    pub clock: NodeClock,
    /// Tells the lives of the node apart.
    pub incarnation: Incarnation,
    /// The node does nothing before this time of the schedule.
    pub paused_until_us: u64,
    /// Whether the node runs.
    pub is_up: bool,
    /// The node's tokens.
    pub local: LocalTokens,
    /// The role.
    pub lease: HolderLease,
    /// The buckets, if the node has held the role.
    pub holder: Option<Holder>,
    /// The configuration in force on the node.
    pub organisations: Vec<Organisation>,
    /// Its split of rates over zones.
    pub layout: ZoneLayout,
    /// Requests without a token.
    pub waiting: VecDeque<WaitingRequest>,
    /// Asks that wait for loans.
    pub waiting_token_requests: Vec<WaitingTokenRequest>,
    /// The open question to the zone.
    pub poll: Option<Poll>,
}

impl SimNode {
    /// Starts a node without tokens. `zones` has the node's own zone first.
    pub fn new(id: NodeId, zones: Vec<ZoneId>, clock: NodeClock) -> Self {
        let incarnation = Incarnation(1);
        Self {
            zone: zones[0].clone(),
            clock,
            incarnation,
            paused_until_us: 0,
            is_up: true,
            local: LocalTokens::new(id.clone(), incarnation, zones),
            lease: HolderLease::new(id.clone(), incarnation),
            holder: None,
            organisations: Vec::new(),
            layout: ZoneLayout::empty(),
            waiting: VecDeque::new(),
            waiting_token_requests: Vec::new(),
            poll: None,
            id,
        }
    }

    /// Replaces the node by one in its next life.
    pub fn restart(&mut self, zones: Vec<ZoneId>, now: MonotonicTime) {
        let incarnation = Incarnation(self.incarnation.0 + 1);
        let organisations = std::mem::take(&mut self.organisations);
        let layout = self.layout.clone();
        *self = Self::new(self.id.clone(), zones.clone(), self.clock);
        self.organisations = organisations;
        self.local = LocalTokens::new(self.id.clone(), incarnation, zones);
        self.incarnation = incarnation;
        self.lease = HolderLease::new(self.id.clone(), incarnation);
        self.set_layout(layout, now);
    }

    /// Takes in the layout of a configuration.
    pub fn set_layout(&mut self, layout: ZoneLayout, now: MonotonicTime) {
        self.lease.set_layout(layout.clone(), now);
        self.layout = layout;
    }

    /// Returns the holder if the node may act as such now.
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

    /// Gives the holder its shares of the configuration in force on the node.
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
        }
    }

    /// Returns how many requests of `organisation` wait.
    pub fn waiting_count(&self, organisation: &OrganisationId) -> u64 {
        let of_organisation = |request: &&WaitingRequest| request.organisation == *organisation;
        self.waiting.iter().filter(of_organisation).count() as u64
    }
}
