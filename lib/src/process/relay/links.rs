//! The connections to all other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::link::Link;
use super::link::LinkFailure;
use super::link::OpenBeside;
use crate::connection::MemoryBudget;
use crate::process::events::relay as events;
use crate::process::membership::MemberTable;
use crate::process::membership::NodeRecord;
use crate::values::Clock;
use crate::values::NodeId;

/// Timeout for opening a connection: several round trips between zones, but short enough for
/// another attempt within the shortest deadlines.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay between attempts to connect to an unreachable node.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Time without received bytes after which a connection is probed when another one was silent.
const QUIET_AFTER: Duration = Duration::from_millis(150);

/// State of the connection to one node.
#[derive(Debug)]
enum SlotState {
    Open(Arc<Link>),
    /// Connecting failed, and a task retries.
    Unreachable,
}

/// The connection to one node, with the address that the node had then.
#[derive(Debug)]
struct LinkSlot {
    address: SocketAddr,
    state: SlotState,
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
    /// Bounds the memory of responses.
    budget: MemoryBudget,
    /// By node and not by address, because the entry of a former node may name an address that
    /// another node has by now.
    slots: Mutex<HashMap<NodeId, LinkSlot>>,
    opening: Mutex<HashMap<NodeId, Arc<tokio::sync::Mutex<()>>>>,
}

impl Links {
    pub(super) fn new(
        local_node: NodeId,
        clock: Clock,
        update_notice: Arc<Notify>,
        budget: MemoryBudget,
    ) -> Self {
        Self {
            local_node,
            clock,
            update_notice,
            budget,
            slots: Mutex::default(),
            opening: Mutex::default(),
        }
    }

    /// Returns the connection to a node, opened if there is none.
    ///
    /// Concurrent calls for one node share one attempt. Fails at once while a task retries.
    pub(super) async fn get(
        self: &Arc<Self>,
        record: &NodeRecord,
    ) -> Result<Arc<Link>, LinkFailure> {
        let (peer, address) = (&record.id, record.addresses.peer);
        if let Some(result) = self.lookup(peer, address) {
            return result;
        }
        // A task of its own, because a caller that is not polled would keep the lock from others.
        let opening = tokio::spawn(Arc::clone(self).open_once(peer.clone(), address));
        // The task only fails if the process is stopping.
        opening.await.unwrap_or(Err(LinkFailure::NotSent))
    }

    /// Opens the connection to a node, unless a concurrent call has done so.
    async fn open_once(
        self: Arc<Self>,
        peer: NodeId,
        address: SocketAddr,
    ) -> Result<Arc<Link>, LinkFailure> {
        let opening = Arc::clone(self.opening.lock().entry(peer.clone()).or_default());
        let _guard = opening.lock().await;
        if let Some(result) = self.lookup(&peer, address) {
            return result;
        }
        if let Some(link) = self.open(&peer, address).await {
            self.store(&peer, address, SlotState::Open(Arc::clone(&link)));
            return Ok(link);
        }
        self.store(&peer, address, SlotState::Unreachable);
        tokio::spawn(retry_open(Arc::downgrade(&self), peer, address));
        Err(LinkFailure::NotSent)
    }

    async fn open(self: &Arc<Self>, peer: &NodeId, address: SocketAddr) -> Option<Arc<Link>> {
        let update_notice = Arc::clone(&self.update_notice);
        let local_node = self.local_node.clone();
        let links = Arc::downgrade(self);
        let open_beside: OpenBeside = Box::new(move |link| {
            if let Some(links) = links.upgrade() {
                tokio::spawn(links.open_beside(Arc::clone(link), address));
            }
        });
        let opened = Link::open(
            local_node,
            peer.clone(),
            address,
            self.clock,
            update_notice,
            open_beside,
            self.budget.clone(),
        );
        let reason = match timeout(CONNECT_TIMEOUT, opened).await {
            Ok(Ok(link)) => return Some(link),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        events::LINK_NOT_OPENED.log(format_args!("peer={peer} reason=\"{reason}\""));
        None
    }

    /// Opens a connection beside one that is silent, and lets it take the place of that one. If no
    /// connection can be opened, the node is silent and not the connection.
    fn open_beside(
        self: Arc<Self>,
        silent: Arc<Link>,
        address: SocketAddr,
    ) -> BoxFuture<'static, ()> {
        async move {
            let peer = silent.peer().clone();
            let opening = Arc::clone(self.opening.lock().entry(peer.clone()).or_default());
            let Ok(_guard) = opening.try_lock() else {
                return;
            };
            if !self.is_in_use(&silent) {
                return;
            }
            match self.open(&peer, address).await {
                Some(opened) if silent.is_unresponsive() || silent.is_closed() => {
                    silent.log_replaced();
                    self.store(&peer, address, SlotState::Open(opened));
                    silent.retire();
                    self.probe_quiet();
                }
                // The node was slow: it is heard on the first connection again.
                Some(opened) => opened.retire(),
                None => {}
            }
        }
        .boxed()
    }

    /// Returns whether new exchanges with its node use a connection.
    fn is_in_use(&self, link: &Arc<Link>) -> bool {
        let slots = self.slots.lock();
        let slot = slots.get(link.peer());
        slot.is_some_and(
            |slot| matches!(&slot.state, SlotState::Open(open) if Arc::ptr_eq(open, link)),
        )
    }

    /// Probes the connections on which nothing arrived lately. What silenced one connection of an
    /// instance often silences others, and those without requests would only show it to the next one.
    fn probe_quiet(&self) {
        let now = self.clock.now();
        let slots = self.slots.lock();
        for slot in slots.values() {
            match &slot.state {
                SlotState::Open(link) if link.is_quiet(now, QUIET_AFTER) => {
                    // A connection that does not take the probe is closing.
                    let _ = link.probe();
                }
                SlotState::Open(_) | SlotState::Unreachable => {}
            }
        }
    }

    fn store(&self, peer: &NodeId, address: SocketAddr, state: SlotState) {
        let slot = LinkSlot { address, state };
        self.slots.lock().insert(peer.clone(), slot);
    }

    fn lookup(&self, peer: &NodeId, address: SocketAddr) -> Option<Result<Arc<Link>, LinkFailure>> {
        let slots = self.slots.lock();
        let slot = slots.get(peer).filter(|slot| slot.address == address)?;
        match &slot.state {
            SlotState::Open(link) if !link.is_closed() => Some(Ok(Arc::clone(link))),
            SlotState::Unreachable => Some(Err(LinkFailure::NotSent)),
            SlotState::Open(_) => None,
        }
    }

    fn is_unreachable(&self, peer: &NodeId, address: SocketAddr) -> bool {
        matches!(self.lookup(peer, address), Some(Err(_)))
    }

    /// Returns whether new requests should avoid a node.
    pub(super) fn is_unresponsive(&self, record: &NodeRecord) -> bool {
        let slots = self.slots.lock();
        let slot = slots.get(&record.id);
        match slot.filter(|slot| slot.address == record.addresses.peer) {
            Some(slot) => match &slot.state {
                SlotState::Unreachable => true,
                SlotState::Open(link) => link.is_unresponsive(),
            },
            None => false,
        }
    }

    /// Returns the open connection with the most recently received bytes.
    pub(super) fn any_open(&self) -> Option<Arc<Link>> {
        let slots = self.slots.lock();
        let open = slots.values().filter_map(|slot| match &slot.state {
            SlotState::Open(link) if !link.is_closed() => Some(link),
            SlotState::Open(_) | SlotState::Unreachable => None,
        });
        open.max_by_key(|link| link.last_received_at()).cloned()
    }

    /// Removes closed connections, and unreachable nodes that are not in `members` with that address.
    pub(super) fn remove_closed(&self, members: &MemberTable) {
        self.slots.lock().retain(|peer, slot| match &slot.state {
            SlotState::Open(link) => !link.is_closed(),
            SlotState::Unreachable => {
                let record = members.node(peer);
                record.is_some_and(|record| record.addresses.peer == slot.address)
            }
        });
        self.opening
            .lock()
            .retain(|_, opening| Arc::strong_count(opening) > 1);
    }
}

/// Opens the connection to an unreachable node again until that succeeds or the node has left.
async fn retry_open(links: Weak<Links>, peer: NodeId, address: SocketAddr) {
    loop {
        tokio::time::sleep(RECONNECT_DELAY).await;
        // `remove_closed` drops the slot of a node that left the fleet.
        match links.upgrade() {
            Some(links) if links.is_unreachable(&peer, address) => {
                if let Some(link) = links.open(&peer, address).await {
                    links.store(&peer, address, SlotState::Open(link));
                    return;
                }
            }
            Some(_) | None => return,
        }
    }
}
