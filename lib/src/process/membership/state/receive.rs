//! Handling of received datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::ConfigHint;
use super::MembershipState;
use crate::process::events::membership;
use crate::process::membership::Datagram;
use crate::process::membership::DatagramError;
use crate::process::membership::Envelope;
use crate::process::membership::MergeOutcome;
use crate::process::membership::Message;
use crate::process::membership::NodeCondition;
use crate::process::membership::NodeRecord;
use crate::process::membership::TableDigest;
use crate::process::membership::codec;
use crate::process::membership::deltas::send_limit;
use crate::process::membership::members::BUCKET_COUNT;
use crate::process::membership::probes::Probe;
use crate::process::membership::probes::ProbePurpose;
use crate::process::membership::timing::JOIN_ANNOUNCE_DELAY;
use crate::process::membership::timing::SYNC_INTERVAL;
use crate::process::membership::transfers::Transfer;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// How this node received a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordSource {
    /// With a probe, or detected by this node. Other nodes may not know it yet.
    Gossip,
    /// From the node itself, which announces it to all other nodes as well.
    Announcement,
    /// By an anti-entropy sync. Other nodes learn it in the same way.
    Sync,
}

impl MembershipState {
    /// Handles a received datagram, or drops it if it is not a valid datagram of this fleet.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        from: SocketAddr,
        now: MonotonicTime,
    ) -> Result<(), DatagramError> {
        match codec::decode(bytes, &self.key) {
            Ok(datagram) => {
                self.counters.received += 1;
                self.counters.received_bytes += bytes.len() as u64;
                self.accept(datagram, from, now);
                Ok(())
            }
            Err(error) => {
                self.counters.dropped += 1;
                Err(error)
            }
        }
    }

    fn accept(&mut self, datagram: Datagram, from: SocketAddr, now: MonotonicTime) {
        let Datagram { envelope, records } = datagram;
        if envelope.sender == self.own.id {
            return;
        }
        for record in records {
            let source = match envelope.message {
                Message::Announce if record.id == envelope.sender => RecordSource::Announcement,
                Message::Records => RecordSource::Sync,
                _ => RecordSource::Gossip,
            };
            self.learn(record, source, now);
        }
        self.record_sender(&envelope, now);
        self.handle_message(envelope, from, now);
    }

    fn handle_message(&mut self, envelope: Envelope, from: SocketAddr, now: MonotonicTime) {
        let sender = envelope.sender;
        match envelope.message {
            Message::Ping { sequence } => {
                self.send(from, Message::Ack { sequence }, Some(&sender));
                self.compare_digest(envelope.digest, from, now);
            }
            Message::Ack { sequence } => {
                if let Some(probe) = self.probes.finish_direct(sequence, &sender) {
                    self.finish_probe(probe);
                }
                self.compare_digest(envelope.digest, from, now);
            }
            Message::PingRequest { sequence, target } => {
                let requester = from;
                let purpose = ProbePurpose::Relay {
                    requester,
                    sequence,
                };
                self.probe(&target, purpose, now);
            }
            Message::IndirectAck { sequence } => {
                if let Some(probe) = self.probes.finish_indirect(sequence) {
                    self.finish_probe(probe);
                }
            }
            Message::Announce | Message::Records => {}
            Message::SyncRequest { buckets } => self.handle_sync_request(&buckets, from),
            Message::SyncReply { buckets } => self.transfer_differing(&buckets, from),
        }
    }

    /// Merges a record into the table, and handles the change if there is one.
    ///
    /// A record about this node is refuted if it is wrong.
    pub(super) fn learn(&mut self, record: NodeRecord, source: RecordSource, now: MonotonicTime) {
        if !record.incarnation.is_plausible() {
            return;
        }
        if record.id == self.own.id {
            self.refute(&record, now);
            return;
        }
        let id = record.id.clone();
        match self.members.merge(record, now) {
            MergeOutcome::Ignored => {}
            MergeOutcome::Added => {
                self.handle_join(&id, now);
                self.mark_predecessors_dead(&id, now);
                self.handle_change(&id, now);
                if source != RecordSource::Sync {
                    self.disseminate(&id, source);
                }
            }
            MergeOutcome::Changed => {
                self.handle_change(&id, now);
                self.disseminate(&id, source);
            }
        }
    }

    fn disseminate(&mut self, id: &NodeId, source: RecordSource) {
        match source {
            RecordSource::Announcement => {
                let limit = send_limit(self.members.len());
                self.deltas.push_announced(id, limit);
            }
            RecordSource::Gossip | RecordSource::Sync => self.deltas.push(id),
        }
    }

    fn handle_join(&mut self, id: &NodeId, now: MonotonicTime) {
        membership::NODE_JOINED.log(id);
        let is_first = self.members.len() == 2;
        if is_first {
            self.due.join_announcement = Some(now.after(JOIN_ANNOUNCE_DELAY));
        }
    }

    /// Marks as dead the nodes that listened at the address of the new node `id` before it.
    fn mark_predecessors_dead(&mut self, id: &NodeId, now: MonotonicTime) {
        let Some(added) = self.members.get(id).map(|member| member.record.clone()) else {
            return;
        };
        let predecessors: Vec<_> = self
            .members
            .iter()
            .map(|member| &member.record)
            .filter(|record| record.addresses.probe == added.addresses.probe)
            .filter(|record| record.incarnation < added.incarnation)
            .filter(|record| record.condition != NodeCondition::Dead)
            .filter(|record| record.id != self.own.id)
            .cloned()
            .collect();
        for mut record in predecessors {
            record.condition = NodeCondition::Dead;
            self.learn(record, RecordSource::Gossip, now);
        }
    }

    fn handle_change(&mut self, id: &NodeId, now: MonotonicTime) {
        self.revision += 1;
        let Some(member) = self.members.get(id) else {
            return;
        };
        match member.record.condition {
            NodeCondition::Suspect => {
                membership::NODE_SUSPECTED.log(id);
                self.suspicions.restart(id, now);
            }
            NodeCondition::Alive => {
                self.suspicions.remove(id);
            }
            NodeCondition::Leaving => {
                membership::NODE_LEAVING.log(id);
                self.suspicions.remove(id);
            }
            NodeCondition::Dead => {
                membership::NODE_DEAD.log(id);
                self.suspicions.remove(id);
            }
        }
    }

    fn record_sender(&mut self, envelope: &Envelope, now: MonotonicTime) {
        if let Some(member) = self.members.get(&envelope.sender) {
            self.contacts.record_datagram(&member.record.zone, now);
            self.clear_leaving_suspicion(&envelope.sender);
        }
        let known = self.config_hint.as_ref().map(|hint| hint.version);
        if envelope.config > known.unwrap_or(self.config).max(self.config) {
            self.config_hint = Some(ConfigHint {
                version: envelope.config,
                node: envelope.sender.clone(),
            });
        }
    }

    fn finish_probe(&mut self, probe: Probe) {
        match probe.purpose {
            ProbePurpose::Relay {
                requester,
                sequence,
            } => self.send(requester, Message::IndirectAck { sequence }, None),
            ProbePurpose::Liveness | ProbePurpose::IndirectLiveness | ProbePurpose::Recovery => {}
        }
    }

    /// Ends the suspicion of a leaving node that responds again. A suspect node must refute the
    /// suspicion instead.
    fn clear_leaving_suspicion(&mut self, id: &NodeId) {
        let condition = self.members.get(id).map(|member| member.record.condition);
        if condition == Some(NodeCondition::Leaving) {
            self.suspicions.remove(id);
        }
    }

    /// Requests an anti-entropy sync if the other node's table differs and a sync is due.
    fn compare_digest(&mut self, theirs: TableDigest, from: SocketAddr, now: MonotonicTime) {
        if theirs != self.members.digest() && now >= self.due.sync {
            self.request_sync(from, now);
        }
    }

    /// Requests an anti-entropy sync.
    pub(super) fn request_sync(&mut self, to: SocketAddr, now: MonotonicTime) {
        let jitter = SYNC_INTERVAL.mul_f64(self.rng.random::<f64>() / 2.0);
        let wait: Duration = SYNC_INTERVAL + jitter;
        self.due.sync = now.after(wait);
        let buckets = self.members.buckets().to_vec();
        self.send_own_record(to, Message::SyncRequest { buckets });
    }

    fn handle_sync_request(&mut self, theirs: &[TableDigest], from: SocketAddr) {
        let buckets = self.members.buckets().to_vec();
        if theirs.len() == BUCKET_COUNT && theirs != buckets {
            self.send_own_record(from, Message::SyncReply { buckets });
            self.transfer_differing(theirs, from);
        }
    }

    fn transfer_differing(&mut self, theirs: &[TableDigest], to: SocketAddr) {
        if theirs.len() == BUCKET_COUNT {
            let ids = self.members.differing(theirs);
            self.transfers.push(Transfer { to, ids });
        }
    }
}
