//! The connections to all other nodes.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::link::Link;
use super::link::LinkFailure;
use crate::process::events::relay as events;
use crate::values::Clock;
use crate::values::NodeId;

/// Timeout for opening a connection: several round trips between zones, but short enough for
/// another attempt within the shortest deadlines.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay between attempts to connect to an unreachable node.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// State of the connection to one address.
#[derive(Debug)]
enum LinkSlot {
    Open(Arc<Link>),
    /// Connecting failed, and a task retries.
    Unreachable,
}

/// The connections to other nodes.
///
/// Requests never wait for an unreachable node. They go to other nodes until a background task has
/// reconnected.
#[derive(Debug)]
pub(super) struct Links {
    local_node: NodeId,
    clock: Clock,
    /// Notified when another node tells that the store has changed.
    update_notice: Arc<Notify>,
    slots: Mutex<HashMap<SocketAddr, LinkSlot>>,
    opening: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<()>>>>,
}

impl Links {
    pub(super) fn new(local_node: NodeId, clock: Clock, update_notice: Arc<Notify>) -> Self {
        Self {
            local_node,
            clock,
            update_notice,
            slots: Mutex::default(),
            opening: Mutex::default(),
        }
    }

    /// Returns the connection to a node, opened if there is none.
    ///
    /// Concurrent calls for one address share one attempt. Fails at once while a task retries.
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
                // `remove_closed` drops the entry of a node that left the fleet.
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
        let update_notice = Arc::clone(&self.update_notice);
        let local_node = self.local_node.clone();
        let opened = Link::open(local_node, peer.clone(), address, self.clock, update_notice);
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

    /// Returns whether new requests should avoid the node at this address.
    pub(super) fn is_unresponsive(&self, address: SocketAddr) -> bool {
        match self.slots.lock().get(&address) {
            Some(LinkSlot::Unreachable) => true,
            Some(LinkSlot::Open(link)) => link.is_unresponsive(),
            None => false,
        }
    }

    /// Returns the open connection with the most recently received bytes.
    pub(super) fn any_open(&self) -> Option<Arc<Link>> {
        let slots = self.slots.lock();
        let open = slots.values().filter_map(|slot| match slot {
            LinkSlot::Open(link) if !link.is_closed() => Some(link),
            LinkSlot::Open(_) | LinkSlot::Unreachable => None,
        });
        open.max_by_key(|link| link.last_received_at()).cloned()
    }

    /// Removes closed connections, and unreachable nodes whose address is not in `known`.
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
