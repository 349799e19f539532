//! Changes of this node's record, and refutation of wrong records about this node.

use super::MembershipState;
use crate::process::events::membership;
use crate::process::membership::NodeCondition;
use crate::process::membership::NodeRecord;
use crate::process::membership::ServerRecord;
use crate::process::membership::timing::REFUTATION_INTERVAL;
use crate::values::MonotonicTime;

impl MembershipState {
    /// Announces the backend server of this node to the fleet.
    pub fn announce(&mut self, server: ServerRecord, now: MonotonicTime) {
        self.set_server(Some(server), now);
    }

    /// Announces to the fleet that the backend server of this node accepts no new work.
    pub fn withdraw_server(&mut self, now: MonotonicTime) {
        self.set_server(None, now);
    }

    /// Announces to the fleet that this node stops and accepts no new work.
    pub fn leave(&mut self, now: MonotonicTime) {
        if self.own.condition != NodeCondition::Leaving {
            let mut own = self.own.clone();
            own.condition = NodeCondition::Leaving;
            own.incarnation = own.incarnation.next();
            self.replace_own(own, now);
            self.announce_own(now);
        }
    }

    fn set_server(&mut self, server: Option<ServerRecord>, now: MonotonicTime) {
        if self.own.server != server {
            let mut own = self.own.clone();
            own.server = server;
            own.incarnation = own.incarnation.next();
            self.replace_own(own, now);
            self.announce_own(now);
        }
    }

    /// Raises this node's incarnation above that of `claim`, if the claim names a worse condition
    /// for the same incarnation or has a higher incarnation. A higher one comes from an earlier run
    /// of the process.
    pub(super) fn refute(&mut self, claim: &NodeRecord, now: MonotonicTime) {
        let is_leaving = self.own.condition == NodeCondition::Leaving;
        let is_same_incarnation = claim.incarnation == self.own.incarnation;
        let is_newer = claim.incarnation > self.own.incarnation;
        let contradicts_own =
            is_same_incarnation && claim.condition > self.own.condition && !is_leaving;
        if is_newer || contradicts_own {
            membership::RUMOUR_REFUTED.log(format_args!(
                "{:?} at incarnation {}",
                claim.condition, claim.incarnation
            ));
            let mut own = self.own.clone();
            own.incarnation = own.incarnation.raised_over(claim.incarnation);
            self.replace_own(own, now);
            self.announce_refutation(now);
        }
    }

    /// Raises this node's incarnation to refute suspicions that other nodes may have of it. Used
    /// after a pause of this process, before this node suspects others.
    pub(super) fn refute_in_advance(&mut self, now: MonotonicTime) {
        let mut own = self.own.clone();
        own.incarnation = own.incarnation.next();
        self.replace_own(own, now);
        self.announce_own(now);
    }

    /// Starts announcing this node's record to all nodes that are not dead.
    pub(super) fn announce_own(&mut self, now: MonotonicTime) {
        let own_id = &self.own.id;
        let nodes = self
            .members
            .iter()
            .map(|member| &member.record)
            .filter(|record| record.condition != NodeCondition::Dead)
            .filter(|record| record.id != *own_id)
            .map(|record| record.id.clone())
            .collect();
        self.announcer.start(nodes, &mut self.rng);
        self.due.last_announcement = Some(now);
    }

    /// Announces a refutation to all nodes, unless the last announcement is recent. The limit
    /// guards against a faulty node that sends wrong records continually.
    fn announce_refutation(&mut self, now: MonotonicTime) {
        let was_recent = self
            .due
            .last_announcement
            .is_some_and(|last| now.since(last) < REFUTATION_INTERVAL);
        if !was_recent {
            self.announce_own(now);
        }
    }

    fn replace_own(&mut self, own: NodeRecord, now: MonotonicTime) {
        self.own = own.clone();
        self.members.merge(own, now);
        self.deltas.push(&self.own.id);
        self.revision += 1;
    }
}
