//! Checks invariants on the records of callers and backend servers, independent of what the product
//! reports.

use std::collections::BTreeMap;

use balsamfold::request::Verdict;

use super::records::CallerRecord;
use super::records::RequestOutcome;
use super::records::runs_by_request;
use crate::backend_server::Run;

/// The rate limit of an organisation.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Its rate in requests per second.
    pub rate_per_s: f64,
    /// Its burst, one token for each request.
    pub burst_tokens: f64,
}

/// A breach of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A request on a path that must run at most once ran more often.
    RanTwice(String),
    /// A request ran whose refusal says that it did not run.
    FalseNotRun(String),
    /// A backend server received a caller's key.
    KeySeen(String),
    /// A caller received a response that is incomplete or belongs to another request.
    WrongAnswer(String),
    /// More requests of an organisation ran than its rate and burst allow.
    RateExceeded(String),
}

/// Checks the records of one load; `once_paths` are the paths that must run at most once.
pub fn find_breaches(
    records: &BTreeMap<String, CallerRecord>,
    runs: &[Run],
    once_paths: &[&str],
    allowances: &BTreeMap<String, Allowance>,
) -> Vec<Breach> {
    let counts = runs_by_request(runs);
    let last_ms = records.values().map(|record| record.finished_ms).max();
    let duration_s = last_ms.unwrap_or(0) as f64 / 1_000.0;
    let ran_twice = counts
        .iter()
        .filter(|((path, _), count)| **count > 1 && once_paths.contains(path))
        .map(|((_, body), _)| Breach::RanTwice((*body).to_owned()));
    let false_not_run = records
        .iter()
        .filter(|(_, record)| record.outcome == RequestOutcome::Refused(Verdict::NotRun))
        .filter(|(body, record)| counts.contains_key(&(record.path.as_str(), body.as_str())))
        .map(|(body, _)| Breach::FalseNotRun(body.clone()));
    let key_seen = runs
        .iter()
        .filter(|run| run.carried_key)
        .map(|run| Breach::KeySeen(run.body.clone()));
    let wrong = records
        .iter()
        .filter(|(_, record)| record.outcome == RequestOutcome::Wrong)
        .map(|(body, _)| Breach::WrongAnswer(body.clone()));
    let over = allowances.iter().filter_map(|(organisation, allowance)| {
        let ran = records
            .iter()
            .filter(|(_, record)| record.organisation == *organisation)
            .filter(|(body, record)| counts.contains_key(&(record.path.as_str(), body.as_str())))
            .count();
        let allowed = allowance.burst_tokens + allowance.rate_per_s * duration_s;
        (ran as f64 > allowed)
            .then(|| Breach::RateExceeded(format!("{organisation}: {ran} over {allowed}")))
    });
    ran_twice
        .chain(false_not_run)
        .chain(key_seen)
        .chain(wrong)
        .chain(over)
        .collect()
}
