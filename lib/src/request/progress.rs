//! The verdict on a request whose exchange failed.

use super::Verdict;

plain_value! {
    /// How far a request got towards a handler, as far as its sender can tell.
    pub enum ExchangeProgress {
        /// The request waits for a slot or a connection.
        Queued,
        /// The connection is being opened.
        Connecting,
        /// The connection is open, and no byte of the request was written.
        Connected,
        /// A part of the request was written. A handler may start on the first bytes.
        PartlyWritten,
        /// The complete request was written.
        Written,
        /// A part of the response was read.
        PartlyAnswered,
        /// The complete response was read.
        Answered,
    }
}

plain_value! {
    /// Why an exchange ended without a usable response.
    pub enum Failure {
        /// The other side refused the connection.
        ConnectionRefused,
        /// The connection closed or was reset.
        ConnectionLost,
        /// The backend server process crashed.
        ServerCrashed,
        /// A timeout expired.
        TimedOut,
        /// The caller disconnected.
        Cancelled,
        /// The other side is draining and accepts no new requests.
        Draining,
        /// The home node, which keeps the record of the request, cannot be reached.
        HomeLost,
        /// The response is shorter than its declared length, malformed or too large.
        AnswerBroken,
        /// The response belongs to another request.
        AnswerCrossed,
    }
}

/// Returns whether a handler may have received a request whose exchange failed.
///
/// Only the progress counts: the kind of failure never makes it less likely that the request ran.
/// The exception is a response that is broken or belongs to another request, which counts as no
/// response.
pub fn verdict_of(progress: ExchangeProgress, failure: Failure) -> Verdict {
    match progress {
        ExchangeProgress::Queued | ExchangeProgress::Connecting | ExchangeProgress::Connected => {
            Verdict::NotRun
        }
        ExchangeProgress::PartlyWritten
        | ExchangeProgress::Written
        | ExchangeProgress::PartlyAnswered => Verdict::MayHaveRun,
        ExchangeProgress::Answered => match failure {
            Failure::AnswerBroken | Failure::AnswerCrossed => Verdict::MayHaveRun,
            _ => Verdict::Ran,
        },
    }
}
