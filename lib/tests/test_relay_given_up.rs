//! Requests that were given up before the backend server crashed under them, on running relays.

use std::time::Duration;

use balsamfold::process::suspects::CrashedRun;
use balsamfold::process::suspects::Fingerprint;
use balsamfold::process::suspects::RunId;
use balsamfold::process::suspects::Runs;
use balsamfold::process::suspects::SuspectAdmission;
use balsamfold::process::suspects::SuspectEntry;
use balsamfold::process::suspects::SuspectStatus;
use balsamfold::process::suspects::Suspects;
use balsamfold::values::WallTime;
use futures::future::join_all;
use http::StatusCode;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::at_ms;
use testutils::relay::sample_open_plan;
use testutils::relay::suspected_on;
use tokio::time::sleep;
use tokio::time::timeout;

const SERVERS: usize = 5;
const RESENDS: usize = 2 * SERVERS;
const CRASHING: &str = "/stock/crashing";
const POPULAR: &str = "/stock/popular";
/// Time for which callers of a request that crashes servers wait.
const WAIT: Duration = Duration::from_millis(100);
/// Time from the arrival of a request until the crash.
const CRASH_DELAY: Duration = Duration::from_millis(200);
/// Time after which a crash that nobody waits for is reported.
const REPORT_TIME: Duration = Duration::from_millis(500);
const WALL: WallTime = WallTime(1_000_000);

async fn crashing_fleet() -> RelayFleet {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::CrashAfter {
            text: CRASHING,
            delay: CRASH_DELAY,
            response_delay: Duration::from_millis(50),
        });
    }
    fleet
}

fn crashes(fleet: &RelayFleet) -> usize {
    let received = fleet.relays.iter().map(|relay| relay.server.received());
    let crashing = received.flatten().filter(|request| request.uri == CRASHING);
    crashing.count()
}

async fn start_crashed_servers_again(fleet: &RelayFleet, sequence: u64) {
    for (index, relay) in fleet.relays.iter().enumerate() {
        if relay.server.is_crashed() {
            relay.server.start_again().await;
        }
        fleet.report(index, sequence, false).await;
    }
    fleet.wait_until_ready().await;
}

// Guards against a request that is sent to server after server because its time is over before each crash (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_crashes_servers_after_its_deadline_crashes_at_most_two() {
    let fleet = crashing_fleet().await;
    for resend in 0..RESENDS {
        let id = format!("r{resend}");
        fleet
            .call_within(resend % SERVERS, &id, CRASHING, WAIT)
            .await;
        sleep(REPORT_TIME).await;
        start_crashed_servers_again(&fleet, 2 + resend as u64).await;
    }
    assert!(crashes(&fleet) <= 2, "{} crashes", crashes(&fleet));
}

// Guards against a request that is sent to server after server because its caller leaves before each crash (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_crashes_servers_after_its_caller_left_crashes_at_most_two() {
    let fleet = crashing_fleet().await;
    for resend in 0..RESENDS {
        let id = format!("r{resend}");
        let call = fleet.call(resend % SERVERS, &id, CRASHING, None);
        // It ends without a response, unless the request is refused.
        let _ = timeout(WAIT, call).await;
        sleep(REPORT_TIME).await;
        start_crashed_servers_again(&fleet, 2 + resend as u64).await;
    }
    assert!(crashes(&fleet) <= 2, "{} crashes", crashes(&fleet));
}

// Guards against a popular request that is refused because callers that left had sent it before crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn popular_request_whose_callers_leave_early_is_served_after_crashes() {
    let fleet = crashing_fleet().await;
    for index in 0..SERVERS {
        fleet.call(index, &format!("f{index}"), POPULAR, None).await;
    }
    for round in 0..4 {
        let path = format!("{CRASHING}-{round}");
        let crashing = async {
            for resend in 0..3 {
                let id = format!("c{round}-{resend}");
                let call = fleet.call((round + resend) % SERVERS, &id, &path, None);
                let _ = timeout(WAIT, call).await;
                sleep(REPORT_TIME).await;
            }
        };
        let leaving = join_all((0..SERVERS).map(async |index| {
            for number in 0..60 {
                let id = format!("p{round}-{index}-{number}");
                let call = fleet.call(index, &id, POPULAR, None);
                let _ = timeout(Duration::from_millis(20), call).await;
            }
        }));
        tokio::join!(crashing, leaving);
        start_crashed_servers_again(&fleet, 2 + round as u64).await;
    }
    sleep(Runs::GIVEN_UP).await;
    for index in 0..SERVERS {
        let response = fleet.call(index, &format!("l{index}"), POPULAR, None).await;
        assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
    }
}

fn fingerprint(number: u32) -> Fingerprint {
    suspected_on(&format!("/stock/{number}"), "node-1").fingerprint
}

fn status_of(updates: &[SuspectEntry], fingerprint: Fingerprint) -> Option<SuspectStatus> {
    let mut entries = updates.iter();
    let entry = entries.find(|entry| entry.fingerprint == fingerprint);
    entry.map(SuspectEntry::status)
}

/// Runs a request that is given up, and returns what remains of it.
fn given_up(number: u32, was_trial: bool) -> Vec<balsamfold::process::suspects::GivenUpRun> {
    let mut runs = Runs::default();
    let id = runs.add(fingerprint(number));
    runs.give_up(id, was_trial, at_ms(0));
    runs.take_given_up(at_ms(1))
}

// Guards against an innocent request that is refused because its callers left shortly before two crashes.
#[test]
fn request_given_up_before_two_crashes_is_suspected_and_no_more() {
    let mut tables = ["node-0", "node-1"].map(|node| Suspects::new(node.parse().expect("a name")));
    let mut updates = Vec::new();
    for table in &mut tables {
        table.merge(&updates, WALL);
        updates = table.on_crash_after([], &given_up(1, false), &[], WALL);
        assert_ne!(
            status_of(&updates, fingerprint(1)),
            Some(SuspectStatus::Quarantined)
        );
        assert_ne!(table.admit(fingerprint(1)), SuspectAdmission::Quarantined);
        table.on_not_cleared(fingerprint(1));
    }
}

// Guards against a trial that decides nothing because its caller left before the crash (BUDGET).
#[test]
fn crash_after_a_trial_was_given_up_quarantines_the_request() {
    let mut table = Suspects::new("node-1".parse().expect("a name"));
    table.merge(&[suspected_entry(1)], WALL);
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::RunAlone);
    table.on_not_cleared(fingerprint(1));
    let updates = table.on_crash_after([], &given_up(1, true), &[], WALL);
    assert_eq!(
        status_of(&updates, fingerprint(1)),
        Some(SuspectStatus::Quarantined)
    );
}

fn suspected_entry(number: u32) -> SuspectEntry {
    let mut entry = suspected_on(&format!("/stock/{number}"), "node-1");
    entry.crashes = entry
        .crashes
        .into_iter()
        .map(|mut site| {
            site.at = WALL;
            site.run = CrashedRun::Ordinary;
            site
        })
        .collect();
    entry
}

// Guards against a popular request that is quarantined because its caller left and a new request crashed the
// server then, and against one that never is (BUDGET).
#[test]
fn crash_after_a_familiar_trial_was_given_up_beside_a_new_request_is_in_doubt_twice() {
    let mut table = Suspects::new("node-1".parse().expect("a name"));
    table.on_finished(fingerprint(1));
    table.merge(&[suspected_entry(1)], WALL);
    let new = fingerprint(2);
    let expected = [
        SuspectStatus::Suspected,
        SuspectStatus::Suspected,
        SuspectStatus::Quarantined,
    ];
    for (crash, expected) in expected.into_iter().enumerate() {
        let wall = WallTime(WALL.0 + 1 + crash as u64);
        let updates = table.on_crash_after([new], &given_up(1, true), &[], wall);
        assert_eq!(status_of(&updates, fingerprint(1)), Some(expected));
    }
}

// Guards against memory that grows with the callers that leave.
#[test]
fn requests_that_were_given_up_are_forgotten_in_time_and_beyond_a_number() {
    let mut runs = Runs::default();
    for number in 0..2 * Runs::GIVEN_UP_MAX as u32 {
        let id = runs.add(fingerprint(number));
        runs.give_up(id, false, at_ms(0));
    }
    assert!(!runs.give_up(RunId(1), false, at_ms(0)));
    let mut later = Runs::default();
    let id = later.add(fingerprint(1));
    assert!(later.give_up(id, false, at_ms(0)));
    let end = at_ms(0).after(Runs::GIVEN_UP);
    assert_eq!(later.given_up_until(at_ms(1)), Some(end));
    assert_eq!(later.given_up_until(end), None);
    let remaining = runs.take_given_up(at_ms(1));
    assert_eq!(remaining.len(), Runs::GIVEN_UP_MAX);
    let oldest = fingerprint(Runs::GIVEN_UP_MAX as u32);
    assert_eq!(remaining[0].fingerprint, oldest);
}

// Guards against a trial that moves to another node while its server may still run an equal request, so that
// both crash.
#[test]
fn request_may_run_until_its_response_or_some_time_after_it_was_given_up() {
    let mut runs = Runs::default();
    let responded = runs.add(fingerprint(1));
    let given_up = runs.add(fingerprint(2));
    assert!(runs.may_run(fingerprint(1), at_ms(0)));
    assert!(!runs.may_run(fingerprint(3), at_ms(0)));
    runs.remove(responded);
    runs.give_up(given_up, false, at_ms(0));
    assert!(!runs.may_run(fingerprint(1), at_ms(0)));
    assert!(runs.may_run(fingerprint(2), at_ms(1)));
    assert!(!runs.may_run(fingerprint(2), at_ms(0).after(Runs::GIVEN_UP)));
}
