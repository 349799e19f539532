//! What the experiment keeps for requests, calls and nodes.

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
    /// Identifies a call that travels, waits or runs.
    pub(super) struct CallKey;
}

/// Which decisions are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Servers queue what their connections allow, and each hop retries.
    None,
    /// Gates limit concurrency and bound the queue, and each hop retries.
    Limits,
    /// Importance, shares, floors, deadlines, rates and bounded attempts as well.
    All,
}

/// A root request, over all its sends.
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

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallState {
    InTransit,
    Waiting(Option<Ticket>),
    Running { since: MonotonicTime },
}

/// A call of a node to another.
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

/// The answer to a call on its way back.
#[derive(Clone, Debug)]
pub(super) struct Response {
    pub call: Call,
    pub outcome: CallOutcome,
    pub reason: Option<RefusalReason>,
    pub floor: FloorNotice,
}

/// A node and the server beside it.
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

/// For whom a node calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// For a client whose request enters at the node.
    Ingress,
    /// For the server beside the node.
    Server,
}

impl Node {
    /// Returns what the node learnt from the answers to its calls in a role.
    pub(super) fn floors(&mut self, role: Role) -> &mut DownstreamFloors {
        match role {
            Role::Ingress => &mut self.ingress_floors,
            Role::Server => &mut self.onward_floors,
        }
    }
}

/// Makes the nodes of a deployment, with warm servers.
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
