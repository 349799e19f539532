//! Tests of the distribution of a configuration from the platform's service to all nodes.

use std::time::Duration;

use balsamfold::process::configuration::ConfigurationNotice;
use balsamfold::process::configuration::ConfigurationStore;
use balsamfold::process::configuration::WATCHERS_PER_ZONE;
use balsamfold::process::configuration::WriteOutcome;
use balsamfold::process::platform::PlatformClient;
use balsamfold::process::platform::PlatformKey;
use balsamfold::process::platform::PlatformSettings;
use balsamfold::process::platform::PlatformValue;
use balsamfold::request::RefusalReason;
use balsamfold::request::refusal_of;
use balsamfold::values::ConfigVersion;
use balsamfold::values::KeyId;
use balsamfold::version::ChangeId;
use balsamfold::version::Configuration;
use balsamfold::version::change::withdraw_key;
use http::StatusCode;
use testutils::backend_server::ServerPlan;
use testutils::fleet::Caller;
use testutils::fleet::ConfiguredFleet;
use testutils::fleet::TestFleet;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;
use testutils::fleet::wait_until;
use testutils::platform::Faults;

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Calls of the first node, which knows no other node: it reads its zone's seed list and writes it.
const FIRST_NODE_CALLS: u64 = 3;
/// Calls that write a zone's seed list once its nodes are known.
const CALLS_PER_SEED_LIST: u64 = 2;

fn configuration() -> Configuration {
    sample_configuration(&ZONES, &["small", "large"], &["stock"])
}

/// Returns the next version without any other difference.
fn next_version(current: &Configuration, change_id: ChangeId) -> Configuration {
    Configuration {
        version: ConfigVersion(current.version.0 + 1),
        change_id,
        ..current.clone()
    }
}

fn withdraw_small(current: &Configuration, change_id: ChangeId) -> Configuration {
    let id: KeyId = "small".parse().unwrap();
    withdraw_key(current, &id, change_id).unwrap().unwrap()
}

/// Sends a request with the key of `small` and returns why it was refused.
async fn refusal(caller: &Caller) -> RefusalReason {
    let request = post("/stock", Some(&sample_key("small")), &[], "request");
    let response = caller.send(request).await.unwrap();
    refusal_of(&response).unwrap().reason
}

/// Waits until a request with the key of `small` reaches the choice of a backend server.
///
/// Until then, it is refused only because the organisation's bucket has no holder yet or because
/// that holder's bucket is still empty.
async fn wait_until_admitted(caller: &Caller) {
    let admitted = async {
        loop {
            match refusal(caller).await {
                RefusalReason::NoServer => return,
                RefusalReason::RateHolderUnreachable | RefusalReason::RateExceeded => {}
                reason => panic!("refused for {reason}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(60), admitted).await;
    assert!(result.is_ok(), "no request was admitted");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_calls_do_not_grow_with_the_fleet() {
    const CHANGES: u64 = 5;
    for nodes_per_zone in [2, 8] {
        let zones = ZONES.repeat(nodes_per_zone);
        let fleet = ConfiguredFleet::start(&configuration(), &zones).await;
        let settled = fleet.change(next_version).await;
        fleet.wait_for_version(settled).await;
        let before = fleet.platform.status().calls;
        for _ in 0..CHANGES {
            let version = fleet.change(next_version).await;
            fleet.wait_for_version(version).await;
        }
        let after = fleet.platform.status().calls;
        let watches = after.watches - before.watches;
        println!(
            "{} nodes, {CHANGES} changes: {watches} watches; gets {}, swaps {} by the operator",
            zones.len(),
            after.gets - before.gets,
            after.swaps - before.swaps,
        );
        let watchers = (ZONES.len() * WATCHERS_PER_ZONE) as u64;
        assert!(watches <= watchers * (CHANGES + 2));
        let node_calls = fleet
            .nodes
            .iter()
            .map(|daemon| daemon.node().platform.counts());
        let seed_calls: u64 = node_calls.map(|counts| counts.swaps + counts.gets).sum();
        assert!(seed_calls <= FIRST_NODE_CALLS + CALLS_PER_SEED_LIST * ZONES.len() as u64);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_key_stops_on_open_connections() {
    let fleet = ConfiguredFleet::start(&configuration(), &ZONES.repeat(2)).await;
    let addresses = fleet.nodes.iter().map(|daemon| daemon.caller_address());
    let callers: Vec<_> = addresses.map(Caller::new).collect();
    for caller in &callers {
        wait_until_admitted(caller).await;
    }
    let version = fleet.change(withdraw_small).await;
    fleet.wait_for_version(version).await;
    for caller in &callers {
        assert_eq!(refusal(caller).await, RefusalReason::KeyInvalid);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn backend_server_runs_nothing_for_a_withdrawn_key() {
    let plans = ["zone-a", "zone-b"].map(|zone| (zone, ServerPlan::small("stock", &[])));
    let fleet = TestFleet::start(configuration(), &plans).await;
    let operator = PlatformClient::new(&PlatformSettings::new(fleet.platform.address()));
    let store = ConfigurationStore::new(&operator, 1);
    let written = store.write(None, &configuration()).await;
    assert!(matches!(written, Ok(WriteOutcome::Done)), "{written:?}");
    let send = |node: usize, key: &'static str| {
        let request = post("/stock", Some(&sample_key(key)), &[], "request");
        fleet.nodes[node].caller.send(request)
    };
    for node in 0..plans.len() {
        assert_eq!(send(node, "small").await.unwrap().status, StatusCode::OK);
    }
    let base = store.read().await.unwrap().unwrap();
    let next = withdraw_small(&base.configuration, ChangeId::generate());
    let written = store.write(Some(base.revision), &next).await;
    assert!(matches!(written, Ok(WriteOutcome::Done)), "{written:?}");
    wait_until(|| {
        let mut nodes = fleet.nodes.iter().map(|node| node.daemon.node());
        nodes.all(|node| node.configuration.version() == next.version)
    })
    .await;
    let runs = || {
        fleet
            .nodes
            .iter()
            .map(|node| node.server.recorder().runs().len())
    };
    let runs_before: usize = runs().sum();
    for node in 0..plans.len() {
        let status = send(node, "small").await.unwrap().status;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
    }
    assert_eq!(runs().sum::<usize>(), runs_before);
    assert_eq!(send(0, "large").await.unwrap().status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_offered_to_one_node_spreads_with_the_platform_down() {
    let fleet = ConfiguredFleet::start(&configuration(), &ZONES.repeat(3)).await;
    fleet.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let withdrawn = withdraw_small(&configuration(), ChangeId::generate());
    let version = withdrawn.version;
    fleet.nodes[5].node().offer_configuration(withdrawn);
    fleet.wait_for_version(version).await;
    let caller = Caller::new(fleet.nodes[0].caller_address());
    assert_eq!(refusal(&caller).await, RefusalReason::KeyInvalid);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn notice_from_a_dead_node_does_not_block_updates() {
    let mut fleet = ConfiguredFleet::start(&configuration(), &ZONES.repeat(3)).await;
    let dead = fleet.nodes.pop().unwrap();
    let notice = ConfigurationNotice {
        version: ConfigVersion(1_000),
        control: dead.node().addresses.control,
    };
    drop(dead);
    for daemon in &fleet.nodes {
        daemon.node().receive_configuration_notice(notice);
    }
    fleet.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let withdrawn = withdraw_small(&configuration(), ChangeId::generate());
    let version = withdrawn.version;
    fleet.nodes[0].node().offer_configuration(withdrawn);
    fleet.wait_for_version(version).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_cut_from_the_platform_learns_from_the_other_zone() {
    let fleet = ConfiguredFleet::start(&configuration(), &ZONES.repeat(2)).await;
    fleet.platform.set_faults(Faults {
        cut_zones: ["zone-b".parse().unwrap()].into(),
        ..Faults::default()
    });
    let version = fleet.change(withdraw_small).await;
    fleet.wait_for_version(version).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_and_restarted_nodes_come_up_during_an_outage() {
    let mut fleet = ConfiguredFleet::start(&configuration(), &ZONES.repeat(2)).await;
    let version = fleet.change(withdraw_small).await;
    fleet.wait_for_version(version).await;
    fleet.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let calls_before = fleet.platform.status().calls;
    drop(fleet.nodes.pop());
    fleet.add_node("zone-b").await;
    fleet.add_node("zone-a").await;
    fleet.wait_for_version(version).await;
    assert_eq!(fleet.platform.status().calls, calls_before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_value_in_the_platform_reverts_no_node() {
    let mut fleet = ConfiguredFleet::start(&configuration(), &ZONES.repeat(2)).await;
    let version = fleet.change(withdraw_small).await;
    fleet.wait_for_version(version).await;
    let older = serde_json::to_string(&configuration()).unwrap();
    let watches_before = fleet.platform.status().calls.watches;
    let older = PlatformValue::try_from(older).unwrap();
    fleet.platform.overwrite(PlatformKey::Configuration, older);
    let watchers = (ZONES.len() * WATCHERS_PER_ZONE) as u64;
    wait_until(|| fleet.platform.status().calls.watches >= watches_before + watchers).await;
    fleet.add_node("zone-a").await;
    fleet.wait_for_version(version).await;
    for daemon in &fleet.nodes {
        assert_eq!(daemon.node().configuration.version(), version);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_without_a_configuration_is_not_ready() {
    let mut fleet = ConfiguredFleet::start(&configuration(), &[]).await;
    fleet.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    fleet.add_node("zone-a").await;
    let caller = Caller::new(fleet.nodes[0].caller_address());
    assert_eq!(refusal(&caller).await, RefusalReason::NotReady);
    fleet.platform.set_faults(Faults::default());
    fleet.wait_for_version(ConfigVersion(1)).await;
    wait_until_admitted(&caller).await;
}
