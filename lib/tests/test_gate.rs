//! The gate as used by concurrent tasks.

use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::process::gate::Gate;
use balsamfold::process::gate::GateState;
use balsamfold::process::gate::Permit;
use balsamfold::request::RefusalReason;
use balsamfold::request::Verdict;
use balsamfold::values::Clock;
use balsamfold::values::Importance;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use balsamfold::values::SlotCount;
use futures::FutureExt;
use futures::future::join_all;

fn gate(slots: u32) -> Gate {
    let clock = Clock::start();
    let now = clock.now();
    let limit = AdaptiveLimit::warm(SlotCount(slots), now);
    Gate::with_state(GateState::new(limit, now), clock)
}

fn request(importance: u8) -> AdmissionRequest {
    AdmissionRequest {
        importance: Importance(importance),
        organisation: None,
        rate: RatePerSecond(1),
        root: RequestId(1),
        remaining: Duration::from_secs(60),
    }
}

fn acquire_now(gate: &Gate) -> Permit {
    let acquired = gate.acquire(request(1)).now_or_never();
    acquired
        .expect("decided without waiting")
        .expect("a slot is free")
}

#[tokio::test]
async fn dropped_permit_passes_its_slot_to_the_next_request() {
    let gate = gate(1);
    let permit = acquire_now(&gate);
    let mut next = Box::pin(gate.acquire(request(1)));
    assert!((&mut next).now_or_never().is_none());
    drop(permit);
    let permit = next.await.expect("the slot is free");
    assert_eq!((gate.in_flight(), gate.waiting()), (1, 0));
    permit.finish(CompletionOutcome::Answered, Duration::ZERO);
    assert_eq!((gate.in_flight(), gate.waiting()), (0, 0));
}

#[tokio::test]
async fn dropped_acquire_leaves_the_queue() {
    let gate = gate(1);
    let permit = acquire_now(&gate);
    let mut waiting = Box::pin(gate.acquire(request(1)));
    assert!((&mut waiting).now_or_never().is_none());
    assert_eq!(gate.waiting(), 1);
    drop(waiting);
    assert_eq!(gate.waiting(), 0);
    drop(permit);
    assert_eq!(gate.in_flight(), 0);
}

#[tokio::test]
async fn acquire_dropped_after_its_slot_was_granted_releases_the_slot() {
    let gate = gate(1);
    let permit = acquire_now(&gate);
    let mut waiting = Box::pin(gate.acquire(request(1)));
    assert!((&mut waiting).now_or_never().is_none());
    drop(permit);
    assert_eq!((gate.in_flight(), gate.waiting()), (1, 0));
    drop(waiting);
    assert_eq!((gate.in_flight(), gate.waiting()), (0, 0));
}

#[tokio::test]
async fn displaced_request_is_refused_at_once() {
    let gate = gate(1);
    let _permit = acquire_now(&gate);
    let mut low: Vec<_> = (0..4).map(|_| Box::pin(gate.acquire(request(1)))).collect();
    for waiting in &mut low {
        assert!(waiting.as_mut().now_or_never().is_none());
    }
    let mut high = Box::pin(gate.acquire(request(9)));
    assert!((&mut high).now_or_never().is_none());
    let answered: Vec<_> = low
        .iter_mut()
        .filter_map(|waiting| waiting.as_mut().now_or_never())
        .filter_map(Result::err)
        .collect();
    assert_eq!(answered.len(), 1);
    assert_eq!(answered[0].reason, RefusalReason::Overloaded);
    assert_eq!(answered[0].verdict, Verdict::NotRun);
}

#[tokio::test]
async fn stop_refuses_all_waiting_requests() {
    let gate = gate(1);
    let _permit = acquire_now(&gate);
    let mut waiting = Box::pin(gate.acquire(request(1)));
    assert!((&mut waiting).now_or_never().is_none());
    gate.drop_waiting(RefusalReason::Draining);
    let refusal = waiting.await.expect_err("a refusal");
    assert_eq!(refusal.reason, RefusalReason::Draining);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slot_count_is_preserved_over_many_tasks() {
    let gate = gate(8);
    let tasks = (0..400_u32).map(|index| {
        let gate = gate.clone();
        tokio::spawn(async move {
            let acquired = gate.acquire(request((index % 3) as u8)).await;
            assert!(gate.in_flight() <= 8);
            let Ok(permit) = acquired else { return 0 };
            tokio::task::yield_now().await;
            match index % 2 {
                0 => drop(permit),
                _ => permit.finish(CompletionOutcome::Answered, Duration::ZERO),
            }
            1
        })
    });
    let served: u32 = join_all(tasks)
        .await
        .into_iter()
        .map(|served| served.expect("task completes"))
        .sum();
    assert!(served >= 8);
    assert_eq!((gate.in_flight(), gate.waiting()), (0, 0));
}
