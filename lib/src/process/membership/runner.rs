//! Runs the membership state machine over a UDP socket.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;

use super::ConfigHint;
use super::DATAGRAM_MAX_BYTES;
use super::MemberTable;
use super::MembershipCounters;
use super::MembershipOptions;
use super::MembershipState;
use super::NodeRecord;
use super::Outgoing;
use super::ServerRecord;
use super::timing::TICK_INTERVAL;
use crate::process::events::membership;
use crate::values::Clock;
use crate::values::ConfigVersion;

/// Maximum number of datagrams that are received before replies are sent.
const RECEIVE_BATCH: usize = 32;

/// Whether datagrams pass between this node and an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Datagrams are sent and received.
    Up,
    /// Datagrams are dropped in both directions.
    Cut,
}

/// Decides whether datagrams pass between this node and an address. Tests use it to cut links.
#[derive(Clone)]
pub struct LinkFilter(Arc<dyn Fn(SocketAddr) -> LinkState + Send + Sync>);

impl LinkFilter {
    /// Creates a filter that calls `state_of` for each datagram.
    pub fn new(state_of: impl Fn(SocketAddr) -> LinkState + Send + Sync + 'static) -> Self {
        Self(Arc::new(state_of))
    }

    /// Creates a filter that allows all datagrams.
    pub fn allow_all() -> Self {
        Self::new(|_| LinkState::Up)
    }

    fn is_up(&self, address: SocketAddr) -> bool {
        (self.0)(address) == LinkState::Up
    }
}

impl fmt::Debug for LinkFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkFilter(..)")
    }
}

/// Membership of this process. Dropping it stops membership.
///
/// A single lock guards the state machine. No other lock is acquired while it is held.
#[derive(Debug)]
pub struct Membership {
    shared: Arc<Shared>,
    table: watch::Receiver<Arc<MemberTable>>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<MembershipState>,
    clock: Clock,
    socket: UdpSocket,
    filter: LinkFilter,
}

impl Membership {
    /// Starts membership on a bound socket. Its address must be the probe address in `options`.
    pub fn start(
        options: MembershipOptions,
        socket: UdpSocket,
        filter: LinkFilter,
        clock: Clock,
    ) -> Self {
        let state = MembershipState::new(options, clock.wall(), clock.now());
        let (publisher, table) = watch::channel(Arc::new(state.table()));
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            clock,
            socket,
            filter,
        });
        let task = tokio::spawn(run(shared.clone(), publisher));
        Self {
            shared,
            table,
            task,
        }
    }

    /// Returns a receiver of the view of all nodes. A new view is published within one tick of each
    /// change.
    pub fn table(&self) -> watch::Receiver<Arc<MemberTable>> {
        self.table.clone()
    }

    /// Returns the latest published view of all nodes.
    pub fn latest(&self) -> Arc<MemberTable> {
        Arc::clone(&self.table.borrow())
    }

    /// Returns this node's record.
    pub fn own_record(&self) -> NodeRecord {
        self.shared.state.lock().own_record().clone()
    }

    /// Announces the backend server of this node to the fleet.
    pub fn announce(&self, server: ServerRecord) {
        let now = self.shared.clock.now();
        self.shared.state.lock().announce(server, now);
    }

    /// Announces to the fleet that the backend server of this node accepts no new work.
    pub fn withdraw_server(&self) {
        let now = self.shared.clock.now();
        self.shared.state.lock().withdraw_server(now);
    }

    /// Announces to the fleet that this node stops. It replies to probes until it is dropped.
    pub fn leave(&self) {
        let now = self.shared.clock.now();
        self.shared.state.lock().leave(now);
    }

    /// Adds an address at which another node may listen for membership datagrams.
    pub fn add_seed(&self, seed: SocketAddr) {
        self.shared.state.lock().add_seed(seed);
    }

    /// Sets the version of the configuration in force at this node. A lower version has no effect.
    pub fn set_config(&self, version: ConfigVersion) {
        self.shared.state.lock().set_config(version);
    }

    /// Returns the newest configuration observed at another node, if newer than this node's.
    pub fn config_hint(&self) -> Option<ConfigHint> {
        self.shared.state.lock().config_hint().cloned()
    }

    /// Returns the datagram counters since the start.
    pub fn counters(&self) -> MembershipCounters {
        self.shared.state.lock().counters()
    }
}

impl Drop for Membership {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(shared: Arc<Shared>, publisher: watch::Sender<Arc<MemberTable>>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut published_revision = 0;
    let mut buffer = [0; DATAGRAM_MAX_BYTES + 1];
    loop {
        let outgoing = tokio::select! {
            _ = ticks.tick() => {
                shared.tick(&publisher, &mut published_revision)
            }
            received = shared.socket.recv_from(&mut buffer) => {
                shared.receive(received, &mut buffer)
            }
        };
        shared.send(outgoing).await;
    }
}

impl Shared {
    fn tick(
        &self,
        publisher: &watch::Sender<Arc<MemberTable>>,
        published_revision: &mut u64,
    ) -> Vec<Outgoing> {
        let mut state = self.state.lock();
        state.tick(self.clock.now());
        if state.revision() != *published_revision {
            *published_revision = state.revision();
            publisher.send_replace(Arc::new(state.table()));
        }
        state.take_outgoing()
    }

    /// Handles a datagram and those that wait in the socket, at most [`RECEIVE_BATCH`] in total.
    fn receive(&self, first: io::Result<(usize, SocketAddr)>, buffer: &mut [u8]) -> Vec<Outgoing> {
        let mut state = self.state.lock();
        let mut next = Some(first);
        for _ in 0..RECEIVE_BATCH {
            let received = next.take();
            match received.unwrap_or_else(|| self.socket.try_recv_from(buffer)) {
                Ok((length, from)) if self.filter.is_up(from) => {
                    // Errors need no handling: the state counts dropped datagrams.
                    let _ = state.receive(&buffer[..length], from, self.clock.now());
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    membership::SOCKET_FAILED.log(error);
                    break;
                }
            }
        }
        state.take_outgoing()
    }

    async fn send(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, bytes } in outgoing {
            if self.filter.is_up(to) {
                match self.socket.send_to(&bytes, to).await {
                    Ok(_) => {}
                    Err(error) => membership::SOCKET_FAILED.log(format_args!("{to}: {error}")),
                }
            }
        }
    }
}
