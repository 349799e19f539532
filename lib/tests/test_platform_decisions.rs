//! Tests of the decisions of the platform's client, and of the state of the stand-in.

use std::time::Duration;

use balsamfold::process::platform::Backoff;
use balsamfold::process::platform::CallRateLimiter;
use balsamfold::process::platform::ChangeSeen;
use balsamfold::process::platform::PlatformCall;
use balsamfold::process::platform::PlatformError;
use balsamfold::process::platform::PlatformKey;
use balsamfold::process::platform::PlatformReply;
use balsamfold::process::platform::PlatformValue;
use balsamfold::process::platform::Revision;
use balsamfold::process::platform::Step;
use balsamfold::process::platform::StoredValue;
use balsamfold::process::platform::SwapReply;
use balsamfold::process::platform::SwapRetry;
use balsamfold::process::platform::VALUE_MAX_BYTES;
use balsamfold::values::MonotonicTime;
use balsamfold::values::ZoneId;
use testutils::platform::PlatformStore;

const KEY: PlatformKey = PlatformKey::Configuration;

fn value(text: &str) -> PlatformValue {
    PlatformValue::try_from(text.to_owned()).unwrap()
}

/// A value shows the change if it starts with `mine`.
fn holds_mine(current: Option<&StoredValue>) -> ChangeSeen {
    match current {
        Some(stored) if stored.value.as_str().starts_with("mine") => ChangeSeen::Yes,
        _ => ChangeSeen::No,
    }
}

fn no_reply() -> PlatformError {
    let detail = "test".to_owned();
    PlatformError::NoReply { detail }
}

fn not_sent() -> PlatformError {
    let detail = "test".to_owned();
    PlatformError::NotSent { detail }
}

fn stored(revision: u64, text: &str) -> StoredValue {
    StoredValue {
        revision: Revision(revision),
        value: value(text),
    }
}

#[test]
fn lost_reply_is_resolved_by_reading_back() {
    let mut retry = SwapRetry::new(Some(Revision(1)), 5);
    let step = retry.after_swap(Err(no_reply()), holds_mine);
    assert_eq!(step, Step::Read);
    let step = retry.after_read(Ok(Some(stored(2, "mine"))), holds_mine);
    assert_eq!(step, Step::Done);
}

#[test]
fn unchanged_key_after_a_lost_reply_is_written_again() {
    let mut retry = SwapRetry::new(Some(Revision(1)), 5);
    retry.after_swap(Err(no_reply()), holds_mine);
    let step = retry.after_read(Ok(Some(stored(1, "old"))), holds_mine);
    assert_eq!(step, Step::Swap);
    let late = SwapReply::Conflict(Some(stored(2, "mine")));
    assert_eq!(retry.after_swap(Ok(late), holds_mine), Step::Done);
}

#[test]
fn other_change_is_a_conflict() {
    let mut retry = SwapRetry::new(Some(Revision(1)), 5);
    retry.after_swap(Err(no_reply()), holds_mine);
    let other = Some(stored(2, "other"));
    let step = retry.after_read(Ok(other.clone()), holds_mine);
    assert_eq!(step, Step::Conflict(other));
}

#[test]
fn outcome_is_unknown_only_if_a_reply_was_lost() {
    let mut unsent = SwapRetry::new(None, 2);
    assert_eq!(unsent.after_swap(Err(not_sent()), holds_mine), Step::Swap);
    let step = unsent.after_swap(Err(not_sent()), holds_mine);
    assert_eq!(step, Step::NothingChanged(not_sent()));
    let mut lost = SwapRetry::new(None, 2);
    assert_eq!(lost.after_swap(Err(no_reply()), holds_mine), Step::Read);
    assert_eq!(lost.after_read(Err(not_sent()), holds_mine), Step::Unknown);
}

#[test]
fn inconclusive_value_after_a_lost_reply_leaves_the_outcome_unknown() {
    let inconclusive = |_: Option<&StoredValue>| ChangeSeen::Unknown;
    let mut retry = SwapRetry::new(Some(Revision(1)), 5);
    retry.after_swap(Err(no_reply()), inconclusive);
    let step = retry.after_read(Ok(Some(stored(99, "later"))), inconclusive);
    assert_eq!(step, Step::Unknown);
}

#[test]
fn rate_limiter_spaces_calls() {
    let mut limiter = CallRateLimiter::new(10);
    let mut now = MonotonicTime(5_000_000);
    let mut made_at = Vec::new();
    for _ in 0..50 {
        now = now.after(limiter.reserve(now));
        made_at.push(now);
    }
    let most_in_a_second = made_at.iter().map(|start| {
        let in_window = made_at
            .iter()
            .filter(|at| **at >= *start && at.since(*start) < Duration::from_secs(1));
        in_window.count()
    });
    assert_eq!(most_in_a_second.max(), Some(10));
}

#[test]
fn delays_grow_to_their_bound_and_depend_on_the_seed() {
    let delays = |seed| {
        let first = Duration::from_millis(10);
        let mut backoff = Backoff::new(first, Duration::from_millis(100), seed);
        [(); 40].map(|()| backoff.next_delay())
    };
    assert_eq!(delays(1), delays(1));
    assert_ne!(delays(1), delays(2));
    assert!(delays(1)[0] <= Duration::from_millis(10));
    let last = delays(1)[39];
    assert!((50..=100).contains(&last.as_millis()));
}

#[test]
fn values_are_bounded() {
    assert!(PlatformValue::try_from("x".repeat(VALUE_MAX_BYTES)).is_ok());
    assert!(PlatformValue::try_from("x".repeat(VALUE_MAX_BYTES + 1)).is_err());
}

#[test]
fn keys_round_trip_as_text() {
    let zone: ZoneId = "bello".parse().unwrap();
    let keys = [
        PlatformKey::Configuration,
        PlatformKey::Seeds(zone.clone()),
        PlatformKey::RateHolder(zone.clone()),
        PlatformKey::RecordHome(zone),
    ];
    for key in keys {
        assert_eq!(key.to_string().parse(), Ok(key));
    }
}

#[test]
fn values_are_removed_when_their_lease_ends() {
    let mut store = PlatformStore::default();
    let grant = PlatformCall::GrantLease { ttl_ms: 1_000 };
    let PlatformReply::Lease(lease) = store.apply(grant, MonotonicTime(0)) else {
        panic!("no lease");
    };
    let write = PlatformCall::CompareAndSwap {
        key: KEY,
        expected: None,
        value: value("held"),
        lease: Some(lease),
    };
    store.apply(write.clone(), MonotonicTime(1));
    let renew = PlatformCall::RenewLease { lease };
    store.apply(renew.clone(), MonotonicTime(900_000));
    let get = PlatformCall::Get { key: KEY };
    let held = store.apply(get.clone(), MonotonicTime(1_899_999));
    assert!(matches!(held, PlatformReply::Value(Some(_))));
    let ended = store.apply(get, MonotonicTime(1_900_000));
    assert_eq!(ended, PlatformReply::Value(None));
    let late = store.apply(renew, MonotonicTime(1_900_001));
    assert_eq!(late, PlatformReply::LeaseEnded);
    let write = store.apply(write, MonotonicTime(1_900_002));
    assert_eq!(write, PlatformReply::LeaseEnded);
}
