//! Running relays that learn of changes in the store from each other.

use balsamfold::process::relay::RelayNode;
use balsamfold::values::ConfigVersion;
use balsamfold::values::NodeId;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::sample_open_plan;

const SERVERS: usize = 5;

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
