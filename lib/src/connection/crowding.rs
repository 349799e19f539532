//! Connections of a listener that is full: those that wait for their clients are closed for new ones.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slab::Slab;
use tokio_util::sync::CancellationToken;

use super::activity::Activity;

/// Time for which a connection may wait for its client before it can be closed for another one.
const WAIT_MIN: Duration = Duration::from_secs(1);

/// One of so many connections is given up at a time, so that a crowd that comes again does not hold up others that wait
/// to be accepted.
const GIVEN_UP_PARTS: usize = 16;

/// The open connections of a listener.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenConnections(Arc<Mutex<Slab<Member>>>);

#[derive(Debug)]
struct Member {
    activity: Arc<Activity>,
    given_up: CancellationToken,
}

/// One of the open connections, until it is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    all: OpenConnections,
    key: usize,
    given_up: CancellationToken,
}

impl OpenConnections {
    /// Adds a connection.
    pub(super) fn add(&self, activity: &Arc<Activity>) -> OpenConnection {
        let given_up = CancellationToken::new();
        let key = self.0.lock().insert(Member {
            activity: Arc::clone(activity),
            given_up: given_up.clone(),
        });
        OpenConnection {
            all: self.clone(),
            key,
            given_up,
        }
    }

    /// Gives up a part of the connections, those that have waited longest for their clients: for the rest of what these
    /// send or read rather than for a next request. One whose request is run is never given up.
    pub(super) fn give_up_slowest(&self) {
        let members = self.0.lock();
        let waits = members.iter().filter_map(|(_, member)| {
            let wait = member.activity.client_wait()?;
            let may_close = wait.1 >= WAIT_MIN && !member.given_up.is_cancelled();
            may_close.then_some((wait, member))
        });
        let mut waits: Vec<_> = waits.collect();
        waits.sort_unstable_by_key(|(wait, _)| Reverse(*wait));
        for (_, slowest) in waits
            .into_iter()
            .take(members.len().div_ceil(GIVEN_UP_PARTS))
        {
            slowest.given_up.cancel();
        }
    }
}

impl OpenConnection {
    /// Returns once the connection is given up.
    pub(super) async fn given_up(&self) {
        self.given_up.cancelled().await;
    }

    /// Replaces the activity, when the connection is resumed.
    pub(super) fn resume(&self, activity: &Arc<Activity>) {
        if let Some(member) = self.all.0.lock().get_mut(self.key) {
            member.activity = Arc::clone(activity);
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.all.0.lock().try_remove(self.key);
    }
}
