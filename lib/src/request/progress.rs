//! The verdict on a request whose exchange failed.

use super::Verdict;

plain_value! {
    /// How far a request got on its way to a handler, as far as its sender can tell.
    pub enum ExchangeProgress {
        /// It waits for a slot or a connection.
        Queued,
        /// Its connection is being opened.
        Connecting,
        /// It has a connection, and no byte of it was written.
        Connected,
        /// It was written in part. A handler may start on the first bytes.
        PartlyWritten,
        /// It was written whole.
        Written,
        /// A part of the answer was read.
        PartlyAnswered,
        /// The whole answer was read.
        Answered,
    }
}

plain_value! {
    /// What ended an exchange before its answer could be used.
    pub enum Failure {
        /// The other side does not accept the connection.
        ConnectionRefused,
        /// The connection closed or was reset.
        ConnectionLost,
        /// The process at the other end crashed.
        ServerCrashed,
        /// The time was up.
        TimedOut,
        /// The caller left.
        Cancelled,
        /// The other side takes no new work.
        Draining,
        /// The node that keeps the record of the request cannot be reached.
        HomeLost,
        /// The answer is shorter than it says, malformed or too large.
        AnswerBroken,
        /// The answer belongs to another request.
        AnswerCrossed,
    }
}

/// Says whether a handler may have seen a request whose exchange failed.
///
/// What failed never makes a request less likely to have run: only the progress counts, except
/// that an answer to another request is no answer.
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
