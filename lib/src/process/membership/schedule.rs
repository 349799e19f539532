//! Which node is probed next, and which nodes are asked to help.

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

/// Nodes that are asked to probe a node that did not answer.
const HELPER_COUNT: usize = 3;

/// Most helpers in zones other than the node's own and the target's.
const THIRD_ZONE_HELPERS: usize = 2;

/// The order in which nodes are probed: each once a round, in random order.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    own_zone: Vec<NodeId>,
    other_zones: Vec<NodeId>,
    lost: Vec<NodeId>,
    turn: u32,
}

impl ProbeSchedule {
    /// Returns the next node to probe: mostly in the own zone, now and then in another.
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

    /// Returns the next node that may have come back.
    pub fn next_lost(&mut self, members: &Members, rng: &mut impl Rng) -> Option<NodeId> {
        next_in_round(&mut self.lost, members, is_lost, rng)
    }
}

/// Returns the nodes to ask for help with a probe of `target`.
///
/// Most are in third zones: a cut between the two zones does not make nodes suspect each other
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

/// Returns whether the node is probed in turn.
fn is_probed(member: &Member, own: &NodeRecord) -> bool {
    let record = &member.record;
    match record.condition {
        NodeCondition::Alive | NodeCondition::Leaving => record.id != own.id,
        NodeCondition::Suspect | NodeCondition::Dead => false,
    }
}

/// Returns whether the node went without a word and may come back.
fn is_lost(member: &Member) -> bool {
    match member.record.condition {
        NodeCondition::Suspect => true,
        NodeCondition::Dead => member.departure == Departure::Unannounced,
        NodeCondition::Alive | NodeCondition::Leaving => false,
    }
}

/// Takes the next wanted node from `round`; starts a new round when it is used up.
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
