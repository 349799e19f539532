//! At each point where an exchange can fail: the verdict that must come out.

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
            "home lost before it was asked",
            Queued,
            HomeLost,
            Verdict::NotRun,
        ),
        (
            "connect refused",
            Connecting,
            ConnectionRefused,
            Verdict::NotRun,
        ),
        ("connect timeout", Connecting, TimedOut, Verdict::NotRun),
        (
            "caller left while connecting",
            Connecting,
            Cancelled,
            Verdict::NotRun,
        ),
        (
            "kept connection closed",
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
            "lost in the first bytes",
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
            "lost after writing",
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
        ("no answer in time", Written, TimedOut, Verdict::MayHaveRun),
        (
            "cancelled while running",
            Written,
            Cancelled,
            Verdict::MayHaveRun,
        ),
        (
            "home lost while running",
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
            "answer cut",
            PartlyAnswered,
            ConnectionLost,
            Verdict::MayHaveRun,
        ),
        (
            "answer short",
            PartlyAnswered,
            AnswerBroken,
            Verdict::MayHaveRun,
        ),
        (
            "answer too slow",
            PartlyAnswered,
            TimedOut,
            Verdict::MayHaveRun,
        ),
        (
            "answer of another request",
            Answered,
            AnswerCrossed,
            Verdict::MayHaveRun,
        ),
        (
            "answer malformed",
            Answered,
            AnswerBroken,
            Verdict::MayHaveRun,
        ),
        (
            "caller left after the answer",
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
        (ExchangeError::BrokenAnswer, Verdict::MayHaveRun),
        (ExchangeError::TimedOut, Verdict::MayHaveRun),
    ];
    for (error, expected) in errors {
        assert_eq!(error.verdict(), expected, "{error}");
    }
}
