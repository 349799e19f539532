//! Benchmarks of the decisions on one call: gate, routing and floors.

use std::collections::BTreeMap;
use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::AdmissionFloor;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::process::gate::DownstreamFloors;
use balsamfold::process::gate::FloorNotice;
use balsamfold::process::gate::GateState;
use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::membership::ServerRecord;
use balsamfold::process::routing::CallOutcome;
use balsamfold::process::routing::ChooseContext;
use balsamfold::process::routing::Router;
use balsamfold::values::ConnectionCount;
use balsamfold::values::Importance;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use balsamfold::values::SlotCount;
use criterion::Criterion;

const SLOTS: u32 = 90;
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn request(number: u64) -> AdmissionRequest {
    let organisation = format!("organisation-{}", number % 8);
    AdmissionRequest {
        importance: Importance((number % 3) as u8),
        organisation: organisation.parse().ok(),
        rate: RatePerSecond(100),
        root: RequestId(u128::from(number)),
        remaining: Duration::from_secs(1),
    }
}

fn completion() -> Completion {
    Completion {
        outcome: CompletionOutcome::Answered,
        held: SERVICE_TIME,
        onward: Duration::ZERO,
    }
}

/// Measures the admission and the end of a request at a gate at which `arrivals` requests arrived
/// before.
fn gate(criterion: &mut Criterion, name: &str, arrivals: u32) {
    let requests: Vec<_> = (0..1024).map(request).collect();
    let mut now = MonotonicTime::default();
    let mut gate = GateState::new(AdaptiveLimit::warm(SlotCount(SLOTS), now), now);
    for request in &requests[..arrivals as usize] {
        gate.acquire(request, now);
    }
    let mut next = 0;
    criterion.bench_function(name, |bencher| {
        bencher.iter(|| {
            next = (next + 1) % requests.len();
            now = now.after(SERVICE_TIME / SLOTS);
            gate.acquire(&requests[next], now);
            gate.release(&completion(), now)
        });
    });
}

fn gates(criterion: &mut Criterion) {
    gate(criterion, "gate with free slots", SLOTS / 2);
    gate(criterion, "gate with a full queue", SLOTS * 3);
}

fn record(index: usize) -> Option<NodeRecord> {
    let unused = ([127, 0, 0, 1], 0).into();
    Some(NodeRecord {
        id: format!("node-{index}").parse().ok()?,
        zone: format!("zone-{}", index % 4).parse().ok()?,
        addresses: NodeAddresses {
            peer: unused,
            control: unused,
            probe: unused,
        },
        incarnation: Incarnation(1),
        condition: NodeCondition::Alive,
        server: Some(ServerRecord {
            service: "stock".parse().ok()?,
            slots: SlotCount(SLOTS),
            connections: ConnectionCount(650),
        }),
    })
}

fn route(criterion: &mut Criterion, nodes: usize) {
    let members = MemberTable::new((0..nodes).filter_map(record));
    let (Ok(service), Ok(zone)) = ("stock".parse(), "zone-0".parse()) else {
        return;
    };
    let mut now = MonotonicTime::default();
    let mut router = Router::new(zone, 1, now);
    let zones = BTreeMap::new();
    criterion.bench_function(&format!("routing among {nodes} nodes"), |bencher| {
        bencher.iter(|| {
            now = now.after(Duration::from_micros(100));
            let context = ChooseContext {
                members: &members,
                zones: &zones,
                excluded: &[],
                cross_zone_cost: Router::CROSS_ZONE_COST,
                loads: &[],
                now,
            };
            let chosen = router.choose(&service, &context);
            if let Some(node) = chosen {
                router.record_start(&node.id);
                router.record_end(&node.id, CallOutcome::Answered, SERVICE_TIME, now);
            }
        });
    });
}

fn routing(criterion: &mut Criterion) {
    for nodes in [4, 6, 50] {
        route(criterion, nodes);
    }
}

fn floors(criterion: &mut Criterion) {
    let Ok(service) = "stock".parse() else { return };
    let now = MonotonicTime(1);
    let mut floors = DownstreamFloors::default();
    let notice = FloorNotice::new(AdmissionFloor::keeping(Importance(1), 0.5), 0);
    let nodes: Vec<_> = (0..6)
        .filter_map(|index| format!("node-{index}").parse().ok())
        .collect();
    let mut root = 0;
    criterion.bench_function("floors of 6 nodes", |bencher| {
        bencher.iter(|| {
            root += 1;
            let node = &nodes[root as usize % nodes.len()];
            floors.learn("/stock", &service, node, notice.clone(), now);
            floors.check("/stock", Importance(1), None, RequestId(root), now)
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    gates(&mut criterion);
    routing(&mut criterion);
    floors(&mut criterion);
    criterion.final_summary();
}
