//! Membership messages that nodes exchange over UDP.

use super::NodeRecord;
use crate::values::ConfigVersion;
use crate::values::NodeId;

number_type! {
    /// Identifies the probe to which a reply belongs.
    ProbeSequence(u32)
}

number_type! {
    /// Sum of the hashes of the records that a node holds, except those of dead nodes. Equal tables
    /// have equal digests.
    TableDigest(u32)
}

plain_data! {
    /// The purpose of a datagram.
    #[derive(Eq)]
    pub enum Message {
        /// Probes the receiver, which replies with [`Message::Ack`].
        Ping {
            /// Returned in the reply.
            sequence: ProbeSequence,
        },
        /// Replies to a ping.
        Ack {
            /// The sequence of the ping.
            sequence: ProbeSequence,
        },
        /// Requests an indirect probe: the receiver probes a third node.
        PingRequest {
            /// Returned in the reply.
            sequence: ProbeSequence,
            /// The node to probe.
            target: NodeId,
        },
        /// Reports that the third node replied to the indirect probe.
        IndirectAck {
            /// The sequence of the request.
            sequence: ProbeSequence,
        },
        /// Announces the sender's own changed record.
        Announce,
        /// Starts an anti-entropy sync: requests the records in differing buckets, and the
        /// receiver's bucket digests.
        SyncRequest {
            /// One digest per bucket.
            buckets: Vec<TableDigest>,
        },
        /// Replies to a sync request, and requests the records in differing buckets.
        SyncReply {
            /// One digest per bucket.
            buckets: Vec<TableDigest>,
        },
        /// Carries records from differing buckets.
        Records,
    }
}

plain_data! {
    /// The fixed part of each datagram.
    #[derive(Eq)]
    pub struct Envelope {
        /// The node that sent the datagram.
        pub sender: NodeId,
        /// The version of the configuration in force at the sender.
        pub config: ConfigVersion,
        /// The digest of the sender's table.
        pub digest: TableDigest,
        /// The purpose of the datagram.
        pub message: Message,
    }
}

plain_data! {
    /// A decoded datagram: the fixed part and any number of records.
    #[derive(Eq)]
    pub struct Datagram {
        /// The fixed part.
        pub envelope: Envelope,
        /// Records that the sender disseminates.
        pub records: Vec<NodeRecord>,
    }
}
