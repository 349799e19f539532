//! Actions that are due at each tick.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;

use super::MembershipState;
use super::receive::RecordSource;
use crate::process::events::membership;
use crate::process::membership::Message;
use crate::process::membership::NodeCondition;
use crate::process::membership::probes::Probe;
use crate::process::membership::probes::ProbePurpose;
use crate::process::membership::schedule::choose_helpers;
use crate::process::membership::timing;
use crate::process::membership::transfers::DATAGRAMS_PER_TICK;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Number of seeds that are tried per attempt while no other node is known.
const JOIN_SEED_COUNT: usize = 3;

impl MembershipState {
    /// Performs the actions that are due at `now`. Must be called every [`timing::TICK_INTERVAL`].
    pub fn tick(&mut self, now: MonotonicTime) {
        self.detect_pause(now);
        self.request_indirect_probes(now);
        self.fail_probes(now);
        self.expire_suspicions(now);
        self.start_probes(now);
        self.send_announcements(now);
        self.send_transfers();
        self.try_seeds(now);
        self.clean_up(now);
    }

    /// Detects a pause of this process. After a pause, the knowledge of this node is outdated: it
    /// refutes suspicions of itself before it suspects other nodes.
    fn detect_pause(&mut self, now: MonotonicTime) {
        let last = self.due.last_tick.replace(now);
        let gap = last.map_or(Duration::ZERO, |last| now.since(last));
        if gap >= timing::PAUSE_GAP {
            membership::PROCESS_PAUSED.log(format_args!("{} ms", gap.as_millis()));
            self.probes.clear();
            self.contacts.clear();
            self.suspicions.restart_all(now);
            self.refute_in_advance(now);
        }
    }

    /// Requests indirect probes of the nodes that did not reply to a direct probe.
    fn request_indirect_probes(&mut self, now: MonotonicTime) {
        for (sequence, target) in self.probes.take_unacknowledged(now) {
            let Some(member) = self.members.get(&target) else {
                continue;
            };
            let record = member.record.clone();
            for helper in choose_helpers(&self.members, &self.own, &record, &mut self.rng) {
                let target = target.clone();
                let message = Message::PingRequest { sequence, target };
                self.send(helper.addresses.probe, message, Some(&helper.id));
            }
        }
    }

    fn fail_probes(&mut self, now: MonotonicTime) {
        for probe in self.probes.take_failed(now) {
            if probe.purpose == ProbePurpose::IndirectLiveness {
                self.suspect(&probe.target, now);
            }
        }
    }

    fn suspect(&mut self, id: &NodeId, now: MonotonicTime) {
        let Some(mut record) = self.node(id).cloned() else {
            return;
        };
        match record.condition {
            NodeCondition::Alive => {
                record.condition = NodeCondition::Suspect;
                self.learn(record, RecordSource::Gossip, now);
            }
            NodeCondition::Leaving => {
                self.suspicions.start(id, now);
            }
            NodeCondition::Suspect | NodeCondition::Dead => {}
        }
    }

    /// Marks as dead the nodes that did not refute in time, except while their zone is unreachable.
    fn expire_suspicions(&mut self, now: MonotonicTime) {
        let (members, contacts, own_zone) = (&self.members, &self.contacts, &self.own.zone);
        let can_refute = |id: &NodeId| match members.get(id).map(|member| &member.record.zone) {
            Some(zone) if zone == own_zone => contacts.is_connected(now),
            Some(zone) => contacts.is_reachable(zone, now),
            None => true,
        };
        for id in self.suspicions.take_expired(now, can_refute) {
            if let Some(mut record) = self.node(&id).cloned() {
                record.condition = NodeCondition::Dead;
                self.learn(record, RecordSource::Gossip, now);
            }
        }
    }

    fn start_probes(&mut self, now: MonotonicTime) {
        if now >= self.due.probe {
            self.due.probe = now.after(timing::PROBE_INTERVAL);
            let target = self.schedule.next(&self.members, &self.own, &mut self.rng);
            if let Some(target) = target {
                self.probe(&target, ProbePurpose::Liveness, now);
            }
        }
        if now >= self.due.lost_probe {
            self.due.lost_probe = now.after(timing::LOST_PROBE_INTERVAL);
            let lost = self.unresponsive_leaving_node();
            let lost = lost.or_else(|| self.schedule.next_lost(&self.members, &mut self.rng));
            if let Some(target) = lost {
                self.probe(&target, ProbePurpose::Recovery, now);
            }
        }
    }

    /// Returns a leaving node that did not respond. It cannot refute with a higher incarnation in
    /// time, so it is probed again before it is marked as dead.
    fn unresponsive_leaving_node(&mut self) -> Option<NodeId> {
        let is_leaving = |id: &&NodeId| {
            let member = self.members.get(id);
            member.is_some_and(|member| member.record.condition == NodeCondition::Leaving)
        };
        let unresponsive = self.suspicions.nodes().filter(is_leaving);
        unresponsive.choose(&mut self.rng).cloned()
    }

    /// Sends a probe to `target` if it is known and not too many probes wait.
    pub(super) fn probe(&mut self, target: &NodeId, purpose: ProbePurpose, now: MonotonicTime) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        let to = member.record.addresses.probe;
        let probe = Probe {
            target: target.clone(),
            purpose,
            started: now,
        };
        if let Some(sequence) = self.probes.start(probe) {
            self.send(to, Message::Ping { sequence }, Some(target));
        }
    }

    fn send_announcements(&mut self, now: MonotonicTime) {
        if self.due.join_announcement.is_some_and(|due| now >= due) {
            self.due.join_announcement = None;
            self.announce_own(now);
        }
        if self.announcer.is_active() {
            let batch = self.announcer.next_batch();
            self.send_announcement(&batch);
        }
    }

    fn send_transfers(&mut self) {
        for _ in 0..DATAGRAMS_PER_TICK {
            let Some(transfer) = self.transfers.pop() else {
                return;
            };
            if let Some(rest) = self.send_part(transfer) {
                self.transfers.push(rest);
            }
        }
    }

    fn try_seeds(&mut self, now: MonotonicTime) {
        if now < self.due.seed {
            return;
        }
        let is_alone = self.members.len() == 1;
        let (count, interval) = match is_alone {
            true => (JOIN_SEED_COUNT, timing::JOIN_INTERVAL),
            false => (1, timing::SEED_INTERVAL),
        };
        self.due.seed = now.after(interval);
        let unknown = self.unknown_seeds();
        let chosen: Vec<_> = unknown
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        for seed in chosen {
            self.request_sync(seed, now);
        }
    }

    /// Returns the seed addresses at which no node is known to listen.
    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let is_known = |seed: &SocketAddr| {
            self.members.iter().any(|member| {
                let is_dead = member.record.condition == NodeCondition::Dead;
                member.record.addresses.probe == *seed && !is_dead
            })
        };
        let unknown = self.seeds.iter().filter(|seed| !is_known(seed));
        unknown.copied().collect()
    }

    fn clean_up(&mut self, now: MonotonicTime) {
        if now < self.due.cleanup {
            return;
        }
        self.due.cleanup = now.after(timing::CLEANUP_INTERVAL);
        if self
            .members
            .remove_expired_tombstones(now, timing::TOMBSTONE_RETENTION)
        {
            self.revision += 1;
        }
    }
}
