//! Requests that crash backend servers, on running nodes.

use balsamfold::connection::BufferedResponse;
use balsamfold::process::once::ContentDigest;
use balsamfold::process::suspects::CrashSite;
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
const KILLER: &str = "killer";

async fn fragile_fleet() -> TestFleet {
    let plans = [(); SERVERS].map(|()| ("zone-a", ServerPlan::small("stock", &[])));
    let mut configuration = sample_configuration(&["zone-a"], &[], &["stock"]);
    configuration.routes[0].access = Access::Open;
    let fleet = TestFleet::start(configuration, &plans).await;
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.crash_on = Some(KILLER.to_owned()));
    }
    fleet
}

async fn ask(fleet: &TestFleet, entry: usize, body: &str) -> BufferedResponse {
    let request = post("/stock", None, &[], body);
    fleet.nodes[entry].caller.send(request).await.unwrap()
}

/// Counts the backend servers that ran the killer: each of them crashed by it.
fn taken_down(fleet: &TestFleet) -> usize {
    let ran_killer =
        |runs: Vec<testutils::backend_server::Run>| runs.iter().any(|run| run.body == KILLER);
    fleet
        .nodes
        .iter()
        .filter(|node| ran_killer(node.server.recorder().runs()))
        .count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_resent_through_all_nodes_takes_down_two_servers_at_most() {
    let fleet = fragile_fleet().await;
    for resend in 0..3 * SERVERS {
        let answer = ask(&fleet, resend % SERVERS, KILLER).await;
        assert!(refusal_of(&answer).is_some());
    }
    assert_eq!(taken_down(&fleet), 2);
    let last = refusal_of(&ask(&fleet, 0, KILLER).await).unwrap();
    assert_eq!(last.reason, RefusalReason::Quarantined);
    let healthy = ask(&fleet, 1, "healthy").await;
    assert_eq!(healthy.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_listens_a_moment_longer_than_it_answers_has_crashed() {
    let fleet = fragile_fleet().await;
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.crash_delay_ms = 30);
    }
    for resend in 0..3 * SERVERS {
        let answer = ask(&fleet, resend % SERVERS, KILLER).await;
        assert!(refusal_of(&answer).is_some());
    }
    assert_eq!(taken_down(&fleet), 2);
}

/// Makes all nodes believe that a request was present at a crash beside the first node, and may
/// run beside the last one only.
fn suspect_on_last(fleet: &TestFleet, body: &str) {
    let content = ContentDigest::of("POST", "/stock", body.as_bytes());
    let mut entry = SuspectEntry::new(Fingerprint::of(None, content));
    entry.crashes.insert(CrashSite {
        node: "node-0".parse().unwrap(),
        at: Clock::start().wall(),
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
async fn a_suspect_is_passed_to_the_only_node_that_may_run_it() {
    let fleet = fragile_fleet().await;
    for number in 0..60 {
        let body = format!("suspect-{number}");
        suspect_on_last(&fleet, &body);
        let answer = ask(&fleet, number % SERVERS, &body).await;
        assert_eq!(answer.status, StatusCode::OK, "{body}: {:?}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_suspect_whose_node_has_lost_its_server_runs_elsewhere() {
    let fleet = fragile_fleet().await;
    let crashing = &fleet.nodes[SERVERS - 1].server;
    crashing.crash();
    while TcpStream::connect(crashing.address()).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let body = "suspect";
    suspect_on_last(&fleet, body);
    let mut answer = ask(&fleet, 0, body).await;
    for entry in 1..SERVERS {
        if answer.status == StatusCode::OK {
            break;
        }
        answer = ask(&fleet, entry, body).await;
    }
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_beside_a_killer_are_answered_elsewhere() {
    let fleet = fragile_fleet().await;
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.service_time_ms = 30.0);
    }
    let bodies: Vec<_> = (0..20)
        .map(|number| format!("bystander-{number}"))
        .collect();
    let bystanders = bodies
        .iter()
        .enumerate()
        .map(|(index, body)| ask(&fleet, index % SERVERS, body));
    let bystanders = futures::future::join_all(bystanders);
    let (answers, _) = futures::future::join(bystanders, ask(&fleet, 0, KILLER)).await;
    let mut unanswered = Vec::new();
    for (answer, body) in answers.iter().zip(&bodies) {
        if answer.status != StatusCode::OK {
            unanswered.push(body);
        }
    }
    for body in unanswered {
        let mut answer = ask(&fleet, 0, body).await;
        for entry in 1..2 * SERVERS {
            if answer.status == StatusCode::OK {
                break;
            }
            answer = ask(&fleet, entry % SERVERS, body).await;
        }
        assert_eq!(answer.status, StatusCode::OK, "{body}: {:?}", answer.body);
    }
    assert!(taken_down(&fleet) <= 2);
}
