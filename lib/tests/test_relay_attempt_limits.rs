//! A small service at half its servers under a chain above it: which calls find a server with room.

use std::collections::BTreeMap;
use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::AdmissionDecision;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::process::gate::GateState;
use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::membership::ServerRecord;
use balsamfold::process::relay::refusing_nodes_max;
use balsamfold::process::routing::CallOutcome;
use balsamfold::process::routing::ChooseContext;
use balsamfold::process::routing::Router;
use balsamfold::values::ConnectionCount;
use balsamfold::values::Importance;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use balsamfold::values::ServiceId;
use balsamfold::values::SlotCount;
use testutils::relay::sample_node_record;

const SERVERS: usize = 6;
const SLOTS: u32 = 4;
const CALLS_OF_A_PAGE: usize = 8;
const CALL_TIME: Duration = Duration::from_millis(10);

fn service() -> ServiceId {
    "stock".parse().expect("valid name")
}

fn record(index: usize) -> NodeRecord {
    let (name, zone) = (format!("n{index}"), format!("z{index}"));
    NodeRecord {
        server: Some(ServerRecord {
            service: service(),
            slots: SlotCount(SLOTS),
            connections: ConnectionCount(100),
        }),
        ..sample_node_record(&name, &zone, NodeCondition::Alive)
    }
}

fn request(root: u128) -> AdmissionRequest {
    AdmissionRequest {
        importance: Importance(100),
        organisation: None,
        rate: RatePerSecond(100),
        root: RequestId(root),
        remaining: Duration::from_secs(1),
    }
}

/// Returns the gate of a server that is idle, or whose slots and queue are taken by other requests.
fn gate(is_full: bool) -> GateState {
    let now = MonotonicTime::default();
    let mut gate = GateState::new(AdaptiveLimit::warm(SlotCount(SLOTS), now), now);
    let is_refused = |gate: &mut GateState| {
        let (decision, _) = gate.acquire(&request(0), now);
        matches!(decision, AdmissionDecision::Refused(_))
    };
    while is_full && !is_refused(&mut gate) {}
    gate
}

/// A node whose server makes calls to a service of [`SERVERS`] servers.
struct Chain {
    router: Router,
    members: MemberTable,
    gates: Vec<GateState>,
    now: MonotonicTime,
}

impl Chain {
    fn new(full: usize, seed: u64) -> Self {
        let now = MonotonicTime::default();
        Self {
            router: Router::new("z0".parse().expect("valid name"), seed, now),
            members: MemberTable::new((0..SERVERS).map(record)),
            gates: (0..SERVERS).map(|index| gate(index < full)).collect(),
            now,
        }
    }

    /// Makes one call. Returns whether a server ran it.
    fn call(&mut self, root: u128) -> bool {
        let mut refused_by: Vec<NodeId> = Vec::new();
        while refused_by.len() < refusing_nodes_max(true) {
            let context = ChooseContext {
                members: &self.members,
                zones: &BTreeMap::new(),
                excluded: &refused_by,
                cross_zone_cost: Router::CROSS_ZONE_COST,
                loads: &[],
                now: self.now,
            };
            let Some(chosen) = self.router.choose(&service(), &context) else {
                return false;
            };
            self.router.record_start(&chosen.id);
            let index: usize = chosen.id.as_str()[1..].parse().expect("a number");
            let (decision, _) = self.gates[index].acquire(&request(root), self.now);
            let is_started = decision == AdmissionDecision::Started;
            let (outcome, time) = match is_started {
                true => (CallOutcome::Answered, CALL_TIME),
                false => (CallOutcome::Refused, Duration::from_millis(1)),
            };
            self.now = self.now.after(time);
            self.router.record_end(&chosen.id, outcome, time, self.now);
            if is_started {
                let completion = Completion {
                    outcome: CompletionOutcome::Answered,
                    held: CALL_TIME,
                    onward: Duration::ZERO,
                };
                self.gates[index].release(&completion, self.now);
                return true;
            }
            refused_by.push(chosen.id);
        }
        false
    }
}

// Guards against pages that failed after their work because one of their calls gave up although half
// of the servers below had room.
#[test]
fn every_call_of_a_page_finds_a_server_while_half_of_them_have_room() {
    for seed in 0..200 {
        let mut chain = Chain::new(SERVERS / 2, seed);
        let answered = (0..CALLS_OF_A_PAGE)
            .filter(|_| chain.call(u128::from(seed)))
            .count();
        assert_eq!(answered, CALLS_OF_A_PAGE, "seed {seed}");
    }
}

#[test]
fn requests_of_callers_are_refused_after_fewer_nodes() {
    assert!(refusing_nodes_max(false) < refusing_nodes_max(true));
}
