//! Whether a connection is in use: by a request without a response, by a response that is still written, or
//! by a body that is still read after its response.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::time::Instant;
use volo_http::body::Body;

/// Time between two checks whether a connection that is to be closed is still used.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// What a connection is used for.
#[derive(Debug)]
pub(super) struct Activity(Mutex<ActivityState>);

#[derive(Debug)]
struct ActivityState {
    /// Whether a request has begun since the connection was opened or resumed.
    has_request: bool,
    /// Whether a request has no response.
    is_responding: bool,
    open_bodies: u32,
    /// Whether the body of the last request was dropped before its end.
    has_dropped_body: bool,
    /// Whether a response waits for its client to read.
    is_write_blocked: bool,
    /// Since when, if it does.
    write_blocked_at: Instant,
    last_used_at: Instant,
    /// Whether the connection closes behind the next response.
    is_closing: bool,
    /// Whether the last response told the client that the connection closes behind it.
    is_close_announced: bool,
    /// Bytes received of a head that is not complete.
    head_bytes: usize,
    /// When the client began what is not complete: a head or a body.
    begun_at: Option<Instant>,
}

/// What a connection waits for from its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ClientWait {
    /// A next request. None of it has arrived.
    Request,
    /// The rest of a head or of a body, or that it reads a response.
    Rest,
}

impl Activity {
    /// Returns the state of a connection on which no request has begun.
    pub(super) fn new() -> Self {
        Self(Mutex::new(ActivityState {
            has_request: false,
            is_responding: false,
            open_bodies: 0,
            has_dropped_body: false,
            is_write_blocked: false,
            write_blocked_at: Instant::now(),
            last_used_at: Instant::now(),
            is_closing: false,
            is_close_announced: false,
            head_bytes: 0,
            begun_at: None,
        }))
    }

    /// Begins a request. Returns its body, which counts as in use until it is dropped.
    pub(super) fn begin(self: &Arc<Self>, body: Incoming) -> Body {
        let mut state = self.0.lock();
        state.has_request = true;
        state.is_responding = true;
        state.has_dropped_body = false;
        state.head_bytes = 0;
        if body.is_end_stream() {
            state.begun_at = None;
            return Body::from_incoming(body);
        }
        state.open_bodies += 1;
        state.begun_at.get_or_insert_with(Instant::now);
        Body::from_body(TrackedBody {
            body,
            activity: Arc::clone(self),
        })
    }

    /// Returns whether a request has begun.
    pub(super) fn has_request(&self) -> bool {
        self.0.lock().has_request
    }

    /// Records that the request has its response, and whether the response or the request says that
    /// the connection closes behind it.
    pub(super) fn record_response(&self, is_close_announced: bool) {
        let mut state = self.0.lock();
        state.is_responding = false;
        state.last_used_at = Instant::now();
        // The HTTP library adds the header in that case.
        state.is_close_announced = is_close_announced || state.is_closing;
    }

    /// Records a write, or one that waits for the client to read.
    pub(super) fn record_write(&self, is_blocked: bool) {
        let mut state = self.0.lock();
        if is_blocked && !state.is_write_blocked {
            state.write_blocked_at = Instant::now();
        }
        state.is_write_blocked = is_blocked;
        state.last_used_at = Instant::now();
    }

    /// Returns the bytes that were received of a head that is not complete, or none while a request is in progress.
    pub(super) fn head_bytes(&self) -> Option<usize> {
        let state = self.0.lock();
        let is_in_request = state.is_responding || state.open_bodies > 0;
        (!is_in_request).then_some(state.head_bytes)
    }

    /// Records received bytes.
    pub(super) fn record_read(&self, bytes: usize) {
        let mut state = self.0.lock();
        if bytes > 0 && !state.is_responding && state.open_bodies == 0 {
            state.head_bytes += bytes;
            state.begun_at.get_or_insert_with(Instant::now);
        }
    }

    /// Returns what the client owes, if anything, and for how long.
    pub(super) fn client_wait(&self) -> Option<(ClientWait, Duration)> {
        let state = self.0.lock();
        match state.begun_at {
            Some(begun_at) => Some((ClientWait::Rest, begun_at.elapsed())),
            None if state.is_write_blocked => {
                Some((ClientWait::Rest, state.write_blocked_at.elapsed()))
            }
            None if state.is_responding => None,
            None => Some((ClientWait::Request, state.last_used_at.elapsed())),
        }
    }

    /// Records that the connection closes behind the next response.
    pub(super) fn begin_close(&self) {
        self.0.lock().is_closing = true;
    }

    /// Returns whether the client was told that the connection closes.
    pub(super) fn is_close_announced(&self) -> bool {
        self.0.lock().is_close_announced
    }

    /// Returns whether the body of the last request was dropped before its end.
    pub(super) fn has_dropped_body(&self) -> bool {
        self.0.lock().has_dropped_body
    }

    fn end_body(&self, is_complete: bool) {
        let mut state = self.0.lock();
        state.has_dropped_body = !is_complete;
        state.open_bodies -= 1;
        state.begun_at = None;
        state.last_used_at = Instant::now();
    }

    /// Returns for how long the connection has been unused, if it is.
    fn unused_time(&self) -> Option<Duration> {
        let state = self.0.lock();
        let is_used = state.is_responding || state.open_bodies > 0 || state.is_write_blocked;
        (!is_used).then(|| state.last_used_at.elapsed())
    }

    /// Returns once the connection has been unused for `timeout` after a response.
    pub(super) async fn idle_for(&self, timeout: Duration) {
        let idle_time = || self.unused_time().filter(|_| self.has_request());
        wait_for(timeout, timeout, idle_time).await;
    }

    /// Returns once `timeout` is over without a request since the connection was opened or resumed. Never
    /// returns otherwise.
    pub(super) async fn without_request_for(&self, timeout: Duration) {
        tokio::time::sleep(timeout).await;
        if self.has_request() {
            std::future::pending().await
        }
    }

    /// Returns once the connection has been unused for `timeout` from now on.
    pub(super) async fn unused_for(&self, timeout: Duration) {
        let started_at = Instant::now();
        let unused_time = || {
            let unused_time = self.unused_time();
            unused_time.map(|unused| unused.min(started_at.elapsed()))
        };
        wait_for(timeout, CHECK_PERIOD, unused_time).await;
    }
}

/// Returns once `unused_time` is at least `timeout`. While there is none, it is checked again after
/// `period`.
async fn wait_for(timeout: Duration, period: Duration, unused_time: impl Fn() -> Option<Duration>) {
    loop {
        let wait = match unused_time() {
            None => period,
            Some(unused) if unused < timeout => timeout - unused,
            Some(_) => return,
        };
        tokio::time::sleep(wait).await;
    }
}

/// The body of a request, whose connection is in use until it is dropped.
struct TrackedBody {
    body: Incoming,
    activity: Arc<Activity>,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.activity.end_body(self.body.is_end_stream());
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
