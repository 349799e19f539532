//! Tests of the verdict for each point at which an exchange can fail.

use balsamfold::connection::ExchangeError;
use balsamfold::request::ExchangeProgress;
use balsamfold::request::Failure;
use balsamfold::request::Verdict;
use balsamfold::request::verdict_of;

#[test]
fn each_failure_has_its_expected_verdict() {
    use ExchangeProgress::*;
    use Failure::*;
    let table = [
        ("cancelled in the queue", Queued, Cancelled, Verdict::NotRun),
        ("timed out in the queue", Queued, TimedOut, Verdict::NotRun),
        ("node draining", Queued, Draining, Verdict::NotRun),
        (
            "home node lost before the request was sent",
            Queued,
            HomeLost,
            Verdict::NotRun,
        ),
        (
            "connection refused",
            Connecting,
            ConnectionRefused,
            Verdict::NotRun,
        ),
        (
            "connection timed out",
            Connecting,
            TimedOut,
            Verdict::NotRun,
        ),
        (
            "caller disconnected while connecting",
            Connecting,
            Cancelled,
            Verdict::NotRun,
        ),
        (
            "idle connection closed",
            Connected,
            ConnectionLost,
            Verdict::NotRun,
        ),
        (
            "timed out before writing",
            Connected,
            TimedOut,
            Verdict::NotRun,
        ),
        (
            "connection lost in the first bytes",
            PartlyWritten,
            ConnectionLost,
            Verdict::MayHaveRun,
        ),
        (
            "cancelled while writing",
            PartlyWritten,
            Cancelled,
            Verdict::MayHaveRun,
        ),
        (
            "timed out while writing",
            PartlyWritten,
            TimedOut,
            Verdict::MayHaveRun,
        ),
        (
            "connection lost after writing",
            Written,
            ConnectionLost,
            Verdict::MayHaveRun,
        ),
        (
            "server crashed",
            Written,
            ServerCrashed,
            Verdict::MayHaveRun,
        ),
        (
            "no response in time",
            Written,
            TimedOut,
            Verdict::MayHaveRun,
        ),
        (
            "cancelled while running",
            Written,
            Cancelled,
            Verdict::MayHaveRun,
        ),
        (
            "home node lost while running",
            Written,
            HomeLost,
            Verdict::MayHaveRun,
        ),
        (
            "server draining while running",
            Written,
            Draining,
            Verdict::MayHaveRun,
        ),
        (
            "connection lost during the response",
            PartlyAnswered,
            ConnectionLost,
            Verdict::MayHaveRun,
        ),
        (
            "response too short",
            PartlyAnswered,
            AnswerBroken,
            Verdict::MayHaveRun,
        ),
        (
            "response timed out",
            PartlyAnswered,
            TimedOut,
            Verdict::MayHaveRun,
        ),
        (
            "response of another request",
            Answered,
            AnswerCrossed,
            Verdict::MayHaveRun,
        ),
        (
            "response malformed",
            Answered,
            AnswerBroken,
            Verdict::MayHaveRun,
        ),
        (
            "caller disconnected after the response",
            Answered,
            Cancelled,
            Verdict::Ran,
        ),
    ];
    for (name, progress, failure, expected) in table {
        assert_eq!(verdict_of(progress, failure), expected, "{name}");
    }
}

#[test]
fn no_error_after_the_first_byte_has_the_verdict_not_run() {
    let errors = [
        (ExchangeError::NotConnected, Verdict::NotRun),
        (ExchangeError::NoFreeConnection, Verdict::NotRun),
        (ExchangeError::NotSent, Verdict::NotRun),
        (ExchangeError::Sent, Verdict::MayHaveRun),
        (ExchangeError::Silent, Verdict::MayHaveRun),
        (ExchangeError::InvalidResponse, Verdict::MayHaveRun),
        (ExchangeError::TimedOut, Verdict::MayHaveRun),
    ];
    for (error, expected) in errors {
        assert_eq!(error.verdict(), expected, "{error}");
    }
}
