//! The checks of the chaos program find each kind of breach, and none in records without one.

use std::collections::BTreeMap;

use balsamfold::request::Verdict;
use testutils::backend_server::Run;
use testutils::chaos::Allowance;
use testutils::chaos::Breach;
use testutils::chaos::CallerRecord;
use testutils::chaos::RequestOutcome;
use testutils::chaos::find_breaches;

const ORDER: &str = "/order";

fn caller_record(outcome: RequestOutcome) -> CallerRecord {
    CallerRecord {
        organisation: "workshop".to_owned(),
        path: ORDER.to_owned(),
        finished_ms: 1_000,
        outcome,
    }
}

fn run(body: &str) -> Run {
    Run {
        path: ORDER.to_owned(),
        body: body.to_owned(),
        carried_key: false,
        header_names: Vec::new(),
    }
}

fn check(outcome: RequestOutcome, runs: &[Run], burst_tokens: f64) -> Vec<Breach> {
    let records = BTreeMap::from([("a".to_owned(), caller_record(outcome))]);
    let allowance = Allowance {
        rate_per_s: 0.0,
        burst_tokens,
    };
    let allowances = BTreeMap::from([("workshop".to_owned(), allowance)]);
    find_breaches(&records, runs, &[ORDER], &allowances)
}

#[test]
fn records_without_a_breach_pass() {
    assert_eq!(check(RequestOutcome::Whole, &[run("a")], 1.0), Vec::new());
    assert_eq!(
        check(RequestOutcome::Refused(Verdict::NotRun), &[], 1.0),
        Vec::new()
    );
    assert_eq!(
        check(
            RequestOutcome::Refused(Verdict::MayHaveRun),
            &[run("a")],
            1.0
        ),
        Vec::new()
    );
}

#[test]
fn each_breach_is_found() {
    let a = || "a".to_owned();
    let twice = check(RequestOutcome::Whole, &[run("a"), run("a")], 1.0);
    assert_eq!(twice, vec![Breach::RanTwice(a())]);
    let false_refusal = check(RequestOutcome::Refused(Verdict::NotRun), &[run("a")], 1.0);
    assert_eq!(false_refusal, vec![Breach::FalseNotRun(a())]);
    let with_key = Run {
        carried_key: true,
        ..run("a")
    };
    assert_eq!(
        check(RequestOutcome::Whole, &[with_key], 1.0),
        vec![Breach::KeySeen(a())]
    );
    assert_eq!(
        check(RequestOutcome::Wrong, &[run("a")], 1.0),
        vec![Breach::WrongAnswer(a())]
    );
    let over = check(RequestOutcome::Whole, &[run("a")], 0.0);
    assert!(
        matches!(over.as_slice(), [Breach::RateExceeded(_)]),
        "{over:?}"
    );
}
