//! Choice among the nodes of a service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use super::CallOutcome;
use super::Destination;
use crate::process::load::NodeLoad;
use crate::process::load::ServiceLoads;
use crate::process::membership::MemberTable;
use crate::process::membership::NodeRecord;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::ServiceId;
use crate::values::ZoneId;
use crate::version::ZoneRecord;

slotmap::new_key_type! {
    struct DestinationKey;
}

/// The inputs of a choice, besides the router's own observations.
#[derive(Clone, Copy, Debug)]
pub struct ChooseContext<'a> {
    /// The known nodes.
    pub members: &'a MemberTable,
    /// The zones of the fleet.
    pub zones: &'a BTreeMap<ZoneId, ZoneRecord>,
    /// Nodes that earlier attempts of the request used.
    pub excluded: &'a [NodeId],
    /// Added to the cost of nodes in other zones: such a node is chosen only if its own cost is
    /// lower by more than this.
    pub cross_zone_cost: Duration,
    /// The known loads of the nodes that serve the service, in the order of
    /// [`MemberTable::serving`]. If it is empty, the choice is by own observations only.
    pub loads: &'a [Option<NodeLoad>],
    /// The current time.
    pub now: MonotonicTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

#[derive(Clone, Copy)]
struct Candidate<'a> {
    record: &'a NodeRecord,
    destination: DestinationKey,
    distance: Distance,
    load: Option<NodeLoad>,
}

impl Candidate<'_> {
    fn slots(&self) -> u32 {
        let server = self.record.server.as_ref();
        server.map_or(1, |server| server.slots.0)
    }
}

/// Chooses among the nodes of a service by this node's observations of them.
///
/// Two different random nodes of the own zone and two of the other zones of the region are compared, and the
/// one with the lowest cost is chosen; the cost of a node in another zone includes the cross-zone
/// cost. Nodes of other regions are chosen only if there are no others. Where loads are known, nodes are
/// drawn in proportion to their capacity, and their cost follows from their load.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneId,
    started_at: MonotonicTime,
    random: SmallRng,
    keys: HashMap<NodeId, DestinationKey>,
    destinations: SlotMap<DestinationKey, Destination>,
    prune_at: usize,
}

impl Router {
    /// The usual cross-zone cost: the network latency between zones of one region.
    pub const CROSS_ZONE_COST: Duration = Duration::from_micros(1_500);

    /// Latency assumed for a service of which no node has responded yet, in microseconds.
    const DEFAULT_LATENCY_US: f64 = 1000.0;

    /// Time after the start of this process during which newly discovered nodes count as warm.
    const STARTUP_PERIOD: Duration = Duration::from_secs(5);

    /// At most one in this many candidates is left out of a choice because it is ejected.
    const EJECTED_ONE_IN: usize = 3;

    /// Number of draws after which a new node is chosen despite its slow start.
    const DRAWS_MAX: usize = 4;

    /// At most one draw in this many is of a single node.
    const ALONE_ONE_IN_MIN: usize = 8;

    /// Relative difference between two reported costs that is left to chance.
    const BLUR: f64 = 0.1;

    /// Minimum number of entries at which entries of unknown nodes are removed.
    const PRUNE_MIN: usize = 64;

    /// Creates the router of a node in `zone`; equal seeds give equal choices.
    pub fn new(zone: ZoneId, seed: u64, now: MonotonicTime) -> Self {
        Self {
            zone,
            started_at: now,
            random: SmallRng::seed_from_u64(seed),
            keys: HashMap::new(),
            destinations: SlotMap::with_key(),
            prune_at: Self::PRUNE_MIN,
        }
    }

    /// Chooses a node of `service` that is not excluded; `None` if there is none.
    pub fn choose(&mut self, service: &ServiceId, context: &ChooseContext) -> Option<NodeRecord> {
        self.remove_unknown(context.members);
        let candidates = self.candidates(service, context);
        let candidates = self.without_ejected(candidates, context.now);
        let nearest_region = candidates.iter().map(|c| c.distance).min()?;
        let loads =
            (!context.loads.is_empty()).then(|| ServiceLoads::new(context.loads.iter().flatten()));
        let mean_latency_us = match &loads {
            Some(loads) => loads.held_us(),
            None => self.mean_latency_us(&candidates, context.now),
        };
        let distances: &[Distance] = match nearest_region {
            Distance::OtherRegion => &[Distance::OtherRegion],
            _ => &[Distance::SameZone, Distance::SameRegion],
        };
        let mut best: Option<(f64, Candidate)> = None;
        for distance in distances {
            let near: Vec<_> = at_distance(&candidates, *distance);
            let mut nearest: Option<(f64, f64, Candidate)> = None;
            for candidate in self.draw_two(&near, loads.as_ref(), context.now) {
                let cost_us = self.cost_us(&candidate, loads.as_ref(), mean_latency_us, context);
                let blurred_us = cost_us * self.blur(loads.is_some());
                if nearest.is_none_or(|(best_us, ..)| blurred_us < best_us) {
                    nearest = Some((blurred_us, cost_us, candidate));
                }
            }
            if let Some((_, cost_us, candidate)) = nearest
                && best.is_none_or(|(best_us, _)| cost_us < best_us)
            {
                best = Some((cost_us, candidate));
            }
        }
        best.map(|(_, candidate)| candidate.record.clone())
    }

    /// Counts a call that starts.
    pub fn record_start(&mut self, node: &NodeId) {
        if let Some(destination) = self.destination_mut(node) {
            destination.record_start();
        }
    }

    /// Records the end of a call.
    pub fn record_end(
        &mut self,
        node: &NodeId,
        outcome: CallOutcome,
        latency: Duration,
        now: MonotonicTime,
    ) {
        if let Some(destination) = self.destination_mut(node) {
            destination.record_end(outcome, latency, now);
        }
    }

    /// Returns the observations of a node.
    pub fn destination(&self, node: &NodeId) -> Option<&Destination> {
        self.keys
            .get(node)
            .and_then(|key| self.destinations.get(*key))
    }

    fn destination_mut(&mut self, node: &NodeId) -> Option<&mut Destination> {
        let key = self.keys.get(node)?;
        self.destinations.get_mut(*key)
    }

    fn candidates<'a>(
        &mut self,
        service: &ServiceId,
        context: &ChooseContext<'a>,
    ) -> Vec<Candidate<'a>> {
        let mut candidates = Vec::new();
        for (index, record) in context.members.serving(service).iter().enumerate() {
            if context.excluded.contains(&record.id) {
                continue;
            }
            candidates.push(Candidate {
                record,
                destination: self.key_of(service, record, context.now),
                distance: self.distance(record, context.zones),
                load: context.loads.get(index).copied().flatten(),
            });
        }
        candidates
    }

    /// Returns the entry of a node, creating it if needed; a restarted node gets a new one.
    fn key_of(
        &mut self,
        service: &ServiceId,
        record: &NodeRecord,
        now: MonotonicTime,
    ) -> DestinationKey {
        match self.keys.get(&record.id) {
            Some(key) if self.destinations[*key].matches(service, record.incarnation) => *key,
            known => {
                let mut fresh = Destination::new(service.clone(), record.incarnation, now);
                if known.is_none() && now.since(self.started_at) < Self::STARTUP_PERIOD {
                    fresh.skip_slow_start();
                }
                let key = self.destinations.insert(fresh);
                if let Some(old) = self.keys.insert(record.id.clone(), key) {
                    self.destinations.remove(old);
                }
                key
            }
        }
    }

    fn distance(&self, record: &NodeRecord, zones: &BTreeMap<ZoneId, ZoneRecord>) -> Distance {
        let region = |zone| zones.get(zone).map(|zone: &ZoneRecord| &zone.region);
        match (region(&self.zone), region(&record.zone)) {
            _ if record.zone == self.zone => Distance::SameZone,
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Removes ejected nodes, but at most one in [`Self::EJECTED_ONE_IN`] of the candidates.
    fn without_ejected<'a>(
        &self,
        mut candidates: Vec<Candidate<'a>>,
        now: MonotonicTime,
    ) -> Vec<Candidate<'a>> {
        let allowed = candidates.len() / Self::EJECTED_ONE_IN;
        let mut ejected: Vec<_> = candidates
            .iter()
            .map(|candidate| candidate.destination)
            .filter(|key| self.destinations[*key].is_ejected(now))
            .collect();
        ejected.sort_by_key(|key| std::cmp::Reverse(self.destinations[*key].ejected_until()));
        ejected.truncate(allowed);
        candidates.retain(|candidate| !ejected.contains(&candidate.destination));
        candidates
    }

    /// Returns the mean latency over the nodes with samples, or a default if there are none.
    fn mean_latency_us(&self, candidates: &[Candidate], now: MonotonicTime) -> f64 {
        let known: Vec<_> = candidates
            .iter()
            .filter_map(|candidate| self.destinations[candidate.destination].latency_us(now))
            .collect();
        match known.len() {
            0 => Self::DEFAULT_LATENCY_US,
            count => known.iter().sum::<f64>() / count as f64,
        }
    }

    /// Draws two different random nodes, or as many as there are.
    ///
    /// The second is left out in one draw in [`Self::ALONE_ONE_IN_MIN`], or as many as there are nodes, so
    /// that a node that was slow or failed is tried again. It is also left out by chance if it is in its
    /// slow start and the first is not: among two nodes it would otherwise be compared in each choice.
    fn draw_two<'a>(
        &mut self,
        near: &[Candidate<'a>],
        loads: Option<&ServiceLoads>,
        now: MonotonicTime,
    ) -> impl Iterator<Item = Candidate<'a>> + use<'a> {
        let first = self.draw(near, loads, now);
        let others: Vec<_> = near
            .iter()
            .filter(|other| first.is_some_and(|first| first.destination != other.destination))
            .copied()
            .collect();
        let second = self.draw(&others, loads, now);
        let weight = |drawn: &Candidate| self.destinations[drawn.destination].start_weight(now);
        let first_weight = first.as_ref().map_or(1.0, weight);
        let alone_one_in = near.len().max(Self::ALONE_ONE_IN_MIN);
        let kept_fraction = match loads {
            Some(_) => 1.0,
            None => second.as_ref().map_or(0.0, weight) / first_weight,
        };
        let is_kept = self.random.random_range(0..alone_one_in) > 0
            && self.random.random::<f64>() < kept_fraction;
        first.into_iter().chain(second.filter(|_| is_kept))
    }

    /// Draws a random node; nodes in their slow start are drawn less often.
    fn draw<'a>(
        &mut self,
        near: &[Candidate<'a>],
        loads: Option<&ServiceLoads>,
        now: MonotonicTime,
    ) -> Option<Candidate<'a>> {
        if let Some(loads) = loads {
            return self.draw_by_capacity(near, loads, now);
        }
        if near.is_empty() {
            return None;
        }
        let mut drawn = near[self.random.random_range(0..near.len())];
        for _ in 1..Self::DRAWS_MAX {
            let weight = self.destinations[drawn.destination].start_weight(now);
            if self.random.random::<f64>() < weight {
                break;
            }
            drawn = near[self.random.random_range(0..near.len())];
        }
        Some(drawn)
    }

    /// Draws a random node in proportion to its capacity; nodes in their slow start are drawn less often.
    fn draw_by_capacity<'a>(
        &mut self,
        near: &[Candidate<'a>],
        loads: &ServiceLoads,
        now: MonotonicTime,
    ) -> Option<Candidate<'a>> {
        let weight = |candidate: &Candidate| {
            let start_weight = self.destinations[candidate.destination].start_weight(now);
            loads.weight(candidate.load.as_ref(), candidate.slots()) * start_weight
        };
        let total: f64 = near.iter().map(weight).sum();
        let mut point = self.random.random::<f64>() * total;
        let drawn = near.iter().find(|candidate| {
            point -= weight(candidate);
            point < 0.0
        });
        drawn.or(near.last()).copied()
    }

    fn cost_us(
        &self,
        candidate: &Candidate,
        loads: Option<&ServiceLoads>,
        mean_latency_us: f64,
        context: &ChooseContext,
    ) -> f64 {
        let penalty_us = match candidate.distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion | Distance::OtherRegion => {
                context.cross_zone_cost.as_micros() as f64
            }
        };
        let destination = &self.destinations[candidate.destination];
        let cost_us = match loads {
            Some(loads) => {
                loads.cost_us(candidate.load.as_ref(), destination.in_flight())
                    + destination.bad_cost_us(mean_latency_us, context.now)
            }
            None => destination.cost_us(candidate.slots(), mean_latency_us, context.now),
        };
        cost_us + penalty_us
    }

    /// Returns a random factor near one for a cost that follows from a reported load.
    ///
    /// Many nodes compare the same old reports, of which only small differences are left.
    fn blur(&mut self, is_reported: bool) -> f64 {
        match is_reported {
            true => 1.0 + Self::BLUR * (self.random.random::<f64>() - 0.5),
            false => 1.0,
        }
    }

    /// Removes the entries of unknown nodes once there are `prune_at` entries.
    fn remove_unknown(&mut self, members: &MemberTable) {
        if self.keys.len() < self.prune_at {
            return;
        }
        self.keys.retain(|id, _| members.node(id).is_some());
        let known: HashSet<_> = self.keys.values().copied().collect();
        self.destinations.retain(|key, _| known.contains(&key));
        self.prune_at = (self.keys.len() * 2).max(Self::PRUNE_MIN);
    }
}

fn at_distance<'a>(candidates: &[Candidate<'a>], distance: Distance) -> Vec<Candidate<'a>> {
    candidates
        .iter()
        .filter(|candidate| candidate.distance == distance)
        .copied()
        .collect()
}
