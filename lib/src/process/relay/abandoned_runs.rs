//! Requests on which the local backend server may still work although nobody waits for their responses.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::values::MonotonicTime;

/// Hash of the id of a request. Ids may be as long as the headers that callers may send.
type IdHash = blake3::Hash;

/// Requests whose runs ended without a response of the server: their callers left, their time was over, or
/// their connections were lost.
#[derive(Debug, Default)]
pub struct AbandonedRuns {
    ids: HashSet<IdHash>,
    /// The ids with the times when they were added.
    oldest_first: VecDeque<(MonotonicTime, IdHash)>,
}

impl AbandonedRuns {
    /// Time for which a request is remembered: beyond its deadline, at which a server should stop.
    pub const REMEMBERED: Duration = Duration::from_secs(60);
    /// Most requests that are remembered, in less than a megabyte. Beyond it, the oldest are forgotten.
    pub const MAX: usize = 4_096;

    /// Adds a request.
    pub fn add(&mut self, request_id: &str, now: MonotonicTime) {
        let id = blake3::hash(request_id.as_bytes());
        if self.ids.insert(id) {
            self.oldest_first.push_back((now, id));
        }
        self.forget(now);
    }

    /// Returns whether the server may still work on a request for whose response nobody waits.
    pub fn contains(&mut self, request_id: &str, now: MonotonicTime) -> bool {
        self.forget(now);
        // Most nodes remember none.
        !self.ids.is_empty() && self.ids.contains(&blake3::hash(request_id.as_bytes()))
    }

    /// Forgets old requests, and the oldest beyond the maximum.
    fn forget(&mut self, now: MonotonicTime) {
        while let Some((added_at, id)) = self.oldest_first.front() {
            let is_old = now.since(*added_at) >= Self::REMEMBERED;
            if !is_old && self.oldest_first.len() <= Self::MAX {
                return;
            }
            self.ids.remove(id);
            self.oldest_first.pop_front();
        }
    }
}
