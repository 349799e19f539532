//! The end of a planned stop: each request that is still open gets a response of this node.

use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::Verdict;

/// Whether requests may begin and go on during a planned stop.
#[derive(Debug, Default)]
pub(super) struct StopLimit {
    reached: CancellationToken,
    refuses_new: AtomicBool,
    /// Requests to the local backend server, including those that wait for it. An earlier incarnation
    /// of the server may still run some.
    runs: AtomicU64,
}

impl StopLimit {
    /// Refuses requests of callers from now on.
    pub(super) fn refuse_new(&self) {
        self.refuses_new.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests of callers are refused, because they could not be completed.
    pub(super) fn refuses_new(&self) -> bool {
        self.refuses_new.load(Ordering::Relaxed)
    }

    /// Ends all open requests.
    pub(super) fn reach(&self) {
        self.refuse_new();
        self.reached.cancel();
    }

    /// Returns whether all open requests were ended.
    pub(super) fn is_reached(&self) -> bool {
        self.reached.is_cancelled()
    }

    /// Returns the output of `work`, or none if the limit is reached first. Nothing of `work` goes on
    /// once the caller has dropped it.
    pub(super) async fn bound<T>(
        &self,
        mut work: Pin<&mut (impl Future<Output = T> + ?Sized)>,
    ) -> Option<T> {
        tokio::select! {
            // A response that is there goes before the limit.
            biased;
            output = work.as_mut() => Some(output),
            () = self.reached.cancelled() => None,
        }
    }

    /// Counts a request to the local backend server until the guard is dropped.
    pub(super) fn count_run(&self) -> RunCount<'_> {
        self.runs.fetch_add(1, Ordering::Relaxed);
        RunCount(self)
    }

    /// Returns the number of requests to the local backend server.
    pub(super) fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }
}

/// A counted request to the local backend server.
pub(super) struct RunCount<'a>(&'a StopLimit);

impl Drop for RunCount<'_> {
    fn drop(&mut self) {
        self.0.runs.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the refusal of a request that the limit ended.
pub(super) fn refusal_at_limit(is_sent: bool) -> Refusal {
    Refusal {
        verdict: match is_sent {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        },
        ..Refusal::not_run(RefusalReason::Draining)
    }
}
