//! Whether a connection is in use: by a request without a response, or by a body that is still read after
//! its response.

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

/// Time between two checks whether a body is still read after its response.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// What a connection is used for.
#[derive(Debug, Default)]
pub(super) struct Activity(Mutex<ActivityState>);

#[derive(Debug, Default)]
struct ActivityState {
    /// `None` while a request has no response and before the first one.
    responded_at: Option<Instant>,
    open_bodies: u32,
}

impl Activity {
    /// Begins a request. Returns its body, which counts as in use until it is dropped.
    pub(super) fn begin(self: &Arc<Self>, body: Incoming) -> Body {
        let mut state = self.0.lock();
        state.responded_at = None;
        if body.is_end_stream() {
            return Body::from_incoming(body);
        }
        state.open_bodies += 1;
        Body::from_body(TrackedBody {
            body,
            activity: Arc::clone(self),
        })
    }

    /// Records that the request has its response.
    pub(super) fn record_response(&self) {
        self.0.lock().responded_at = Some(Instant::now());
    }

    fn end_body(&self) {
        let mut state = self.0.lock();
        state.open_bodies -= 1;
        state.responded_at = state.responded_at.map(|_| Instant::now());
    }

    /// Returns for how long the connection has been unused since a response, if it is.
    fn idle_time(&self) -> Option<Duration> {
        let state = self.0.lock();
        let since = state.responded_at.filter(|_| state.open_bodies == 0);
        since.map(|since| since.elapsed())
    }

    /// Returns once the connection has been unused for `timeout` after a response.
    pub(super) async fn idle_for(&self, timeout: Duration) {
        let mut wait = timeout;
        loop {
            tokio::time::sleep(wait).await;
            wait = match self.idle_time() {
                None => timeout,
                Some(idle) if idle < timeout => timeout - idle,
                Some(_) => return,
            };
        }
    }

    /// Returns once no body is read after its response.
    pub(super) async fn body_ended(&self) {
        let is_reading_on = || {
            let state = self.0.lock();
            state.open_bodies > 0 && state.responded_at.is_some()
        };
        while is_reading_on() {
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }
}

/// The body of a request, whose connection is in use until it is dropped.
struct TrackedBody {
    body: Incoming,
    activity: Arc<Activity>,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.activity.end_body();
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
