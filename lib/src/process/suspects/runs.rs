//! The requests that run on the local backend server, by fingerprint.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use http::StatusCode;

use super::Fingerprint;
use crate::values::MonotonicTime;

/// Returns whether a response shows that the backend server ran the whole request.
///
/// Servers also send errors for requests of which they ran nothing or a part.
pub(crate) fn is_finished(status: StatusCode) -> bool {
    let is_refusal = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
    );
    !status.is_server_error() && !is_refusal
}

number_type! {
    /// Identifies a run on the local backend server.
    RunId(u64)
}

/// A request that was given up before the backend server responded, and that it may still run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GivenUpRun {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether it ran on trial.
    pub was_trial: bool,
    /// Until when a crash may have been caused by it.
    pub until: MonotonicTime,
}

/// The fingerprints of the requests that run on the local backend server.
#[derive(Debug, Default)]
pub struct Runs {
    last: RunId,
    fingerprints: HashMap<RunId, Fingerprint>,
    /// In order of time.
    given_up: VecDeque<GivenUpRun>,
}

impl Runs {
    /// Time for which a request that was given up remains among the suspects of a crash. Few servers
    /// go on with a request whose connection was closed, and those finish it soon.
    pub const GIVEN_UP: Duration = Duration::from_secs(2);

    /// Maximum number of requests that were given up. The oldest are removed first.
    pub const GIVEN_UP_MAX: usize = 1_024;

    /// Adds a request that starts to run.
    pub fn add(&mut self, fingerprint: Fingerprint) -> RunId {
        let id = RunId(self.last.0 + 1);
        self.last = id;
        self.fingerprints.insert(id, fingerprint);
        id
    }

    /// Removes a request that ended.
    pub fn remove(&mut self, id: RunId) {
        self.fingerprints.remove(&id);
    }

    /// Removes a request that the backend server may still run, although its caller left, its time
    /// is over or its connection failed. It remains a suspect for [`Runs::GIVEN_UP`].
    ///
    /// Returns whether there was no such request before.
    pub fn give_up(&mut self, id: RunId, was_trial: bool, now: MonotonicTime) -> bool {
        let Some(fingerprint) = self.fingerprints.remove(&id) else {
            return false;
        };
        self.expire(now);
        let is_first = self.given_up.is_empty();
        if self.given_up.len() >= Self::GIVEN_UP_MAX {
            self.given_up.pop_front();
        }
        self.given_up.push_back(GivenUpRun {
            fingerprint,
            was_trial,
            until: now.after(Self::GIVEN_UP),
        });
        is_first
    }

    /// Returns until when requests that were given up remain suspects, if there are any.
    pub fn given_up_until(&mut self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.expire(now);
        self.given_up.back().map(|run| run.until)
    }

    /// Returns whether the backend server may be running a request with this fingerprint.
    pub fn may_run(&mut self, fingerprint: Fingerprint, now: MonotonicTime) -> bool {
        self.expire(now);
        let mut given_up = self.given_up.iter().map(|run| &run.fingerprint);
        let mut running = self.fingerprints.values();
        running.any(|run| *run == fingerprint) || given_up.any(|run| *run == fingerprint)
    }

    /// Returns whether the request runs and was not taken by [`Runs::take`].
    pub fn contains(&self, id: RunId) -> bool {
        self.fingerprints.contains_key(&id)
    }

    /// Removes and returns the fingerprints of all running requests.
    pub fn take(&mut self) -> Vec<Fingerprint> {
        self.fingerprints.drain().map(|(_, run)| run).collect()
    }

    /// Removes and returns the requests that were given up lately.
    pub fn take_given_up(&mut self, now: MonotonicTime) -> Vec<GivenUpRun> {
        self.expire(now);
        self.given_up.drain(..).collect()
    }

    fn expire(&mut self, now: MonotonicTime) {
        while self.given_up.front().is_some_and(|run| run.until <= now) {
            self.given_up.pop_front();
        }
    }
}
