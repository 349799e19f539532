//! The commands dump, nodes and drain.

use balsamfold::values::ConfigVersion;
use testutils::backend_server::ServerPlan;
use testutils::fleet::ConfiguredFleet;
use testutils::fleet::FLEET_SECRET;
use testutils::fleet::TestFleet;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;
use testutils::platform::Faults;

use crate::environment::CommandOutput;
use crate::environment::run;

async fn fleet() -> TestFleet {
    let plan = ServerPlan::small("stock", &[]);
    let configuration = sample_configuration(&["zone-a"], &["small"], &["stock"]);
    TestFleet::start(configuration, &[("zone-a", plan)]).await
}

async fn call(fleet: &TestFleet, command: &str, secret: &str) -> CommandOutput {
    let address = fleet.nodes[0].daemon.node().addresses.control.to_string();
    run(&[
        command,
        &address,
        "--fleet-secret",
        secret,
        "--timeout-ms",
        "60000",
    ])
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_and_their_state_are_printed() {
    let fleet = fleet().await;
    let nodes = call(&fleet, "nodes", FLEET_SECRET).await;
    assert_eq!(nodes.exit, Some(0));
    assert!(
        nodes
            .stdout
            .starts_with("1 nodes\nnode-0: zone zone-a, alive, service stock")
    );
    let dump = call(&fleet, "dump", FLEET_SECRET).await;
    assert_eq!(dump.exit, Some(0));
    let document: serde_json::Value = serde_json::from_str(&dump.stdout).unwrap();
    assert_eq!(document["config_version"], 1);
    assert!(!dump.stdout.contains(sample_key("small").reveal()));
    assert!(!dump.stdout.contains(FLEET_SECRET));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_requests_a_planned_stop_of_the_node() {
    let fleet = fleet().await;
    let output = call(&fleet, "drain", FLEET_SECRET).await;
    insta::assert_snapshot!(output.text(), @r"
    exit 0
    the node accepts no new work and stops after its 0 requests in flight
    ");
    fleet.nodes[0].daemon.drain_requested().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn applied_folder_is_in_force_on_all_nodes() {
    let configuration = sample_configuration(&["zone-a"], &["small"], &["stock"]);
    let fleet = ConfiguredFleet::start(&configuration, &["zone-a"; 3]).await;
    let platform = fleet.platform.address().to_string();
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/examples/botonera");
    let apply = [
        "--platform",
        &platform,
        "--timeout-ms",
        "60000",
        "apply",
        example,
    ];
    let refused = run(&apply).await;
    assert_eq!(refused.exit, Some(2));
    assert!(
        refused
            .stderr
            .contains("cannot remove organisation small: its key small is active")
    );
    let withdraw = [
        "--platform",
        &platform,
        "--timeout-ms",
        "60000",
        "key",
        "withdraw",
        "small",
    ];
    assert_eq!(run(&withdraw).await.exit, Some(0));
    assert_eq!(run(&apply).await.exit, Some(0));
    fleet.wait_for_version(ConfigVersion(3)).await;
    for daemon in &fleet.nodes {
        let in_force = daemon.node().configuration().unwrap();
        assert_eq!(in_force.organisations.len(), 8);
        assert_eq!(in_force.route_of("/stock/zip").unwrap().importance.0, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_reaches_notified_nodes_if_the_platform_fails_after_the_write() {
    let configuration = sample_configuration(&["zone-a"], &["small"], &["stock"]);
    let fleet = ConfiguredFleet::start(&configuration, &["zone-a"; 3]).await;
    fleet.platform.set_faults(Faults {
        goes_down_with_change: true,
        ..Faults::default()
    });
    let platform = fleet.platform.address().to_string();
    let notified = fleet.nodes[1].node().addresses.control.to_string();
    let secret = ["--fleet-secret", FLEET_SECRET, "--timeout-ms", "60000"];
    let withdraw = [
        "--platform",
        &platform,
        "key",
        "withdraw",
        "small",
        "--tell",
        &notified,
    ];
    let output = run(&[secret.as_slice(), withdraw.as_slice()].concat()).await;
    insta::assert_snapshot!(output.text().replace(&notified, "ADDR"), @r"
    exit 0
    key small is permanently withdrawn as of version 2
    note: node ADDR has version 2 in force
    ");
    fleet.wait_for_version(ConfigVersion(2)).await;
    for daemon in &fleet.nodes {
        let in_force = daemon.node().indexed_configuration().unwrap();
        assert!(in_force.organisation_of(&sample_key("small")).is_none());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_with_a_wrong_secret_fail() {
    let fleet = fleet().await;
    for command in ["dump", "nodes", "drain"] {
        let output = call(&fleet, command, "secret-of-another-test-fleet").await;
        assert_eq!((output.exit, output.stdout.as_str()), (Some(1), ""));
        let output = call(&fleet, command, "short").await;
        assert_eq!(output.exit, Some(2));
    }
}
