//! Running relays that learn of changes in the store from each other.

use std::time::Duration;
use std::time::Instant;

use balsamfold::process::relay::RelayNode;
use balsamfold::values::ConfigVersion;
use balsamfold::values::NodeId;
use http::StatusCode;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::sample_keyed_plan;
use testutils::relay::sample_open_plan;

const SERVERS: usize = 5;
/// Seconds in which another node certainly holds the rates of a zone.
const HOLDER_WAIT_S: u32 = 12;

fn plan(version: u64) -> StoredPlan {
    StoredPlan {
        version,
        ..sample_open_plan()
    }
}

async fn settled_fleet() -> RelayFleet {
    let fleet = RelayFleet::start(&plan(1), &["stock"; SERVERS]).await;
    wait_for_one_watch(&fleet).await;
    fleet
}

/// Waits until only one node watches the store.
async fn wait_for_one_watch(fleet: &RelayFleet) {
    for prefix in ["nodes/", "suspects/", "desk/plan"] {
        fleet
            .wait_until(|fleet| fleet.store.waiting_watches(prefix) == 1)
            .await;
    }
}

fn has_version(node: &RelayNode, version: u64) -> bool {
    node.plan()
        .is_some_and(|plan| plan.version == ConfigVersion(version))
}

async fn wait_for_version(fleet: &RelayFleet, version: u64) {
    fleet
        .wait_until(|fleet| {
            let mut nodes = fleet.relays.iter().map(|relay| relay.daemon.node());
            nodes.all(|node| has_version(node, version))
        })
        .await;
}

/// Waits until all nodes know the present address of the node at `index`.
async fn wait_for_address(fleet: &RelayFleet, index: usize) {
    let own = &fleet.relays[index].daemon.node().settings.raw;
    let (id, address): (&NodeId, _) = (&own.node, own.listen.peers);
    fleet
        .wait_until(|fleet| {
            let mut nodes = fleet.relays.iter().map(|relay| relay.daemon.node());
            nodes.all(|node| {
                let members = node.members();
                members
                    .node(id)
                    .is_some_and(|record| record.addresses.peer == address)
            })
        })
        .await;
}

// Guards against calls of the store that grow with nodes times changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_node_of_a_zone_watches_the_store_and_the_others_learn_from_it() {
    let mut fleet = settled_fleet().await;
    fleet.publish(&plan(2));
    wait_for_version(&fleet, 2).await;
    fleet.restart(3).await;
    fleet.report(3, 2, false).await;
    wait_for_address(&fleet, 3).await;
    wait_for_one_watch(&fleet).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_node_watches_the_store_when_the_first_one_ends() {
    let mut fleet = settled_fleet().await;
    drop(fleet.relays.remove(0));
    fleet.publish(&plan(2));
    wait_for_version(&fleet, 2).await;
}

// Guards against nodes that read the store again and again because it turns them away, or that stay behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_that_the_store_turns_away_learn_from_the_others() {
    let fleet = settled_fleet().await;
    for index in [0, 1, 3] {
        fleet.relays[index].store.set_turned_away(true);
    }
    fleet.publish(&plan(2));
    wait_for_version(&fleet, 2).await;
    fleet.publish(&plan(3));
    wait_for_version(&fleet, 3).await;
    let mut nodes = fleet.relays.iter().map(|relay| relay.daemon.node());
    assert!(nodes.all(|node| node.is_ready()));
}

// Guards against a fleet that passes over entries after the store went back to an earlier copy, because
// their revisions are lower than those known.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entries_written_after_the_store_went_back_are_seen() {
    let mut fleet = settled_fleet().await;
    let copy = fleet.store.copy();
    // These changes, and their revisions, are lost.
    for version in 2..100 {
        fleet.publish(&plan(version));
    }
    wait_for_version(&fleet, 99).await;
    fleet.restart(2).await;
    fleet.report(2, 2, false).await;
    wait_for_address(&fleet, 2).await;
    fleet.store.go_back_to(&copy);
    // The operator writes the configuration again.
    fleet.publish(&plan(99));
    fleet.restart(3).await;
    fleet.report(3, 2, false).await;
    wait_for_address(&fleet, 3).await;
    wait_for_address(&fleet, 2).await;
    let mut nodes = fleet.relays.iter().map(|relay| relay.daemon.node());
    assert!(nodes.all(|node| has_version(node, 99)));
}

// Guards against a server that left and is in use again: the record of its departure went with the store's
// return to an earlier copy, and then its relay restarts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn departure_is_stored_again_after_the_store_went_back() {
    let fleet = settled_fleet().await;
    let copy = fleet.store.copy();
    fleet.report_departure(2).await;
    fleet.store.go_back_to(&copy);
    fleet
        .wait_until(|fleet| !fleet.store.keys("departures/node-2").is_empty())
        .await;
}

// Guards against a withdrawn key that a restarted relay accepts while it cannot read the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn withdrawn_key_is_refused_after_a_restart_during_an_outage() {
    let mut fleet = RelayFleet::start(&sample_keyed_plan(1, &["k1", "k2"]), &["stock"; 3]).await;
    fleet.publish(&sample_keyed_plan(2, &["k2"]));
    wait_for_version(&fleet, 2).await;
    fleet.store.set_down(true);
    fleet.restart(1).await;
    let during = fleet.call(1, "r1", "/stock/1", Some("k1")).await;
    assert_eq!(during.status, StatusCode::SERVICE_UNAVAILABLE);
    fleet.store.set_down(false);
    fleet
        .wait_until(|fleet| fleet.relays[1].daemon.node().is_ready())
        .await;
    let afterwards = fleet.call(1, "r2", "/stock/1", Some("k1")).await;
    assert_eq!(afterwards.status, StatusCode::UNAUTHORIZED);
}

// Guards against a withdrawn key that runs at a relay that started after the store went back to a copy from
// before the withdrawal, which other relays know.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn withdrawn_key_is_refused_after_a_restart_when_the_store_went_back() {
    let mut fleet = RelayFleet::start(&sample_keyed_plan(1, &["k1", "k2"]), &["stock"; 4]).await;
    wait_for_one_watch(&fleet).await;
    let copy = fleet.store.copy();
    fleet.publish(&sample_keyed_plan(2, &["k2"]));
    wait_for_version(&fleet, 2).await;
    fleet.store.go_back_to(&copy);
    // All relays know the store's new era then.
    tokio::time::sleep(Duration::from_secs(2)).await;
    // The first relay of a zone reads the store, the others ask it.
    for index in [0, 2] {
        fleet.restart(index).await;
        fleet.report(index, 2, false).await;
        let started_at = Instant::now();
        let mut number = 0;
        while started_at.elapsed() < Duration::from_secs(2) {
            number += 1;
            let id = format!("withdrawn-{index}-{number}");
            let withdrawn = fleet.call(index, &id, "/stock/1", Some("k1")).await;
            let expected = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::UNAUTHORIZED];
            assert!(
                expected.contains(&withdrawn.status),
                "{} after {:?}",
                withdrawn.status,
                started_at.elapsed()
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // The others hand over the newer version, which the store lacks.
        let node = fleet.relays[index].daemon.node();
        assert!(has_version(node, 2) && node.is_ready());
    }
    // The holder of the rates was killed, too.
    let mut status = StatusCode::SERVICE_UNAVAILABLE;
    for attempt in 0..HOLDER_WAIT_S {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let id = format!("active-{attempt}");
        status = fleet.call(2, &id, "/stock/1", Some("k2")).await.status;
        if status == StatusCode::OK {
            break;
        }
    }
    assert_eq!(status, StatusCode::OK);
}
