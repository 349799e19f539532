//! Simulated nodes that exchange membership datagrams over a queue in memory, with a simulated clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use balsamfold::process::membership::DatagramBuilder;
use balsamfold::process::membership::Envelope;
use balsamfold::process::membership::MembershipOptions;
use balsamfold::process::membership::MembershipState;
use balsamfold::process::membership::Message;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::membership::ServerRecord;
use balsamfold::process::membership::TableDigest;
use balsamfold::process::secret::FleetSecret;
use balsamfold::process::secret::KeyPurpose;
use balsamfold::values::ConfigVersion;
use balsamfold::values::ConnectionCount;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::SlotCount;
use balsamfold::values::WallTime;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u64 = 10;
const LATENCY: Duration = Duration::from_millis(10);

/// Whether a simulated node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    Running,
    Paused,
    Stopped,
}

#[derive(Debug)]
struct Node {
    state: MembershipState,
    run_state: RunState,
}

#[derive(Debug)]
struct InFlight {
    from: SocketAddr,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Returns whether datagrams from the first to the second zone are dropped.
type Cut = fn(usize, usize) -> bool;

/// A simulated fleet. Zones are numbered from 0 and have the same number of nodes.
#[derive(Debug)]
pub struct Fleet {
    pub now: MonotonicTime,
    pub loss_percent: u32,
    pub cut: Cut,
    nodes: BTreeMap<usize, Node>,
    zone_size: usize,
    steps: u64,
    sent: u64,
    in_flight: BTreeMap<(MonotonicTime, u64), InFlight>,
    rng: StdRng,
}

impl Fleet {
    /// Starts `zones` times `zone_size` nodes with two seed addresses, and runs them for 20 s so that
    /// they join.
    pub fn start(zones: usize, zone_size: usize) -> Self {
        let mut fleet = Self {
            now: MonotonicTime(0),
            loss_percent: 0,
            cut: |_, _| false,
            nodes: BTreeMap::new(),
            zone_size,
            steps: 0,
            sent: 0,
            in_flight: BTreeMap::new(),
            rng: StdRng::seed_from_u64(1),
        };
        for index in 0..zones * zone_size {
            fleet.start_node(index, WallTime(1_000));
        }
        fleet.run_for(Duration::from_secs(20));
        fleet
    }

    /// Starts or restarts one node.
    pub fn start_node(&mut self, index: usize, wall: WallTime) {
        self.replace_node(index, options(index, self.zone_size), wall);
    }

    /// Starts another node at the address of node `index`.
    pub fn replace_node(&mut self, index: usize, options: MembershipOptions, wall: WallTime) {
        let state = MembershipState::new(options, wall, self.now);
        let run_state = RunState::Running;
        self.nodes.insert(index, Node { state, run_state });
    }

    /// Pauses, resumes or stops one node. The timer of a resumed node fires first.
    pub fn set_run_state(&mut self, index: usize, run_state: RunState) {
        let node = self.nodes.get_mut(&index).expect("known node");
        if node.run_state == RunState::Paused && run_state == RunState::Running {
            node.state.tick(self.now);
        }
        node.run_state = run_state;
    }

    /// Returns the state of one node.
    pub fn node(&mut self, index: usize) -> &mut MembershipState {
        &mut self.nodes.get_mut(&index).expect("known node").state
    }

    /// Advances the clock and runs all nodes for `duration`.
    pub fn run_for(&mut self, duration: Duration) {
        for _ in 0..duration.as_micros() / STEP.as_micros() {
            self.step();
        }
    }

    /// Runs the fleet until `reached` holds, and returns the elapsed time. Panics after `limit`.
    pub fn run_until(&mut self, limit: Duration, reached: impl Fn(&Fleet) -> bool) -> Duration {
        let start = self.now;
        while !reached(self) {
            assert!(
                self.now.since(start) < limit,
                "the condition did not hold within {limit:?}"
            );
            self.run_for(STEP);
        }
        self.now.since(start)
    }

    /// Returns the records of node `about` at all other running nodes.
    pub fn views(&self, about: usize) -> Vec<Option<NodeRecord>> {
        self.running()
            .filter(|index| *index != about)
            .map(|index| self.nodes[&index].state.node(&node_id(about)).cloned())
            .collect()
    }

    /// Returns whether all other running nodes list node `about` with `condition`.
    pub fn all_see(&self, about: usize, condition: NodeCondition) -> bool {
        self.views(about)
            .iter()
            .all(|view| view.as_ref().map(|record| record.condition) == Some(condition))
    }

    /// Returns whether any running node lists any other node in `about` with `condition`.
    pub fn any_sees(&self, mut about: std::ops::Range<usize>, condition: NodeCondition) -> bool {
        about.any(|index| {
            self.views(index)
                .iter()
                .flatten()
                .any(|record| record.condition == condition)
        })
    }

    /// Returns whether all running nodes list all running nodes as alive.
    pub fn has_converged(&self) -> bool {
        self.running()
            .all(|about| self.all_see(about, NodeCondition::Alive))
    }

    /// Returns the indices of the running nodes.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        self.nodes
            .iter()
            .filter(|(_, node)| node.run_state == RunState::Running)
            .map(|(index, _)| *index)
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.steps += 1;
        self.deliver();
        let (now, phase) = (self.now, self.steps % STEPS_PER_TICK);
        for (index, node) in &mut self.nodes {
            let is_turn = *index as u64 % STEPS_PER_TICK == phase;
            if node.run_state == RunState::Running && is_turn {
                node.state.tick(now);
            }
        }
        self.collect();
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (key, datagram) in due {
            match self.nodes.get_mut(&index_of(datagram.to)) {
                Some(node) if node.run_state == RunState::Running => {
                    let received = node.state.receive(&datagram.bytes, datagram.from, self.now);
                    received.expect("datagrams of the fleet are valid");
                }
                Some(node) if node.run_state == RunState::Paused => {
                    let (due_at, number) = key;
                    self.in_flight
                        .insert((due_at.after(STEP), number), datagram);
                }
                _ => {}
            }
        }
    }

    fn collect(&mut self) {
        for (index, node) in &mut self.nodes {
            for outgoing in node.state.take_outgoing() {
                let zones = (
                    index / self.zone_size,
                    index_of(outgoing.to) / self.zone_size,
                );
                let is_lost = self.rng.random_range(0..100) < self.loss_percent;
                if is_lost || (self.cut)(zones.0, zones.1) {
                    continue;
                }
                self.sent += 1;
                let datagram = InFlight {
                    from: address(*index),
                    to: outgoing.to,
                    bytes: outgoing.bytes.to_vec(),
                };
                let key = (self.now.after(LATENCY), self.sent);
                self.in_flight.insert(key, datagram);
            }
        }
    }
}

/// Returns the secret of all nodes.
pub fn secret() -> FleetSecret {
    "a secret for tests".parse().expect("long enough")
}

/// Returns the id of a node.
pub fn node_id(index: usize) -> NodeId {
    format!("node-{index}").parse().expect("valid name")
}

/// Returns the address of a node.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16))
}

/// Returns the record of an announced backend server.
pub fn server(service: &str) -> ServerRecord {
    ServerRecord {
        service: service.parse().expect("valid name"),
        slots: SlotCount(10),
        connections: ConnectionCount(150),
    }
}

/// Returns the record of a node in zone 0.
pub fn record(index: usize, incarnation: u64, condition: NodeCondition) -> NodeRecord {
    let options = options(index, usize::MAX);
    NodeRecord {
        id: options.id,
        zone: options.zone,
        addresses: options.addresses,
        incarnation: Incarnation(incarnation),
        condition,
        server: options.server,
    }
}

/// Returns the options with which a node joins.
pub fn options(index: usize, zone_size: usize) -> MembershipOptions {
    let zone = index / zone_size;
    MembershipOptions {
        id: node_id(index),
        zone: format!("zone-{zone}").parse().expect("valid name"),
        addresses: NodeAddresses {
            peer: address(index),
            control: address(index),
            probe: address(index),
        },
        server: Some(server("stock")),
        seeds: vec![address(0), address(1)],
        secret: secret(),
        random_seed: index as u64,
    }
}

/// Returns a valid datagram from node 7 that carries `records`.
pub fn announcement(records: &[NodeRecord]) -> Vec<u8> {
    let mut datagram = DatagramBuilder::new(&Envelope {
        sender: node_id(7),
        config: ConfigVersion(0),
        digest: TableDigest(0),
        message: Message::Announce,
    });
    assert!(records.iter().all(|record| datagram.add(record)));
    datagram.seal(&secret().derive(KeyPurpose::Membership))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}
