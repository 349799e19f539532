//! Requests that crash backend servers, on running nodes.

use balsamfold::connection::BufferedResponse;
use balsamfold::process::once::ContentDigest;
use balsamfold::process::suspects::CrashSite;
use balsamfold::process::suspects::CrashedRun;
use balsamfold::process::suspects::Fingerprint;
use balsamfold::process::suspects::SuspectEntry;
use balsamfold::request::RefusalReason;
use balsamfold::request::refusal_of;
use balsamfold::values::Clock;
use balsamfold::version::Access;
use http::StatusCode;
use testutils::backend_server::ServerPlan;
use testutils::fleet::TestFleet;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use tokio::net::TcpStream;

const SERVERS: usize = 5;
const CRASHING_REQUEST: &str = "crashing-request";

async fn crashing_fleet() -> TestFleet {
    let plans = [(); SERVERS].map(|()| ("zone-a", ServerPlan::small("stock", &[])));
    let mut configuration = sample_configuration(&["zone-a"], &[], &["stock"]);
    configuration.routes[0].access = Access::Open;
    let fleet = TestFleet::start(configuration, &plans).await;
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.crash_on = Some(CRASHING_REQUEST.to_owned()));
    }
    fleet
}

async fn send(fleet: &TestFleet, ingress: usize, body: &str) -> BufferedResponse {
    let request = post("/stock", None, &[], body);
    fleet.nodes[ingress].caller.send(request).await.unwrap()
}

/// Counts the backend servers that ran the crashing request; each of them crashed.
fn crashed_servers(fleet: &TestFleet) -> usize {
    let ran_crashing_request = |runs: Vec<testutils::backend_server::Run>| {
        runs.iter().any(|run| run.body == CRASHING_REQUEST)
    };
    fleet
        .nodes
        .iter()
        .filter(|node| ran_crashing_request(node.server.recorder().runs()))
        .count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crashing_request_resent_through_all_nodes_crashes_at_most_two_servers() {
    let fleet = crashing_fleet().await;
    for resend in 0..3 * SERVERS {
        let response = send(&fleet, resend % SERVERS, CRASHING_REQUEST).await;
        assert!(refusal_of(&response).is_some());
    }
    assert_eq!(crashed_servers(&fleet), 2);
    let last = refusal_of(&send(&fleet, 0, CRASHING_REQUEST).await).unwrap();
    assert_eq!(last.reason, RefusalReason::Quarantined);
    let healthy = send(&fleet, 1, "healthy").await;
    assert_eq!(healthy.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_that_listens_briefly_after_its_crash_counts_as_crashed() {
    let fleet = crashing_fleet().await;
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.crash_delay_ms = 30);
    }
    for resend in 0..3 * SERVERS {
        let response = send(&fleet, resend % SERVERS, CRASHING_REQUEST).await;
        assert!(refusal_of(&response).is_some());
    }
    assert_eq!(crashed_servers(&fleet), 2);
}

/// Makes a request a suspect on all nodes: it was running when the server of the first node
/// crashed, and only the last node may run it.
fn mark_suspect_for_last_node(fleet: &TestFleet, body: &str) {
    let content = ContentDigest::of("POST", "/stock", body.as_bytes());
    let mut entry = SuspectEntry::new(Fingerprint::of(
        &"stock".parse().unwrap(),
        None,
        b"",
        content,
    ));
    entry.crashes.insert(CrashSite {
        node: "node-0".parse().unwrap(),
        at: Clock::start().wall(),
        run: CrashedRun::Ordinary,
    });
    entry.assign_trial(format!("node-{}", SERVERS - 1).parse().unwrap());
    for member in &fleet.nodes {
        member
            .daemon
            .node()
            .merge_suspects(std::slice::from_ref(&entry));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn suspect_is_forwarded_to_the_only_node_that_may_run_it() {
    let fleet = crashing_fleet().await;
    for number in 0..60 {
        let body = format!("suspect-{number}");
        mark_suspect_for_last_node(&fleet, &body);
        let response = send(&fleet, number % SERVERS, &body).await;
        assert_eq!(
            response.status,
            StatusCode::OK,
            "{body}: {:?}",
            response.body
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn suspect_runs_elsewhere_when_its_trial_node_has_no_server() {
    let fleet = crashing_fleet().await;
    let crashing = &fleet.nodes[SERVERS - 1].server;
    crashing.crash();
    while TcpStream::connect(crashing.address()).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let body = "suspect";
    mark_suspect_for_last_node(&fleet, body);
    let mut response = send(&fleet, 0, body).await;
    for ingress in 1..SERVERS {
        if response.status == StatusCode::OK {
            break;
        }
        response = send(&fleet, ingress, body).await;
    }
    assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_concurrent_with_a_crashing_request_succeed_on_resend() {
    let fleet = crashing_fleet().await;
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.service_time_ms = 30.0);
    }
    let bodies: Vec<_> = (0..20)
        .map(|number| format!("concurrent-{number}"))
        .collect();
    let concurrent = bodies
        .iter()
        .enumerate()
        .map(|(index, body)| send(&fleet, index % SERVERS, body));
    let concurrent = futures::future::join_all(concurrent);
    let (responses, _) = futures::future::join(concurrent, send(&fleet, 0, CRASHING_REQUEST)).await;
    let mut unsuccessful = Vec::new();
    for (response, body) in responses.iter().zip(&bodies) {
        if response.status != StatusCode::OK {
            unsuccessful.push(body);
        }
    }
    for body in unsuccessful {
        let mut response = send(&fleet, 0, body).await;
        for ingress in 1..2 * SERVERS {
            if response.status == StatusCode::OK {
                break;
            }
            response = send(&fleet, ingress % SERVERS, body).await;
        }
        assert_eq!(
            response.status,
            StatusCode::OK,
            "{body}: {:?}",
            response.body
        );
    }
    assert!(crashed_servers(&fleet) <= 2);
}
