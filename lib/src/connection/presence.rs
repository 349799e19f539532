//! Whether the client of a request is still connected.

use std::sync::Weak;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;

use super::closing::StreamState;

/// Tells whether the client of a request is still connected. [`Listener`](super::Listener) adds it to the
/// extensions of each request.
///
/// It does not keep the connection open.
#[derive(Clone, Debug)]
pub struct ClientPresence(Weak<StreamState>);

impl ClientPresence {
    pub(super) fn new(state: Weak<StreamState>) -> Self {
        Self(state)
    }

    /// Returns whether the client has closed its side of the connection, also while bytes that it sent
    /// before are unread.
    ///
    /// The kernel is asked: the runtime learns of a close only with its next events, which a process that
    /// is short of CPU time handles late.
    pub fn has_left(&self) -> bool {
        let Some(state) = self.0.upgrade() else {
            return true;
        };
        let mut polled = [PollFd::new(&state.stream, PollFlags::RDHUP)];
        // A failed connection is reported without being asked for.
        matches!(poll(&mut polled, Some(&Timespec::default())), Ok(1..))
    }
}
