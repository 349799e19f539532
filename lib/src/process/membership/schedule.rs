//! Choice of the next node to probe, and of the helpers for indirect probes.

use rand::Rng;
use rand::seq::SliceRandom;

use super::Member;
use super::Members;
use super::NodeCondition;
use super::NodeRecord;
use super::members::Departure;
use crate::values::NodeId;
use crate::values::ZoneId;

/// One of this many probes goes to another zone.
const CROSS_ZONE_PERIOD: u32 = 4;

/// Number of helpers for indirect probes of a node that did not reply.
const HELPER_COUNT: usize = 3;

/// Number of preferred helpers in third zones: neither this node's zone nor the target's.
const THIRD_ZONE_HELPERS: usize = 2;

/// The order in which nodes are probed: each once per round, in random order.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    own_zone: Vec<NodeId>,
    other_zones: Vec<NodeId>,
    lost: Vec<NodeId>,
    turn: u32,
}

impl ProbeSchedule {
    /// Returns the next node to probe. One of [`CROSS_ZONE_PERIOD`] is in another zone, the rest in
    /// this node's zone, as long as there are such nodes.
    pub fn next(
        &mut self,
        members: &Members,
        own: &NodeRecord,
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        self.turn = self.turn.wrapping_add(1);
        let mut in_own_zone = |rng: &mut _| {
            let wanted = |member: &Member| is_probed(member, own) && member.record.zone == own.zone;
            next_in_round(&mut self.own_zone, members, wanted, rng)
        };
        let mut in_other_zone = |rng: &mut _| {
            let wanted = |member: &Member| is_probed(member, own) && member.record.zone != own.zone;
            next_in_round(&mut self.other_zones, members, wanted, rng)
        };
        match self.turn.is_multiple_of(CROSS_ZONE_PERIOD) {
            true => in_other_zone(rng).or_else(|| in_own_zone(rng)),
            false => in_own_zone(rng).or_else(|| in_other_zone(rng)),
        }
    }

    /// Returns the next lost node, which may have recovered.
    pub fn next_lost(&mut self, members: &Members, rng: &mut impl Rng) -> Option<NodeId> {
        next_in_round(&mut self.lost, members, is_lost, rng)
    }
}

/// Returns the helpers for indirect probes of `target`.
///
/// Most are in third zones: a network partition between the two zones does not cause suspicions
/// while a third zone reaches both.
pub fn choose_helpers(
    members: &Members,
    own: &NodeRecord,
    target: &NodeRecord,
    rng: &mut impl Rng,
) -> Vec<NodeRecord> {
    let mut candidates: Vec<_> = members
        .iter()
        .map(|member| &member.record)
        .filter(|record| record.condition == NodeCondition::Alive)
        .filter(|record| record.id != own.id && record.id != target.id)
        .collect();
    candidates.shuffle(rng);
    let is_third = |zone: &ZoneId| *zone != own.zone && *zone != target.zone;
    let (third, near): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|record| is_third(&record.zone));
    let preferred = third.iter().take(THIRD_ZONE_HELPERS);
    let others = near.iter().chain(third.iter().skip(THIRD_ZONE_HELPERS));
    preferred
        .chain(others)
        .take(HELPER_COUNT)
        .map(|record| (*record).clone())
        .collect()
}

/// Returns whether the node is part of the regular probe rounds.
fn is_probed(member: &Member, own: &NodeRecord) -> bool {
    let record = &member.record;
    match record.condition {
        NodeCondition::Alive | NodeCondition::Leaving => record.id != own.id,
        NodeCondition::Suspect | NodeCondition::Dead => false,
    }
}

/// Returns whether the node became unreachable without announcing that it stops, so that it may
/// recover.
fn is_lost(member: &Member) -> bool {
    match member.record.condition {
        NodeCondition::Suspect => true,
        NodeCondition::Dead => member.departure == Departure::Unannounced,
        NodeCondition::Alive | NodeCondition::Leaving => false,
    }
}

/// Removes and returns the next wanted node of `round`. Starts a new round when it is empty.
fn next_in_round(
    round: &mut Vec<NodeId>,
    members: &Members,
    wanted: impl Fn(&Member) -> bool,
    rng: &mut impl Rng,
) -> Option<NodeId> {
    let is_wanted = |id: &NodeId| members.get(id).is_some_and(&wanted);
    while let Some(id) = round.pop() {
        if is_wanted(&id) {
            return Some(id);
        }
    }
    let ids = members.iter().filter(|member| wanted(member));
    round.extend(ids.map(|member| member.record.id.clone()));
    round.shuffle(rng);
    round.pop()
}
