//! State of requests, calls and nodes.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::DownstreamFloors;
use balsamfold::process::gate::FloorNotice;
use balsamfold::process::gate::GateState;
use balsamfold::process::gate::Ticket;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::membership::ServerRecord;
use balsamfold::process::routing::CallOutcome;
use balsamfold::process::routing::Router;
use balsamfold::request::RefusalReason;
use balsamfold::values::ConnectionCount;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::RequestId;
use balsamfold::values::SlotCount;

use super::Deployment;

slotmap::new_key_type! {
    /// Identifies a call that is in transit, waits or runs.
    pub(super) struct CallKey;
}

/// The mechanisms against overload that are active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// None: servers queue requests up to their number of connections, and each hop retries.
    None,
    /// Gates limit concurrency and bound the queue, and each hop retries.
    Limits,
    /// As [`Control::Limits`], with importance, shares, floors, deadlines, rates, and a bound on
    /// the attempts of a call tree in place of retries at each hop.
    All,
}

/// A root request with the outcome of all its sends.
#[derive(Clone, Debug)]
pub(super) struct RootRequest {
    pub route: usize,
    pub organisation: usize,
    pub first_sent_at: MonotonicTime,
    pub within_rate: bool,
    pub sends: u32,
    pub served_at: Option<MonotonicTime>,
    pub refused_for_rate: bool,
    pub refused_otherwise: bool,
}

/// One send of a root request.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub request: usize,
    pub root: RequestId,
    pub deadline: MonotonicTime,
    pub extra_attempts: u32,
    pub ended: bool,
    pub served: bool,
    pub held: Duration,
    pub open_calls: Vec<CallKey>,
}

/// Progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallState {
    InTransit,
    Waiting(Option<Ticket>),
    Running { since: MonotonicTime },
}

/// A call from one node to another.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub attempt: usize,
    pub hop: usize,
    pub node: usize,
    pub caller: usize,
    pub parent: Option<CallKey>,
    pub sent_at: MonotonicTime,
    pub state: CallState,
    pub onward: Duration,
    pub timed_out: bool,
    pub retries_left: u32,
}

/// The response to a call, in transit to the caller.
#[derive(Clone, Debug)]
pub(super) struct Response {
    pub call: Call,
    pub outcome: CallOutcome,
    pub reason: Option<RefusalReason>,
    pub floor: FloorNotice,
}

/// A node and its backend server.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub record: NodeRecord,
    pub service: usize,
    pub gate: GateState,
    pub router: Router,
    pub ingress_floors: DownstreamFloors,
    pub onward_floors: DownstreamFloors,
    pub waiting: HashMap<Ticket, CallKey>,
    pub backlog: VecDeque<CallKey>,
    pub running: usize,
}

/// On whose behalf a node makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// Of a client, as the ingress node of its request.
    Ingress,
    /// Of its own backend server.
    Server,
}

impl Node {
    /// Returns the floors that the node received with the responses to its calls in `role`.
    pub(super) fn floors(&mut self, role: Role) -> &mut DownstreamFloors {
        match role {
            Role::Ingress => &mut self.ingress_floors,
            Role::Server => &mut self.onward_floors,
        }
    }
}

/// Creates the nodes of a deployment. Their limits start at the announced slots,
/// as those of warm servers.
pub(super) fn nodes_of(deployment: &Deployment, seed: u64) -> Vec<Node> {
    let now = MonotonicTime::default();
    let unused = ([127, 0, 0, 1], 0).into();
    let mut nodes = Vec::new();
    for (index, service) in deployment.services.iter().enumerate() {
        for server in 0..service.servers {
            let zone = format!("zone-{}", server % deployment.zones);
            let zone: balsamfold::values::ZoneId = zone.parse().expect("valid name");
            let slots = SlotCount(service.slots);
            let record = NodeRecord {
                id: format!("{}-{server}", service.name)
                    .parse()
                    .expect("valid name"),
                zone: zone.clone(),
                addresses: NodeAddresses {
                    peer: unused,
                    control: unused,
                    probe: unused,
                },
                incarnation: Incarnation(1),
                condition: NodeCondition::Alive,
                server: Some(ServerRecord {
                    service: service.name.parse().expect("valid name"),
                    slots,
                    connections: ConnectionCount(service.connections as u32),
                }),
            };
            nodes.push(Node {
                record,
                service: index,
                gate: GateState::new(AdaptiveLimit::warm(slots, now), now),
                router: Router::new(zone, seed + nodes.len() as u64, now),
                ingress_floors: DownstreamFloors::default(),
                onward_floors: DownstreamFloors::default(),
                waiting: HashMap::new(),
                backlog: VecDeque::new(),
                running: 0,
            });
        }
    }
    nodes
}
