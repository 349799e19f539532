//! Tests of the client of the platform's service against the stand-in.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use balsamfold::process::platform::Backoff;
use balsamfold::process::platform::CallCounts;
use balsamfold::process::platform::ChangeSeen;
use balsamfold::process::platform::PlatformClient;
use balsamfold::process::platform::PlatformError;
use balsamfold::process::platform::PlatformKey;
use balsamfold::process::platform::PlatformSettings;
use balsamfold::process::platform::PlatformValue;
use balsamfold::process::platform::StoredValue;
use balsamfold::process::platform::SwapOutcome;
use balsamfold::process::platform::SwapReply;
use balsamfold::process::platform::WatchReply;
use balsamfold::process::platform::swap_with_retry;
use balsamfold::values::ZoneId;
use testutils::platform::Faults;
use testutils::platform::PlatformStandIn;

const KEY: PlatformKey = PlatformKey::Configuration;

fn client(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(&PlatformSettings {
        calls_per_s: 1_000,
        ..PlatformSettings::new(address)
    })
}

fn value(text: &str) -> PlatformValue {
    PlatformValue::try_from(text.to_owned()).unwrap()
}

fn backoff() -> Backoff {
    Backoff::new(Duration::from_millis(1), Duration::from_millis(4), 7)
}

/// A value shows the change if it starts with `mine`.
fn holds_mine(current: Option<&StoredValue>) -> ChangeSeen {
    match current {
        Some(stored) if stored.value.as_str().starts_with("mine") => ChangeSeen::Yes,
        _ => ChangeSeen::No,
    }
}

#[tokio::test]
async fn calls_take_effect_and_are_counted() {
    let platform = PlatformStandIn::start_local().await.unwrap();
    let client = client(platform.address());
    assert_eq!(client.get(&KEY).await, Ok(None));
    let first = client.compare_and_swap(&KEY, None, &value("a"), None).await;
    let Ok(SwapReply::Done(revision)) = first else {
        panic!("not written: {first:?}");
    };
    let stale = client.compare_and_swap(&KEY, None, &value("b"), None).await;
    let current = StoredValue {
        revision,
        value: value("a"),
    };
    assert_eq!(stale, Ok(SwapReply::Conflict(Some(current.clone()))));
    assert_eq!(client.get(&KEY).await, Ok(Some(current)));
    let lease = client.grant_lease(Duration::from_secs(60)).await.unwrap();
    assert_eq!(client.renew_lease(lease).await, Ok(()));
    assert_eq!(client.release_lease(lease).await, Ok(()));
    assert_eq!(
        client.renew_lease(lease).await,
        Err(PlatformError::LeaseEnded)
    );
    let expected = CallCounts {
        gets: 2,
        swaps: 2,
        watches: 0,
        leases: 4,
    };
    assert_eq!(client.counts(), expected);
    assert_eq!(platform.status().calls, expected);
}

#[tokio::test]
async fn watch_replies_when_the_key_changes() {
    let platform = PlatformStandIn::start_local().await.unwrap();
    let watcher = client(platform.address());
    let unchanged = watcher.watch(&KEY, None, Duration::from_millis(1)).await;
    assert_eq!(unchanged, Ok(WatchReply::Unchanged));
    let watching = watcher.watch(&KEY, None, Duration::from_secs(60));
    let writing = async {
        let writer = client(platform.address());
        let swap = writer
            .compare_and_swap(&KEY, None, &value("new"), None)
            .await;
        assert!(matches!(swap, Ok(SwapReply::Done(_))));
    };
    let (seen, ()) = tokio::join!(watching, writing);
    assert!(matches!(seen, Ok(WatchReply::Changed(Some(stored))) if stored.value == value("new")));
}

#[tokio::test]
async fn swap_whose_reply_is_lost_is_recognised_as_done() {
    let platform = PlatformStandIn::start_local().await.unwrap();
    platform.set_faults(Faults {
        lost_swap_replies: 1,
        ..Faults::default()
    });
    let client = client(platform.address());
    let mine = value("mine");
    let outcome = swap_with_retry(&client, &KEY, None, &mine, backoff(), holds_mine).await;
    assert_eq!(outcome, SwapOutcome::Done);
    assert_eq!(platform.status().cut, 1);
    assert_eq!(client.counts().swaps, 1);
}

#[tokio::test]
async fn one_of_two_racing_writers_wins() {
    let platform = PlatformStandIn::start_local().await.unwrap();
    let client = client(platform.address());
    let mine = value("mine");
    let other = value("other");
    let holds_other = |current: Option<&StoredValue>| match current {
        Some(stored) if stored.value.as_str() == "other" => ChangeSeen::Yes,
        _ => ChangeSeen::No,
    };
    let first = swap_with_retry(&client, &KEY, None, &mine, backoff(), holds_mine);
    let second = swap_with_retry(&client, &KEY, None, &other, backoff(), holds_other);
    let outcomes: [SwapOutcome; 2] = tokio::join!(first, second).into();
    let done = outcomes.iter().filter(|o| **o == SwapOutcome::Done);
    assert_eq!(done.count(), 1);
    let conflicts = outcomes
        .iter()
        .filter(|o| matches!(o, SwapOutcome::Conflict(Some(_))));
    assert_eq!(conflicts.count(), 1);
}

#[tokio::test]
async fn unreachable_service_changes_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = client(address);
    let mine = value("mine");
    let outcome = swap_with_retry(&client, &KEY, None, &mine, backoff(), holds_mine).await;
    assert!(matches!(
        outcome,
        SwapOutcome::NothingChanged(PlatformError::NotSent { .. })
    ));
}

#[tokio::test]
async fn outage_leaves_the_outcome_unknown() {
    let platform = PlatformStandIn::start_local().await.unwrap();
    platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let client = client(platform.address());
    let mine = value("mine");
    let outcome = swap_with_retry(&client, &KEY, None, &mine, backoff(), holds_mine).await;
    assert_eq!(outcome, SwapOutcome::Unknown);
}

#[tokio::test]
async fn call_to_a_slow_service_times_out() {
    let platform = PlatformStandIn::start_local().await.unwrap();
    platform.set_faults(Faults {
        delay_ms: 600_000,
        ..Faults::default()
    });
    let settings = PlatformSettings {
        call_timeout_ms: 20,
        ..PlatformSettings::new(platform.address())
    };
    let client = PlatformClient::new(&settings);
    let reply = client.get(&KEY).await;
    assert!(matches!(reply, Err(PlatformError::NoReply { .. })));
}

#[tokio::test]
async fn cut_affects_only_its_zone() {
    let platform = PlatformStandIn::start_local().await.unwrap();
    let zones = ["bello", "itagui"].map(|zone| zone.parse::<ZoneId>().unwrap());
    platform.set_faults(Faults {
        cut_zones: [zones[0].clone()].into(),
        ..Faults::default()
    });
    let [cut, open] = zones.map(|zone| {
        let settings = PlatformSettings {
            zone: Some(zone),
            ..PlatformSettings::new(platform.address())
        };
        PlatformClient::new(&settings)
    });
    assert!(matches!(
        cut.get(&KEY).await,
        Err(PlatformError::NoReply { .. })
    ));
    assert_eq!(open.get(&KEY).await, Ok(None));
}

#[tokio::test]
async fn busy_service_refuses_and_does_nothing() {
    let platform = PlatformStandIn::start_local().await.unwrap();
    platform.set_faults(Faults {
        calls_per_s: Some(0),
        ..Faults::default()
    });
    let client = client(platform.address());
    let swap = client.compare_and_swap(&KEY, None, &value("a"), None).await;
    assert_eq!(swap, Err(PlatformError::Busy));
    platform.set_faults(Faults::default());
    assert_eq!(client.get(&KEY).await, Ok(None));
}
