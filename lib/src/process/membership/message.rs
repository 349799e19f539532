//! What nodes send one another by UDP.

use super::NodeRecord;
use crate::values::ConfigVersion;
use crate::values::NodeId;

number_type! {
    /// Connects an answer with the probe that asked for it.
    ProbeSequence(u32)
}

number_type! {
    /// Sum of the hashes of all live records that a node knows. Equal tables have equal digests.
    TableDigest(u32)
}

plain_data! {
    /// What a datagram is for.
    #[derive(Eq)]
    pub enum Message {
        /// Asks the receiver for an [`Message::Ack`].
        Ping {
            /// Returned in the answer.
            sequence: ProbeSequence,
        },
        /// Answers a ping.
        Ack {
            /// The sequence of the ping.
            sequence: ProbeSequence,
        },
        /// Asks the receiver to probe a third node.
        PingRequest {
            /// Returned in the answer.
            sequence: ProbeSequence,
            /// The node to probe.
            target: NodeId,
        },
        /// Tells that the third node answered.
        IndirectAck {
            /// The sequence of the request.
            sequence: ProbeSequence,
        },
        /// Carries the sender's own changed record.
        Announce,
        /// Asks for the records in buckets that differ, and for the receiver's bucket digests.
        SyncRequest {
            /// One digest a bucket.
            buckets: Vec<TableDigest>,
        },
        /// Asks for the records in buckets that differ.
        SyncReply {
            /// One digest a bucket.
            buckets: Vec<TableDigest>,
        },
        /// Carries records from buckets that differ.
        Records,
    }
}

plain_data! {
    /// The fixed part of each datagram.
    #[derive(Eq)]
    pub struct Envelope {
        /// The node that sent the datagram.
        pub sender: NodeId,
        /// The version of the configuration that the sender runs.
        pub config: ConfigVersion,
        /// The digest of the sender's table.
        pub digest: TableDigest,
        /// What the datagram is for.
        pub message: Message,
    }
}

plain_data! {
    /// A whole datagram: the fixed part, and as many records as fit.
    #[derive(Eq)]
    pub struct Datagram {
        /// The fixed part.
        pub envelope: Envelope,
        /// Records that the sender passes on.
        pub records: Vec<NodeRecord>,
    }
}
