//! The connections to all other nodes.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::timeout;

use super::link::Link;
use super::link::LinkFailure;
use crate::process::events::relay as events;
use crate::values::Clock;
use crate::values::NodeId;

/// Longest time to open a connection: several round trips between zones, and short enough for
/// another attempt within the shortest deadlines.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two attempts to reach a node that could not be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// What is known of the connection to one node.
#[derive(Debug)]
enum LinkSlot {
    Open(Arc<Link>),
    /// The node could not be reached, and a task tries again.
    Unreachable,
}

/// The connections to other nodes.
///
/// Requests never wait for a node that could not be reached: they go to others until a task of its
/// own has reached it again.
#[derive(Debug)]
pub(super) struct Links {
    local_node: NodeId,
    clock: Clock,
    slots: Mutex<HashMap<SocketAddr, LinkSlot>>,
    opening: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<()>>>>,
}

impl Links {
    pub(super) fn new(local_node: NodeId, clock: Clock) -> Self {
        Self {
            local_node,
            clock,
            slots: Mutex::default(),
            opening: Mutex::default(),
        }
    }

    /// Returns the connection to a node, and opens it if there is none.
    pub(super) async fn get(
        self: &Arc<Self>,
        peer: &NodeId,
        address: SocketAddr,
    ) -> Result<Arc<Link>, LinkFailure> {
        if let Some(result) = self.lookup(peer, address) {
            return result;
        }
        let opening = Arc::clone(self.opening.lock().entry(address).or_default());
        let _guard = opening.lock().await;
        if let Some(result) = self.lookup(peer, address) {
            return result;
        }
        if let Some(link) = self.open(peer, address).await {
            return Ok(link);
        }
        self.slots.lock().insert(address, LinkSlot::Unreachable);
        let links = Arc::downgrade(self);
        let peer = peer.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(RECONNECT_DELAY).await;
                // A node that left the fleet is forgotten by then.
                match links.upgrade() {
                    Some(links) if links.is_unreachable(address) => {
                        if links.open(&peer, address).await.is_some() {
                            return;
                        }
                    }
                    Some(_) | None => return,
                }
            }
        });
        Err(LinkFailure::NotSent)
    }

    async fn open(&self, peer: &NodeId, address: SocketAddr) -> Option<Arc<Link>> {
        let opened = Link::open(self.local_node.clone(), peer.clone(), address, self.clock);
        let reason = match timeout(CONNECT_TIMEOUT, opened).await {
            Ok(Ok(link)) => {
                let slot = LinkSlot::Open(Arc::clone(&link));
                self.slots.lock().insert(address, slot);
                return Some(link);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        events::LINK_NOT_OPENED.log(format_args!("peer={peer} reason=\"{reason}\""));
        None
    }

    fn lookup(&self, peer: &NodeId, address: SocketAddr) -> Option<Result<Arc<Link>, LinkFailure>> {
        match self.slots.lock().get(&address)? {
            LinkSlot::Open(link) if !link.is_closed() && *link.peer() == *peer => {
                Some(Ok(Arc::clone(link)))
            }
            LinkSlot::Unreachable => Some(Err(LinkFailure::NotSent)),
            LinkSlot::Open(_) => None,
        }
    }

    fn is_unreachable(&self, address: SocketAddr) -> bool {
        let slots = self.slots.lock();
        matches!(slots.get(&address), Some(LinkSlot::Unreachable))
    }

    /// Returns whether requests should go to other nodes than this one.
    pub(super) fn is_unresponsive(&self, address: SocketAddr) -> bool {
        match self.slots.lock().get(&address) {
            Some(LinkSlot::Unreachable) => true,
            Some(LinkSlot::Open(link)) => link.is_unresponsive(),
            None => false,
        }
    }

    /// Returns the open connection on which something was heard last, if there is one.
    pub(super) fn any_open(&self) -> Option<Arc<Link>> {
        let slots = self.slots.lock();
        let open = slots.values().filter_map(|slot| match slot {
            LinkSlot::Open(link) if !link.is_closed() => Some(link),
            LinkSlot::Open(_) | LinkSlot::Unreachable => None,
        });
        open.max_by_key(|link| link.last_received_at()).cloned()
    }

    /// Forgets closed connections, and nodes at other addresses than `known`.
    pub(super) fn remove_closed(&self, known: &HashSet<SocketAddr>) {
        self.slots.lock().retain(|address, slot| match slot {
            LinkSlot::Open(link) => !link.is_closed(),
            LinkSlot::Unreachable => known.contains(address),
        });
        self.opening
            .lock()
            .retain(|_, opening| Arc::strong_count(opening) > 1);
    }
}
