//! Failures of calls to the platform's service.

use snafu::Snafu;

/// Why a call to the platform's service failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PlatformError {
    /// The call did not reach the service.
    #[snafu(display("the platform's service cannot be reached: {detail}"))]
    NotSent {
        /// What went wrong.
        detail: String,
    },
    /// The service refused the call because it has too many; nothing was done.
    #[snafu(display("the platform's service is over its limit of calls"))]
    Busy,
    /// No reply came in time or the connection broke. The call may have taken effect.
    #[snafu(display("the platform's service gave no reply: {detail}"))]
    NoReply {
        /// What went wrong.
        detail: String,
    },
    /// The reply cannot be read. The call may have taken effect.
    #[snafu(display("the reply of the platform's service cannot be read: {detail}"))]
    BadReply {
        /// What went wrong.
        detail: String,
    },
    /// The lease has ended; values that hung on it are gone.
    #[snafu(display("the lease has ended"))]
    LeaseEnded,
}

impl PlatformError {
    /// Returns whether the call may have taken effect.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::NoReply { .. } | Self::BadReply { .. } => true,
            Self::NotSent { .. } | Self::Busy | Self::LeaseEnded => false,
        }
    }
}
