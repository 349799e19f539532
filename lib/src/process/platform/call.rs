//! Calls to the platform's service and its replies, independent of their wire form.

use super::CallKind;
use super::LeaseId;
use super::PlatformKey;
use super::PlatformValue;
use super::Revision;
use super::StoredValue;

plain_data! {
    /// A call to the service.
    #[serde(rename_all = "kebab-case", tag = "call")]
    pub enum PlatformCall {
        /// Reads a value.
        Get {
            /// The key to read.
            key: PlatformKey,
        },
        /// Writes a value if the key still has the expected revision.
        CompareAndSwap {
            /// The key to write.
            key: PlatformKey,
            /// The revision that the key must have; none if it must be absent.
            expected: Option<Revision>,
            /// The value to write.
            value: PlatformValue,
            /// The lease with which the value goes; none if it stays.
            lease: Option<LeaseId>,
        },
        /// Waits until a key has a revision other than the one known.
        Watch {
            /// The key to watch.
            key: PlatformKey,
            /// The revision known; none if the key is known to be absent.
            known: Option<Revision>,
            /// Longest time to wait.
            wait_ms: u64,
        },
        /// Makes a lease.
        GrantLease {
            /// Time after which the lease ends unless it is renewed.
            ttl_ms: u64,
        },
        /// Prolongs a lease by its time to live.
        RenewLease {
            /// The lease.
            lease: LeaseId,
        },
        /// Ends a lease.
        ReleaseLease {
            /// The lease.
            lease: LeaseId,
        },
    }
}

impl PlatformCall {
    /// Returns the kind under which the call is counted.
    pub fn kind(&self) -> CallKind {
        match self {
            Self::Get { .. } => CallKind::Get,
            Self::CompareAndSwap { .. } => CallKind::CompareAndSwap,
            Self::Watch { .. } => CallKind::Watch,
            Self::GrantLease { .. } | Self::RenewLease { .. } | Self::ReleaseLease { .. } => {
                CallKind::Lease
            }
        }
    }

    /// Returns how long the service may hold the call before it replies.
    pub fn wait_ms(&self) -> u64 {
        match self {
            Self::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }
}

plain_data! {
    /// What became of a compare-and-swap whose reply arrived.
    #[serde(rename_all = "kebab-case")]
    pub enum SwapReply {
        /// The value was written and has this revision.
        Done(Revision),
        /// The key had another revision; nothing was written.
        Conflict(Option<StoredValue>),
    }
}

plain_data! {
    /// What a watch saw.
    #[serde(rename_all = "kebab-case")]
    pub enum WatchReply {
        /// The key has this value now, or is absent.
        Changed(Option<StoredValue>),
        /// The key had the known revision for the whole wait.
        Unchanged,
    }
}

plain_data! {
    /// A reply of the service.
    #[serde(rename_all = "kebab-case")]
    pub enum PlatformReply {
        /// To [`PlatformCall::Get`].
        Value(Option<StoredValue>),
        /// To [`PlatformCall::CompareAndSwap`].
        Swap(SwapReply),
        /// To [`PlatformCall::Watch`].
        Watch(WatchReply),
        /// To calls about a lease that exists.
        Lease(LeaseId),
        /// To calls about a lease that has ended.
        LeaseEnded,
        /// The service is over its limit of calls; nothing was done.
        Busy,
    }
}
