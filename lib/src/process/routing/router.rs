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

/// What a choice depends on besides what the router saw itself.
#[derive(Clone, Copy, Debug)]
pub struct ChooseContext<'a> {
    /// The known nodes.
    pub members: &'a MemberTable,
    /// The zones of the fleet.
    pub zones: &'a BTreeMap<ZoneId, ZoneRecord>,
    /// Nodes that earlier attempts at the request used.
    pub excluded: &'a [NodeId],
    /// What a node must save to be chosen in spite of lying in another zone.
    pub cross_zone_cost: Duration,
    /// The present time.
    pub now: MonotonicTime,
}

/// How far a node is from this one.
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
}

/// Chooses among the nodes of a service by what this node saw of them.
///
/// Two random nodes are compared in each of the own zone and the other zones of the region, and
/// the better of the four is taken, with the trip between zones added to the farther ones. Nodes of
/// other regions are chosen only when there are no others.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneId,
    started_at: MonotonicTime,
    random: SmallRng,
    keys: HashMap<NodeId, DestinationKey>,
    destinations: SlotMap<DestinationKey, Destination>,
    forget_at: usize,
}

impl Router {
    /// Time of a trip between zones of one region.
    pub const CROSS_ZONE_COST: Duration = Duration::from_micros(1_500);

    /// Usual latency of a service of which no node has answered yet, in microseconds.
    const LATENCY_UNKNOWN_US: f64 = 1000.0;

    /// Time after the start of this process in which nodes that become known count as warm.
    const FIRST_VIEW: Duration = Duration::from_secs(5);

    /// Most nodes out of this many that are ejected at the same time: one in three.
    const EJECTED_ONE_IN: usize = 3;

    /// Draws after which a new node is taken in spite of its slow start.
    const DRAWS_MAX: usize = 4;

    /// Fewest entries at which entries of unknown nodes are removed.
    const FORGET_MIN: usize = 64;

    /// Makes the router of a node in `zone`; equal seeds give equal choices.
    pub fn new(zone: ZoneId, seed: u64, now: MonotonicTime) -> Self {
        Self {
            zone,
            started_at: now,
            random: SmallRng::seed_from_u64(seed),
            keys: HashMap::new(),
            destinations: SlotMap::with_key(),
            forget_at: Self::FORGET_MIN,
        }
    }

    /// Chooses a node of `service`, or none if there is none outside the excluded ones.
    pub fn choose(&mut self, service: &ServiceId, context: &ChooseContext) -> Option<NodeRecord> {
        self.forget_unknown(context.members);
        let candidates = self.candidates(service, context);
        let candidates = self.without_ejected(candidates, context.now);
        let nearest_region = candidates.iter().map(|c| c.distance).min()?;
        let usual_us = self.usual_us(&candidates, context.now);
        let distances: &[Distance] = match nearest_region {
            Distance::OtherRegion => &[Distance::OtherRegion],
            _ => &[Distance::SameZone, Distance::SameRegion],
        };
        let mut best: Option<(f64, Candidate)> = None;
        for distance in distances {
            let near: Vec<_> = at_distance(&candidates, *distance);
            for _ in 0..2 {
                let Some(candidate) = self.draw(&near, context.now) else {
                    break;
                };
                let cost_us = self.cost_us(&candidate, usual_us, context);
                if best.is_none_or(|(best_us, _)| cost_us < best_us) {
                    best = Some((cost_us, candidate));
                }
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

    /// Takes the end of a call.
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

    /// Returns what was seen of a node.
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
        for record in context.members.serving(service) {
            if context.excluded.contains(&record.id) {
                continue;
            }
            candidates.push(Candidate {
                record,
                destination: self.key_of(service, record, context.now),
                distance: self.distance(record, context.zones),
            });
        }
        candidates
    }

    /// Finds or makes the entry of a node; a restarted node begins anew.
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
                if known.is_none() && now.since(self.started_at) < Self::FIRST_VIEW {
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

    /// Leaves out ejected nodes, but never more than one in three of the service.
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

    /// Returns the mean latency over the nodes that were called.
    fn usual_us(&self, candidates: &[Candidate], now: MonotonicTime) -> f64 {
        let known: Vec<_> = candidates
            .iter()
            .filter_map(|candidate| self.destinations[candidate.destination].latency_us(now))
            .collect();
        match known.len() {
            0 => Self::LATENCY_UNKNOWN_US,
            count => known.iter().sum::<f64>() / count as f64,
        }
    }

    /// Draws a random node; nodes in their slow start are drawn less often.
    fn draw<'a>(&mut self, near: &[Candidate<'a>], now: MonotonicTime) -> Option<Candidate<'a>> {
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

    fn cost_us(&self, candidate: &Candidate, usual_us: f64, context: &ChooseContext) -> f64 {
        let slots = candidate
            .record
            .server
            .as_ref()
            .map_or(1, |server| server.slots.0);
        let trip_us = match candidate.distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion | Distance::OtherRegion => {
                context.cross_zone_cost.as_micros() as f64
            }
        };
        let destination = &self.destinations[candidate.destination];
        destination.cost_us(slots, usual_us, context.now) + trip_us
    }

    /// Removes entries of nodes that are no longer known, once there are many.
    fn forget_unknown(&mut self, members: &MemberTable) {
        if self.keys.len() < self.forget_at {
            return;
        }
        self.keys.retain(|id, _| members.node(id).is_some());
        let known: HashSet<_> = self.keys.values().copied().collect();
        self.destinations.retain(|key, _| known.contains(&key));
        self.forget_at = (self.keys.len() * 2).max(Self::FORGET_MIN);
    }
}

fn at_distance<'a>(candidates: &[Candidate<'a>], distance: Distance) -> Vec<Candidate<'a>> {
    candidates
        .iter()
        .filter(|candidate| candidate.distance == distance)
        .copied()
        .collect()
}
