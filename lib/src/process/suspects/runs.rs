//! The requests that run on the local backend server, by fingerprint.

use std::collections::HashMap;

use http::StatusCode;

use super::Fingerprint;

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

/// The fingerprints of the requests that run on the local backend server.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    last: RunId,
    fingerprints: HashMap<RunId, Fingerprint>,
}

impl Runs {
    /// Adds a request that starts to run.
    pub(crate) fn add(&mut self, fingerprint: Fingerprint) -> RunId {
        let id = RunId(self.last.0 + 1);
        self.last = id;
        self.fingerprints.insert(id, fingerprint);
        id
    }

    /// Removes a request that ended.
    pub(crate) fn remove(&mut self, id: RunId) {
        self.fingerprints.remove(&id);
    }

    /// Returns whether the request runs and was not taken by [`Runs::take`].
    pub(crate) fn contains(&self, id: RunId) -> bool {
        self.fingerprints.contains_key(&id)
    }

    /// Removes and returns the fingerprints of all running requests.
    pub(crate) fn take(&mut self) -> Vec<Fingerprint> {
        self.fingerprints.drain().map(|(_, run)| run).collect()
    }
}
