//! Building and queueing of datagrams.

use std::net::SocketAddr;

use bytes::Bytes;

use super::MembershipState;
use super::Outgoing;
use crate::process::membership::Envelope;
use crate::process::membership::Message;
use crate::process::membership::NodeCondition;
use crate::process::membership::NodeRecord;
use crate::process::membership::codec::DatagramBuilder;
use crate::process::membership::deltas::send_limit;
use crate::process::membership::transfers::Transfer;
use crate::values::NodeId;

impl MembershipState {
    /// Sends `message` with the records that are queued for dissemination.
    ///
    /// If the receiver is suspect or dead, its own record comes first, so that it can refute it.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message, receiver: Option<&NodeId>) {
        let mut builder = DatagramBuilder::new(&self.envelope(message));
        let lost = receiver.and_then(|id| self.lost_record(id)).cloned();
        if let Some(record) = &lost {
            builder.add(record);
        }
        let members = &self.members;
        let lost_id = lost.as_ref().map(|record| &record.id);
        self.deltas
            .take(send_limit(members.len()), |id| match members.get(id) {
                Some(member) if lost_id != Some(id) => builder.add(&member.record),
                _ => true,
            });
        self.push(to, builder);
    }

    /// Sends `message` with only this node's record.
    pub(super) fn send_own_record(&mut self, to: SocketAddr, message: Message) {
        let mut builder = DatagramBuilder::new(&self.envelope(message));
        builder.add(&self.own);
        self.push(to, builder);
    }

    /// Sends this node's record to all of `ids`.
    pub(super) fn send_announcement(&mut self, ids: &[NodeId]) {
        let mut builder = DatagramBuilder::new(&self.envelope(Message::Announce));
        builder.add(&self.own);
        let bytes = Bytes::from(builder.seal(&self.key));
        for id in ids {
            if let Some(member) = self.members.get(id) {
                let to = member.record.addresses.probe;
                let bytes = bytes.clone();
                self.outbox.push(Outgoing { to, bytes });
                self.counters.sent += 1;
                self.counters.sent_bytes += self.outbox.last().map_or(0, byte_count);
            }
        }
    }

    /// Sends one datagram of a transfer, and returns the rest of the transfer, if any.
    pub(super) fn send_part(&mut self, mut transfer: Transfer) -> Option<Transfer> {
        let mut builder = DatagramBuilder::new(&self.envelope(Message::Records));
        while let Some(id) = transfer.ids.last() {
            match self.members.get(id) {
                Some(member) if !builder.add(&member.record) => break,
                _ => transfer.ids.pop(),
            };
        }
        self.push(transfer.to, builder);
        Some(transfer).filter(|transfer| !transfer.ids.is_empty())
    }

    fn push(&mut self, to: SocketAddr, builder: DatagramBuilder) {
        let bytes = Bytes::from(builder.seal(&self.key));
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.outbox.push(Outgoing { to, bytes });
    }

    fn envelope(&self, message: Message) -> Envelope {
        Envelope {
            sender: self.own.id.clone(),
            config: self.config,
            digest: self.members.digest(),
            message,
        }
    }

    fn lost_record(&self, id: &NodeId) -> Option<&NodeRecord> {
        let record = &self.members.get(id)?.record;
        match record.condition {
            NodeCondition::Suspect | NodeCondition::Dead => Some(record),
            NodeCondition::Alive | NodeCondition::Leaving => None,
        }
    }
}

fn byte_count(outgoing: &Outgoing) -> u64 {
    outgoing.bytes.len() as u64
}
