//! Choice among the nodes of a service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::membership::ServerRecord;
use balsamfold::process::routing::CallOutcome;
use balsamfold::process::routing::ChooseContext;
use balsamfold::process::routing::Router;
use balsamfold::values::ConnectionCount;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::ServiceId;
use balsamfold::values::SlotCount;
use balsamfold::values::ZoneId;
use balsamfold::version::ZoneRecord;
use proptest::prelude::*;

fn record(name: &str, zone: &str) -> NodeRecord {
    let unused = "127.0.0.1:0".parse().expect("valid address");
    NodeRecord {
        id: name.parse().expect("valid name"),
        zone: zone.parse().expect("valid name"),
        addresses: NodeAddresses {
            peer: unused,
            control: unused,
            probe: unused,
        },
        incarnation: Incarnation(1),
        condition: NodeCondition::Alive,
        server: Some(ServerRecord {
            service: service(),
            slots: SlotCount(10),
            connections: ConnectionCount(100),
        }),
    }
}

fn service() -> ServiceId {
    "stock".parse().expect("valid name")
}

fn node(name: &str) -> NodeId {
    name.parse().expect("valid name")
}

/// Zones `a` and `b` are in one region, `far` in another.
fn zones() -> BTreeMap<ZoneId, ZoneRecord> {
    [("a", "north"), ("b", "north"), ("far", "south")]
        .into_iter()
        .map(|(zone, region)| {
            let id: ZoneId = zone.parse().expect("valid name");
            let region = region.parse().expect("valid name");
            (
                id.clone(),
                ZoneRecord {
                    id,
                    region,
                    rate_weight: 1,
                },
            )
        })
        .collect()
}

struct Harness {
    router: Router,
    members: MemberTable,
    now: MonotonicTime,
}

impl Harness {
    fn new(nodes: &[(&str, &str)]) -> Self {
        let now = MonotonicTime::default();
        Self {
            router: Router::new("a".parse().expect("valid name"), 7, now),
            members: MemberTable::new(nodes.iter().map(|(name, zone)| record(name, zone))),
            now,
        }
    }

    fn choose(&mut self, excluded: &[NodeId]) -> Option<NodeId> {
        let context = ChooseContext {
            members: &self.members,
            zones: &zones(),
            excluded,
            cross_zone_cost: Router::CROSS_ZONE_COST,
            loads: &[],
            now: self.now,
        };
        self.router
            .choose(&service(), &context)
            .map(|record| record.id)
    }

    /// Makes `count` calls, 1 ms apart, and counts them by node.
    fn run(
        &mut self,
        count: u32,
        server: impl Fn(&str) -> (CallOutcome, u64),
    ) -> HashMap<String, u32> {
        let mut calls: HashMap<String, u32> = HashMap::new();
        for _ in 0..count {
            self.now = self.now.after(Duration::from_millis(1));
            let Some(id) = self.choose(&[]) else { continue };
            let (outcome, latency_ms) = server(id.as_str());
            self.router.record_start(&id);
            let latency = Duration::from_millis(latency_ms);
            self.router.record_end(&id, outcome, latency, self.now);
            *calls.entry(id.to_string()).or_default() += 1;
        }
        calls
    }
}

fn calls_of(calls: &HashMap<String, u32>, name: &str) -> u32 {
    calls.get(name).copied().unwrap_or_default()
}

#[test]
fn own_zone_is_preferred_and_other_region_is_last() {
    let mut harness = Harness::new(&[("a1", "a"), ("b1", "b"), ("far1", "far")]);
    let calls = harness.run(1000, |_| (CallOutcome::Answered, 5));
    assert!(calls_of(&calls, "a1") > 990, "{calls:?}");
    assert_eq!(calls_of(&calls, "far1"), 0);
    assert_eq!(harness.choose(&[node("a1")]), Some(node("b1")));
    assert_eq!(
        harness.choose(&[node("a1"), node("b1")]),
        Some(node("far1"))
    );
    assert_eq!(
        harness.choose(&[node("a1"), node("b1"), node("far1")]),
        None
    );
}

#[test]
fn calls_spill_over_once_the_own_zone_exceeds_the_cross_zone_cost() {
    let mut harness = Harness::new(&[("a1", "a"), ("b1", "b")]);
    let near = |name: &str| (CallOutcome::Answered, if name == "a1" { 6 } else { 5 });
    let calls = harness.run(1000, near);
    assert!(calls_of(&calls, "a1") > 900, "{calls:?}");
    let queueing = |name: &str| (CallOutcome::Answered, if name == "a1" { 20 } else { 5 });
    let calls = harness.run(1000, queueing);
    assert!(calls_of(&calls, "b1") > 900, "{calls:?}");
}

#[test]
fn calls_in_flight_raise_the_cost() {
    let mut harness = Harness::new(&[("a1", "a"), ("a2", "a")]);
    harness.run(100, |_| (CallOutcome::Answered, 5));
    for _ in 0..10 {
        let chosen = harness.choose(&[]).expect("a node is available");
        harness.router.record_start(&chosen);
    }
    let next = |harness: &mut Harness| (0..20).map(|_| harness.choose(&[])).collect::<Vec<_>>();
    let chosen = next(&mut harness);
    assert!(chosen.contains(&Some(node("a1"))) || chosen.contains(&Some(node("a2"))));
    for _ in 0..10 {
        harness.router.record_start(&node("a1"));
    }
    let chosen = next(&mut harness);
    let on_a2 = chosen.iter().filter(|id| **id == Some(node("a2"))).count();
    assert!(on_a2 >= 12, "{on_a2} of 20 on the idle node");
}

#[test]
fn refusing_node_gets_fewer_calls_although_it_responds_fast() {
    let mut harness = Harness::new(&[("a1", "a"), ("a2", "a")]);
    let calls = harness.run(1000, |name| match name {
        "a1" => (CallOutcome::Refused, 0),
        _ => (CallOutcome::Answered, 10),
    });
    assert!(calls_of(&calls, "a1") < 350, "{calls:?}");
}

#[test]
fn failing_node_is_ejected_and_readmitted() {
    let names = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("a4", "a")];
    let mut harness = Harness::new(&names);
    let one_fails = |name: &str| match name {
        "a1" => (CallOutcome::Failed, 1),
        _ => (CallOutcome::Answered, 5),
    };
    let calls = harness.run(5000, one_fails);
    assert!(calls_of(&calls, "a1") < 50, "{calls:?}");
    harness.run(20_000, |_| (CallOutcome::Answered, 5));
    let calls = harness.run(4000, |_| (CallOutcome::Answered, 5));
    assert!(calls_of(&calls, "a1") > 500, "{calls:?}");
}

#[test]
fn new_node_gets_fewer_calls_at_first() {
    let mut harness = Harness::new(&[("a1", "a"), ("a2", "a")]);
    harness.run(10_000, |_| (CallOutcome::Answered, 5));
    let names = ["a1", "a2", "a3"];
    harness.members = MemberTable::new(names.map(|name| record(name, "a")));
    let first = harness.run(500, |_| (CallOutcome::Answered, 5));
    assert!((1..100).contains(&calls_of(&first, "a3")), "{first:?}");
    harness.run(5000, |_| (CallOutcome::Answered, 5));
    let later = harness.run(1000, |_| (CallOutcome::Answered, 5));
    assert!(calls_of(&later, "a3") > 200, "{later:?}");
}

#[test]
fn equal_seeds_give_equal_choices() {
    let names = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let choices = || {
        let mut harness = Harness::new(&names);
        (0..100).map(|_| harness.choose(&[])).collect::<Vec<_>>()
    };
    assert_eq!(choices(), choices());
}

proptest! {
    /// However many nodes fail, at least two in three of the known nodes still get calls.
    #[test]
    fn ejected_fraction_is_bounded(count in 1_usize..12, failing in 0_usize..12) {
        let names: Vec<String> = (0..count).map(|index| format!("n{index}")).collect();
        let nodes: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
        let mut harness = Harness::new(&nodes);
        let failing: Vec<_> = names.iter().take(failing).cloned().collect();
        let server = |name: &str| match failing.iter().any(|failing| failing == name) {
            true => (CallOutcome::Failed, 1),
            false => (CallOutcome::Answered, 5),
        };
        harness.run(400, server);
        let calls = harness.run(400, server);
        prop_assert_eq!(calls.values().sum::<u32>(), 400);
        prop_assert!(calls.len() >= count - count / 3);
    }
}

// A zone whose only server of a service is lost: its calls must not gather at one other server.
#[test]
fn calls_of_a_zone_without_a_server_spread_over_the_others() {
    let others = ["b1", "b2", "b3", "b4", "b5"];
    let nodes: Vec<_> = others.iter().map(|name| (*name, "b")).collect();
    let mut harness = Harness::new(&nodes);
    let calls = harness.run(1000, |_| (CallOutcome::Answered, 5));
    for name in others {
        let count = calls_of(&calls, name);
        assert!((100..=300).contains(&count), "{calls:?}");
    }
}

// A slow server that keeps its health: its polls succeed, and no call to it fails.
#[test]
fn slow_server_that_keeps_its_health_gets_few_calls() {
    let mut harness = Harness::new(&[("a1", "a"), ("a2", "a"), ("a3", "a"), ("a4", "a")]);
    harness.run(400, |_| (CallOutcome::Answered, 10));
    let slow = |name: &str| (CallOutcome::Answered, if name == "a1" { 200 } else { 10 });
    harness.run(200, slow);
    let calls = harness.run(1000, slow);
    assert!(calls_of(&calls, "a1") < 50, "{calls:?}");
}
