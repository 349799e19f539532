//! Calls to the platform's service and its replies, independent of the wire protocol.

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
            /// The revision that the key must have; `None` if the key must be absent.
            expected: Option<Revision>,
            /// The value to write.
            value: PlatformValue,
            /// The lease whose end removes the value; `None` if the value stays.
            lease: Option<LeaseId>,
        },
        /// Waits until a key has a revision other than the known one.
        Watch {
            /// The key to watch.
            key: PlatformKey,
            /// The known revision; `None` if the key is known to be absent.
            known: Option<Revision>,
            /// Longest time to wait.
            wait_ms: u64,
        },
        /// Creates a lease.
        GrantLease {
            /// Time after which the lease ends unless it is renewed.
            ttl_ms: u64,
        },
        /// Renews a lease for its time to live.
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

    /// Returns how long the service may delay its reply, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        match self {
            Self::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }
}

plain_data! {
    /// Reply to a compare-and-swap.
    #[serde(rename_all = "kebab-case")]
    pub enum SwapReply {
        /// The value was written and has this revision.
        Done(Revision),
        /// Nothing was written: the key had another revision, with this value, or was absent.
        Conflict(Option<StoredValue>),
    }
}

plain_data! {
    /// Reply to a watch.
    #[serde(rename_all = "kebab-case")]
    pub enum WatchReply {
        /// The key now has this value; `None` if it is absent.
        Changed(Option<StoredValue>),
        /// The key had the known revision for the whole wait.
        Unchanged,
    }
}

plain_data! {
    /// A reply of the service.
    #[serde(rename_all = "kebab-case")]
    pub enum PlatformReply {
        /// Reply to [`PlatformCall::Get`].
        Value(Option<StoredValue>),
        /// Reply to [`PlatformCall::CompareAndSwap`].
        Swap(SwapReply),
        /// Reply to [`PlatformCall::Watch`].
        Watch(WatchReply),
        /// Reply to a call that creates, renews or ends a lease.
        Lease(LeaseId),
        /// Reply to a call that uses a lease that has already ended.
        LeaseEnded,
        /// The service is over its call limit; nothing was done.
        Busy,
    }
}
