//! Errors of calls to the platform's service.

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
    /// The service refused the call because it is over its call limit; nothing was done.
    #[snafu(display("the platform's service is over its call limit"))]
    Busy,
    /// No reply arrived in time or the connection failed. The call may have taken effect.
    #[snafu(display("the platform's service sent no reply: {detail}"))]
    NoReply {
        /// What went wrong.
        detail: String,
    },
    /// The reply cannot be decoded. The call may have taken effect.
    #[snafu(display("the reply of the platform's service cannot be decoded: {detail}"))]
    BadReply {
        /// What went wrong.
        detail: String,
    },
    /// The lease has ended; the values attached to it are removed.
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
