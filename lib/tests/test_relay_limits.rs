//! Concurrency limits and retry limits.

use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::request::RetryRatio;
use balsamfold::values::SlotCount;
use testutils::relay::at_ms;

#[test]
fn fixed_limit_stays_at_the_announced_slots() {
    let mut limit = AdaptiveLimit::fixed(SlotCount(10), at_ms(0));
    for step in 0..200 {
        let refused = Completion {
            outcome: CompletionOutcome::ServerRefused,
            held: Duration::from_millis(50),
            onward: Duration::ZERO,
        };
        limit.record_end(&refused, at_ms(step * 20));
    }
    assert_eq!(limit.slots(), 10);
    limit.set_announced_slots(SlotCount(20));
    assert_eq!(limit.slots(), 20);
}

#[test]
fn recorded_retries_exhaust_the_retry_budget() {
    let mut ratio = RetryRatio::new(100, 2);
    ratio.record_retry();
    ratio.record_retry();
    ratio.record_retry();
    assert!(!ratio.try_retry());
}
