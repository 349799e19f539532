//! The end of a planned stop: what may still begin, and the responses of this node to what is still open.

use std::pin::Pin;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::MonotonicTime;

/// Fraction of the stop limit in which any request may begin. The rest is left to complete it.
const OPEN_FRACTION: f64 = 0.6;
/// Time after a stop signal in which requests may begin that outlast the stop, whatever the grace. Callers
/// have gone elsewhere by then, and what begins later must get its server's response.
const OPEN_MAX: Duration = Duration::from_secs(3);
/// Longest time between the stop signal and the start of the stop, on an instance that is short of CPU
/// time.
const SIGNAL_DELAY_MAX: Duration = Duration::from_millis(250);

/// Whether requests may begin and go on during a planned stop.
#[derive(Debug, Default)]
pub(super) struct StopLimit {
    reached: CancellationToken,
    schedule: OnceLock<StopSchedule>,
    /// Requests to the local backend server, including those that wait for it. An earlier incarnation
    /// of the server may still run some.
    runs: AtomicU64,
}

/// Points in time of a planned stop.
#[derive(Debug)]
struct StopSchedule {
    /// Until then, requests may begin that outlast the stop.
    open_until: MonotonicTime,
    /// When all open requests are ended.
    limit_at: MonotonicTime,
}

impl StopLimit {
    /// Starts a planned stop that ends all open requests after `limit`.
    pub(super) fn start(&self, now: MonotonicTime, limit: Duration) {
        let open_time = limit
            .mul_f64(OPEN_FRACTION)
            .min(OPEN_MAX - SIGNAL_DELAY_MAX);
        // A stop begins once.
        self.schedule.get_or_init(|| StopSchedule {
            open_until: now.after(open_time),
            limit_at: now.after(limit),
        });
    }

    /// Returns whether a request or a further attempt at it may begin: it ends by its deadline before
    /// the limit, or it is early enough to be completed even so.
    pub(super) fn permits(&self, deadline: MonotonicTime, now: MonotonicTime) -> bool {
        match self.schedule.get() {
            None => true,
            Some(_) if self.is_reached() => false,
            Some(schedule) => now < schedule.open_until || deadline <= schedule.limit_at,
        }
    }

    /// Ends all open requests.
    pub(super) fn reach(&self) {
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

/// Returns the refusal of a request that a planned stop ended or did not let begin.
pub(super) fn refusal_at_limit(is_sent: bool) -> Refusal {
    Refusal::unanswered(RefusalReason::Draining, is_sent)
}
