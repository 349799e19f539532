//! The mirrors of a node and the nodes that follow them.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;

use super::messages::MirrorUpdate;
use super::messages::View;
use super::messages::ViewPositions;
use super::messages::ViewUpdate;
use super::mirror::Mirror;
use super::mirror::MirrorChange;
use crate::process::relay::frame::Head;
use crate::process::relay::frame::encode_frame;
use crate::process::relay::frame_io::FrameSender;
use crate::process::relay::store::StoreEra;
use crate::process::relay::store::StoreItem;
use crate::process::relay::store::StorePosition;
use crate::process::relay::store::StoreRevision;
use crate::values::ConfigVersion;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Time for which a node that polled is notified of changes: several periods in which
/// nodes poll.
const FOLLOWER_TTL: Duration = Duration::from_secs(3);

/// A connection of another node that polls this one.
#[derive(Debug)]
struct Follower {
    frames: FrameSender,
    polled_at: MonotonicTime,
}

/// A stored configuration.
#[derive(Clone, Debug)]
struct ConfigurationItem {
    version: ConfigVersion,
    item: StoreItem,
}

/// The mirrors of a node and the nodes that follow them.
///
/// The locks are never held together.
#[derive(Debug, Default)]
pub(in crate::process::relay) struct ViewState {
    mirrors: Mutex<[Mirror; View::ALL.len()]>,
    followers: Mutex<Vec<Follower>>,
    /// Wakes the task that polls other nodes.
    pub(in crate::process::relay) update_notice: Arc<Notify>,
    /// A node that named a newer configuration than this node has.
    pub(in crate::process::relay) newer_at: Mutex<Option<NodeId>>,
    /// Whether this node is the first of its zone, which reads the store for the others.
    pub(in crate::process::relay) is_first: AtomicBool,
    /// Whether this node watches the store itself.
    pub(in crate::process::relay) is_watching: AtomicBool,
    /// The item of the configuration in force. The store may hold an older one after it went back.
    in_force: Mutex<Option<ConfigurationItem>>,
    /// Whether the stored configuration could not be decoded.
    pub(super) is_configuration_refused: AtomicBool,
    /// Held while the store is read for requests, which share one read.
    pub(super) refreshing: tokio::sync::Mutex<()>,
}

impl ViewState {
    /// Applies an update to the mirror of a view.
    pub(super) fn apply(&self, view: View, update: MirrorUpdate) -> MirrorChange {
        self.mirrors.lock()[view as usize].apply(update)
    }

    /// Returns the positions up to which the mirrors are complete.
    pub(super) fn positions(&self) -> ViewPositions {
        let mirrors = self.mirrors.lock();
        View::ALL.map(|view| mirrors[view as usize].position())
    }

    /// Returns whether the operators' items were read since the start, from the store or another node.
    pub(in crate::process::relay) fn knows_operators(&self) -> bool {
        let mirrors = self.mirrors.lock();
        mirrors[View::Configuration as usize].position().is_some()
    }

    /// Returns the latest known era of the store.
    pub(super) fn era(&self) -> Option<StoreEra> {
        let positions = self.positions().into_iter().flatten();
        positions.map(|position| position.era).max()
    }

    /// Returns what a node lacks that knows the views up to `known`.
    pub(super) fn updates_since(&self, known: &ViewPositions) -> Vec<ViewUpdate> {
        let in_force = self.in_force.lock().clone();
        let mirrors = self.mirrors.lock();
        let updates = View::ALL.into_iter().flat_map(|view| {
            let update = mirrors[view as usize].update_since(known[view as usize]);
            let handed_over = match (view, &update, &in_force) {
                (View::Configuration, Some(update), Some(in_force)) => hand_over(update, in_force),
                _ => None,
            };
            let updates = handed_over.into_iter().chain(update);
            updates.map(move |update| ViewUpdate { view, update })
        });
        updates.collect()
    }

    /// Records the item of the configuration in force.
    pub(super) fn set_in_force(&self, version: ConfigVersion, item: StoreItem) {
        let mut in_force = self.in_force.lock();
        if in_force
            .as_ref()
            .is_none_or(|known| known.version < version)
        {
            *in_force = Some(ConfigurationItem { version, item });
        }
    }

    /// Records that a node polled on a connection.
    pub(super) fn add_follower(&self, frames: &FrameSender, now: MonotonicTime) {
        let mut followers = self.followers.lock();
        followers.retain(|follower| is_following(follower, now));
        let known = followers
            .iter_mut()
            .find(|follower| follower.frames.is_same(frames));
        match known {
            Some(follower) => follower.polled_at = now,
            None => followers.push(Follower {
                frames: frames.clone(),
                polled_at: now,
            }),
        }
    }

    /// Notifies the nodes that polled lately of changes.
    pub(super) fn notify_followers(&self, now: MonotonicTime) {
        let Ok(frame) = encode_frame(&Head::ViewsChanged, &[]) else {
            return;
        };
        let followers = self.followers.lock();
        for follower in followers.iter().filter(|known| is_following(known, now)) {
            // Sending fails if the connection has ended.
            let _ = follower.frames.send(frame.clone().into());
        }
    }
}

/// Returns a listing with the configuration in force for a node that gets another one by `update`,
/// because the store went back.
fn hand_over(update: &MirrorUpdate, in_force: &ConfigurationItem) -> Option<MirrorUpdate> {
    match update {
        MirrorUpdate::Listing { items, position }
            if items.iter().all(|item| item.value != in_force.item.value) =>
        {
            // Older than all that the store holds in this era, so that the mirror of the receiver
            // follows the store.
            let revision = StoreRevision(0);
            let item = StoreItem {
                revision,
                ..in_force.item.clone()
            };
            Some(MirrorUpdate::Listing {
                items: vec![item],
                position: StorePosition {
                    revision,
                    ..*position
                },
            })
        }
        MirrorUpdate::Listing { .. } | MirrorUpdate::Changes { .. } => None,
    }
}

fn is_following(follower: &Follower, now: MonotonicTime) -> bool {
    !follower.frames.is_closed() && now.since(follower.polled_at) < FOLLOWER_TTL
}
