//! Requests that crash backend servers, on running relays.

use std::collections::BTreeMap;
use std::time::Duration;

use balsamfold::process::suspects::SuspectEntry;
use futures::future::join_all;
use http::StatusCode;
use http::header;
use testutils::relay::Behaviour;
use testutils::relay::ReceivedRequest;
use testutils::relay::RelayFleet;
use testutils::relay::relay_protocol;
use testutils::relay::sample_open_plan;
use testutils::relay::suspected_on;

const SERVERS: usize = 5;
/// Attempts that the route allows.
const ATTEMPTS_MAX: usize = 3;
const CRASHING: &str = "/stock/crashing";

async fn crashing_fleet() -> RelayFleet {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::CrashOn(CRASHING));
    }
    fleet
}

/// Returns how many times a backend server began to run the crashing request.
fn crashes(fleet: &RelayFleet) -> usize {
    let received = fleet.relays.iter().map(|relay| relay.server.received());
    let is_crashing = |request: &ReceivedRequest| request.uri == CRASHING;
    received
        .map(|requests| requests.into_iter().filter(is_crashing).count())
        .sum()
}

/// Returns the largest number of servers that one attempt of a caller reached.
fn servers_per_attempt(fleet: &RelayFleet) -> usize {
    let name = relay_protocol().headers.request_id;
    let mut counts = BTreeMap::new();
    for relay in &fleet.relays {
        for request in relay.server.received() {
            *counts
                .entry(request.headers[&name].as_bytes().to_vec())
                .or_insert(0) += 1;
        }
    }
    counts.into_values().max().unwrap_or_default()
}

/// Starts the servers that crashed since the last call, and reports them to their relays.
async fn start_crashed_servers_again(fleet: &RelayFleet, sequence: u64) {
    for (index, relay) in fleet.relays.iter().enumerate() {
        if relay.server.is_crashed() {
            relay.server.start_again().await;
        }
        fleet.report(index, sequence, false).await;
    }
    fleet.wait_until_ready().await;
}

// Guards against a request that goes on to be sent to servers after it has crashed several of them (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crashing_request_resent_to_returning_servers_crashes_at_most_two() {
    let fleet = crashing_fleet().await;
    for resend in 0..3 * SERVERS {
        let id = format!("r{resend}");
        let response = fleet.call(resend % SERVERS, &id, CRASHING, None).await;
        assert!(response.status.is_server_error());
        start_crashed_servers_again(&fleet, 2 + resend as u64).await;
    }
    assert!(servers_per_attempt(&fleet) <= ATTEMPTS_MAX);
    assert_eq!(crashes(&fleet), 2);
}

// Guards against a crash that nobody reports because the time of the crashing request ends first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crash_is_reported_after_the_deadline_of_the_request() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    for relay in &fleet.relays {
        let late = Behaviour::CrashLate(Duration::from_millis(60), CRASHING);
        relay.server.set_behaviour(late);
    }
    for resend in 0..2 * SERVERS {
        let id = format!("r{resend}");
        let wait = Duration::from_millis(30);
        fleet
            .call_within(resend % SERVERS, &id, CRASHING, wait)
            .await;
        // The crash is detected when the listener is closed.
        tokio::time::sleep(Duration::from_millis(200)).await;
        start_crashed_servers_again(&fleet, 2 + resend as u64).await;
    }
    assert!(crashes(&fleet) <= 2, "{} crashes", crashes(&fleet));
}

/// Resends the crashing request until it is quarantined; the servers that crashed are back.
async fn quarantine_request(fleet: &RelayFleet) {
    for resend in 0..SERVERS {
        fleet.call(resend, "r0", CRASHING, None).await;
        start_crashed_servers_again(fleet, 2 + resend as u64).await;
    }
    assert_eq!(crashes(fleet), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn quarantined_request_is_refused_as_not_run_with_a_long_retry_delay() {
    let fleet = crashing_fleet().await;
    quarantine_request(&fleet).await;
    let response = fleet.call(0, "r1", CRASHING, None).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.body, "quarantined");
    assert_eq!(response.headers[header::RETRY_AFTER], "600.000");
    let healthy = fleet.call(0, "r2", "/stock/healthy", None).await;
    assert_eq!(healthy.status, StatusCode::OK);
}

// Guards against a quarantine that ends with the processes that knew of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn quarantine_outlives_the_processes_of_all_relays() {
    let mut fleet = crashing_fleet().await;
    quarantine_request(&fleet).await;
    fleet
        .wait_until(|fleet| !fleet.store.keys("suspects/").is_empty())
        .await;
    for index in 0..SERVERS {
        fleet.restart(index).await;
        fleet.report(index, 100, false).await;
    }
    fleet.wait_until_ready().await;
    for resend in 0..SERVERS {
        let response = fleet.call(resend, "r1", CRASHING, None).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(crashes(&fleet), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn quarantine_during_an_outage_is_stored_afterwards() {
    let fleet = crashing_fleet().await;
    fleet.store.set_down(true);
    for resend in 0..SERVERS {
        fleet.call(resend, "r0", CRASHING, None).await;
    }
    assert_eq!(crashes(&fleet), 2);
    assert!(fleet.store.keys("suspects/").is_empty());
    fleet.store.set_down(false);
    fleet
        .wait_until(|fleet| !fleet.store.keys("suspects/").is_empty())
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_beside_a_crashing_one_are_answered_by_another_server() {
    let fleet = crashing_fleet().await;
    for relay in &fleet.relays {
        let slow = Behaviour::SlowAndCrashOn(Duration::from_millis(100), CRASHING);
        relay.server.set_behaviour(slow);
    }
    let bystanders = (0..8).map(|number| {
        let fleet = &fleet;
        async move {
            let (id, path) = (format!("b{number}"), format!("/stock/{number}"));
            fleet.call(0, &id, &path, None).await.status
        }
    });
    let crashing = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        fleet.call(0, "r0", CRASHING, None).await
    };
    let (statuses, _) = tokio::join!(join_all(bystanders), crashing);
    // Requests in flight at a crash are repeated within the retry budget only.
    let expected = [
        StatusCode::OK,
        StatusCode::BAD_GATEWAY,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    assert!(statuses.iter().all(|status| expected.contains(status)));
    assert!(crashes(&fleet) <= 2);
    for number in 0..8 {
        let path = format!("/stock/{number}");
        let response = fleet.call(1, &format!("c{number}"), &path, None).await;
        assert_eq!(response.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn trial_of_a_node_that_left_the_fleet_moves_to_another_node() {
    let fleet = crashing_fleet().await;
    let entry = suspected_on("/stock/suspect", "node-that-left");
    for relay in &fleet.relays {
        let updates = std::slice::from_ref(&entry);
        relay.daemon.node().merge_suspects(updates);
    }
    let response = fleet.call(0, "r1", "/stock/suspect", None).await;
    assert_eq!(response.status, StatusCode::OK);
}

// Guards against a quarantine that no node stores, because none of the nodes whose servers crashed knows
// of both crashes (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn quarantine_that_other_nodes_form_by_merging_is_stored() {
    let fleet = crashing_fleet().await;
    let entry = suspected_on(CRASHING, "node-1");
    // Node 1 does not know of the crash at node 0, like one that has restarted since.
    for index in [0, 2, 3, 4] {
        let node = fleet.relays[index].daemon.node();
        node.merge_suspects(std::slice::from_ref(&entry));
    }
    fleet.call(0, "r0", CRASHING, None).await;
    assert_eq!(crashes(&fleet), 1);
    fleet
        .wait_until(|fleet| !fleet.store.keys("suspects/").is_empty())
        .await;
}

// Guards against suspects that a relay forgets when it restarts, and sends to its own server again (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_relay_learns_suspects_from_other_nodes_before_it_serves() {
    let mut fleet = crashing_fleet().await;
    let paths: Vec<String> = (0..20).map(|number| format!("/stock/{number}")).collect();
    let entries: Vec<SuspectEntry> = paths
        .iter()
        .map(|path| suspected_on(path, "node-2"))
        .collect();
    for relay in &fleet.relays {
        relay.daemon.node().merge_suspects(&entries);
    }
    fleet.restart(1).await;
    fleet.report(1, 2, false).await;
    fleet.wait_until_ready().await;
    for (number, path) in paths.iter().enumerate() {
        fleet.call(1, &format!("r{number}"), path, None).await;
    }
    let elsewhere = [0, 1, 3, 4].map(|index| fleet.relays[index].server.received().len());
    assert_eq!(elsewhere, [0; 4]);
}

// Guards against a request that its ingress node knows as quarantined, and that still reaches the server of
// a node that missed the notifications (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_known_as_quarantined_is_not_sent_to_a_node_that_does_not_know() {
    let fleet = crashing_fleet().await;
    let paths: Vec<String> = (0..20).map(|number| format!("/stock/{number}")).collect();
    let entries = paths.iter().map(|path| {
        let mut entry = suspected_on(path, "node-1");
        let mut second = entry.crashes.first().expect("a crash").clone();
        second.node = "node-1".parse().expect("valid name");
        entry.crashes.insert(second);
        entry
    });
    let entries: Vec<SuspectEntry> = entries.collect();
    fleet.relays[0].daemon.node().merge_suspects(&entries);
    // Without a server of its own, the ingress node sends all requests to other nodes.
    fleet.report_departure(0).await;
    fleet.wait_until_ready_with_servers(SERVERS - 1).await;
    for (number, path) in paths.iter().enumerate() {
        let response = fleet.call(0, &format!("r{number}"), path, None).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    let received = fleet
        .relays
        .iter()
        .map(|relay| relay.server.received().len());
    assert_eq!(received.sum::<usize>(), 0);
}

/// Sends the crashing request until each server has answered it, as it does before `crash_all`.
async fn answered_by_each_server(fleet: &RelayFleet) -> usize {
    let has_all = || {
        let mut servers = fleet.relays.iter().map(|relay| &relay.server);
        servers.all(|server| !server.received().is_empty())
    };
    for sent in 0..20 * SERVERS {
        if has_all() {
            break;
        }
        let id = format!("a{sent}");
        fleet.call(sent % SERVERS, &id, CRASHING, None).await;
    }
    assert!(has_all());
    crashes(fleet)
}

/// Resends the crashing request through all relays in turn, to servers that come back.
async fn resend_crashing_request(fleet: &RelayFleet) {
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::CrashOn(CRASHING));
    }
    for resend in 0..3 * SERVERS {
        let id = format!("r{resend}");
        let index = resend % fleet.relays.len();
        fleet.call(index, &id, CRASHING, None).await;
        start_crashed_servers_again(fleet, 2 + resend as u64).await;
    }
}

// Guards against errors of servers that clear a request of the crashes that it causes (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_every_server_failed_before_crashes_at_most_two() {
    let fleet = crashing_fleet().await;
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::Fail);
    }
    let answered = answered_by_each_server(&fleet).await;
    resend_crashing_request(&fleet).await;
    let crashed = crashes(&fleet) - answered;
    assert!(crashed <= 2, "{crashed} crashes");
}

// Guards against responses from before a crash that clear a request of it, as after a release of the servers
// or with new data (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_every_server_answered_before_crashes_at_most_two() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    let answered = answered_by_each_server(&fleet).await;
    resend_crashing_request(&fleet).await;
    let crashed = crashes(&fleet) - answered;
    assert!(crashed <= 2, "{crashed} crashes");
}

// Guards against crashes of one server that never add up to a quarantine (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_crashes_the_only_server_of_a_service_at_most_twice() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"]).await;
    resend_crashing_request(&fleet).await;
    assert!(crashes(&fleet) <= 2, "{} crashes", crashes(&fleet));
}

// Guards against crashes of one server that never add up to a quarantine, because the others are down (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_crashes_the_only_server_that_is_up_at_most_twice() {
    let fleet = crashing_fleet().await;
    for index in 1..SERVERS {
        fleet.report_departure(index).await;
    }
    fleet.wait_until_ready_with_servers(1).await;
    for resend in 0..3 * SERVERS {
        let id = format!("r{resend}");
        fleet.call(resend % SERVERS, &id, CRASHING, None).await;
        if fleet.relays[0].server.is_crashed() {
            fleet.relays[0].server.start_again().await;
        }
        fleet.report(0, 2 + resend as u64, false).await;
        fleet.wait_until_ready_with_servers(1).await;
    }
    assert!(crashes(&fleet) <= 2, "{} crashes", crashes(&fleet));
}

// Guards against a popular request that is refused because servers crashed while it was in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn popular_request_in_flight_at_four_crashes_of_other_causes_is_served() {
    const POPULAR: &str = "/stock/popular";
    const CALLS_BETWEEN: usize = 5;
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    let slow = Behaviour::Slow(Duration::from_millis(40));
    for relay in &fleet.relays {
        relay.server.set_behaviour(slow.clone());
    }
    let mut served = 0;
    for crash in 0..4 {
        for index in 0..CALLS_BETWEEN {
            let id = format!("p{crash}.{index}");
            let response = fleet.call(index, &id, POPULAR, None).await;
            served += usize::from(response.status == StatusCode::OK);
        }
        let received = || {
            let servers = fleet.relays.iter().map(|relay| &relay.server);
            servers.map(|server| server.received().len()).collect()
        };
        let before: Vec<usize> = received();
        let crashing = async {
            loop {
                let now: Vec<usize> = received();
                if let Some(index) = (0..SERVERS).find(|index| now[*index] > before[*index]) {
                    return fleet.relays[index].server.crash();
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let id = format!("c{crash}");
        tokio::join!(fleet.call(crash, &id, POPULAR, None), crashing);
        start_crashed_servers_again(&fleet, 2 + crash as u64).await;
    }
    assert_eq!(served, 4 * CALLS_BETWEEN);
}

// Guards against copies of a popular request that are refused while one of them is on trial.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn copies_of_a_popular_request_wait_for_its_trial() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    for relay in &fleet.relays {
        let slow = Behaviour::Slow(Duration::from_millis(40));
        relay.server.set_behaviour(slow);
    }
    let entry = suspected_on("/stock/popular", "node-1");
    for relay in &fleet.relays {
        let updates = std::slice::from_ref(&entry);
        relay.daemon.node().merge_suspects(updates);
    }
    let copies = (0..8).map(|number| {
        let fleet = &fleet;
        async move {
            let id = format!("p{number}");
            let index = number % SERVERS;
            fleet.call(index, &id, "/stock/popular", None).await.status
        }
    });
    assert_eq!(join_all(copies).await, [StatusCode::OK; 8]);
}

// Guards against a server that fails requests, and thereby clears one of the crashes of all others (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_that_fails_a_request_does_not_clear_it_of_the_crashes_of_others() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::Fail);
    }
    answered_by_each_server(&fleet).await;
    let (failing, others) = fleet.relays.split_first().expect("relays");
    let received = || -> usize {
        let servers = others.iter().map(|relay| &relay.server);
        servers.map(|server| server.received().len()).sum()
    };
    for relay in others {
        relay.server.set_behaviour(Behaviour::CrashOn(CRASHING));
    }
    let answered = received();
    for resend in 0..3 * SERVERS {
        let id = format!("r{resend}");
        fleet.call(resend % SERVERS, &id, CRASHING, None).await;
        start_crashed_servers_again(&fleet, 2 + resend as u64).await;
    }
    let crashed = received() - answered;
    let failed = failing.server.received().len();
    assert!(crashed <= 2, "{crashed} crashes, {failed} failures");
}

// Guards against a server that crashes at each resend of a request that the others finish, as one of a new
// release (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_other_servers_finish_crashes_one_server_at_most_twice() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    let crashing = &fleet.relays[0].server;
    crashing.set_behaviour(Behaviour::CrashOn(CRASHING));
    let mut served = 0;
    for resend in 0..6 * SERVERS {
        let id = format!("r{resend}");
        let response = fleet.call(resend % SERVERS, &id, CRASHING, None).await;
        served += usize::from(response.status == StatusCode::OK);
        start_crashed_servers_again(&fleet, 2 + resend as u64).await;
    }
    let crashed = crashing.received().len();
    assert!(crashed <= 2, "{crashed} crashes, {served} served");
}

// Guards against a suspect that stays at a server which fails it, although others would finish it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn suspect_that_fails_on_trial_is_tried_at_another_node() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    let failing = &fleet.relays[1].server;
    failing.set_behaviour(Behaviour::Fail);
    let entry = suspected_on("/stock/popular", "node-1");
    for relay in &fleet.relays {
        let updates = std::slice::from_ref(&entry);
        relay.daemon.node().merge_suspects(updates);
    }
    let first = fleet.call(0, "r0", "/stock/popular", None).await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    assert_eq!(failing.received().len(), 1);
    // Cleared by then, it may go to any server again.
    for number in 1..4 {
        let id = format!("r{number}");
        let response = fleet.call(number, &id, "/stock/popular", None).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
}

// Guards against an ingress node that was not notified of a crash and sends the request to another server,
// because the others do not know its address yet (seed 71 of the soak; BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ingress_node_that_cannot_be_notified_learns_of_a_crash_from_the_node_where_it_failed() {
    let fleet = crashing_fleet().await;
    let unused = "127.0.0.1:1".parse().expect("valid address");
    // Cut off from the store, the node does not correct its entry.
    fleet.relays[0].store.set_turned_away(true);
    fleet.write_entry("node-0", "stock", unused);
    fleet
        .wait_until(|fleet| {
            let others = fleet.relays.iter().skip(1);
            others
                .map(|relay| relay.daemon.node().members())
                .all(|members| {
                    let mut nodes = members.nodes();
                    nodes.any(|record| record.addresses.peer == unused)
                })
        })
        .await;
    for number in 0..3 * SERVERS {
        let path = format!("{CRASHING}-{number}");
        fleet.call(0, &format!("r{number}"), &path, None).await;
        let servers = fleet.relays.iter().map(|relay| relay.server.received());
        let reached = servers.flatten().filter(|request| request.uri == path);
        let crashes = reached.count();
        assert!(crashes <= 2, "{crashes} crashes under {path}");
        for (index, relay) in fleet.relays.iter().enumerate() {
            if relay.server.is_crashed() {
                relay.server.start_again().await;
            }
            fleet.report(index, 2 + number as u64, false).await;
        }
    }
}

// Guards against a suspect that is refused although others would finish it, because the server of its trial
// node takes no requests at present.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn suspect_that_its_trial_server_does_not_take_is_tried_at_another_node() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    let limited = &fleet.relays[1].server;
    limited.set_behaviour(Behaviour::Limited(0.0));
    let paths = ["/stock/first", "/stock/second"];
    let entries = paths.map(|path| suspected_on(path, "node-1"));
    for relay in &fleet.relays {
        relay.daemon.node().merge_suspects(&entries);
    }
    for (number, path) in paths.into_iter().enumerate() {
        let response = fleet.call(0, &format!("r{number}"), path, None).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
    assert_eq!(limited.received().len(), 1);
}
