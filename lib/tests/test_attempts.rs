//! Tests of attempt budgets, retries, deadlines and call depth of one request.

use std::time::Duration;

use balsamfold::request::AttemptBudget;
use balsamfold::request::AttemptCount;
use balsamfold::request::Backoff;
use balsamfold::request::CallEnd;
use balsamfold::request::CallHash;
use balsamfold::request::ChainDepth;
use balsamfold::request::Deadline;
use balsamfold::request::FailedAttempt;
use balsamfold::request::OnwardCalls;
use balsamfold::request::RefusalReason;
use balsamfold::request::RemainingUs;
use balsamfold::request::RetryRatio;
use balsamfold::request::Verdict;
use balsamfold::values::MonotonicTime;
use balsamfold::version::Repeatability;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A call with the onward calls that its handler makes.
struct Call {
    children: Vec<Call>,
}

impl Call {
    fn random(rng: &mut StdRng, levels: u32) -> Self {
        let count = match levels {
            0 => 0,
            _ => rng.random_range(0..=3),
        };
        let children = (0..count).map(|_| Self::random(rng, levels - 1)).collect();
        Self { children }
    }

    fn size(&self) -> u32 {
        1 + self.children.iter().map(Self::size).sum::<u32>()
    }
}

/// How a parent passes its extra attempts to child calls.
#[derive(Clone, Copy)]
enum BudgetPassing {
    Lent,
    Copied,
}

struct Simulation {
    rng: StdRng,
    passing: BudgetPassing,
    executions: u32,
    extra_attempts: u32,
}

enum ChildResponse {
    Arrived {
        succeeded: bool,
        unspent: AttemptCount,
    },
    Lost,
}

impl Simulation {
    const LOSS: f64 = 0.15;
    const FAILURE: f64 = 0.3;

    fn new(seed: u64, passing: BudgetPassing) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            passing,
            executions: 0,
            extra_attempts: 0,
        }
    }

    fn execute(&mut self, call: &Call, budget: &mut AttemptBudget) -> bool {
        self.executions += 1;
        for child in &call.children {
            if !self.call_with_retries(child, budget) {
                return false;
            }
        }
        !self.rng.random_bool(Self::FAILURE)
    }

    fn call_with_retries(&mut self, child: &Call, budget: &mut AttemptBudget) -> bool {
        loop {
            if self.call_once(child, budget) {
                return true;
            }
            if budget.spend().is_err() {
                return false;
            }
            self.extra_attempts += 1;
        }
    }

    fn call_once(&mut self, child: &Call, budget: &mut AttemptBudget) -> bool {
        match self.passing {
            BudgetPassing::Lent => {
                let loan = budget.lend();
                match self.serve(child, loan.lent()) {
                    ChildResponse::Arrived { succeeded, unspent } => {
                        budget.take_back(loan, unspent);
                        succeeded
                    }
                    ChildResponse::Lost => false,
                }
            }
            BudgetPassing::Copied => {
                let copy = budget.remaining();
                matches!(
                    self.serve(child, copy),
                    ChildResponse::Arrived {
                        succeeded: true,
                        ..
                    }
                )
            }
        }
    }

    fn serve(&mut self, child: &Call, extra: AttemptCount) -> ChildResponse {
        let mut budget = AttemptBudget::new(extra);
        let succeeded = self.execute(child, &mut budget);
        match self.rng.random_bool(Self::LOSS) {
            true => ChildResponse::Lost,
            false => ChildResponse::Arrived {
                succeeded,
                unspent: budget.remaining(),
            },
        }
    }
}

fn run_tree(seed: u64, extra: u32, passing: BudgetPassing) -> (Simulation, u32) {
    let mut run = Simulation::new(seed, passing);
    let root = Call::random(&mut run.rng, 5);
    let mut budget = AttemptBudget::new(AttemptCount(extra));
    let entry = Call {
        children: vec![root],
    };
    run.call_with_retries(&entry.children[0], &mut budget);
    let size = entry.children[0].size();
    (run, size)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn a_call_tree_never_makes_more_extra_attempts_than_its_root_has(
        seed: u64,
        extra in 0u32..8,
    ) {
        let (run, size) = run_tree(seed, extra, BudgetPassing::Lent);
        prop_assert!(run.extra_attempts <= extra);
        prop_assert!(run.executions <= size * (1 + extra));
    }
}

#[test]
fn copied_attempts_would_exceed_the_number_of_the_root() {
    let exceeded = (0..100)
        .map(|seed| run_tree(seed, 3, BudgetPassing::Copied).0)
        .any(|run| run.extra_attempts > 3);
    assert!(exceeded);
}

#[test]
fn the_last_extra_attempt_reaches_the_deepest_call() {
    let mut budget = AttemptBudget::new(AttemptCount(3));
    for _ in 0..14 {
        budget = AttemptBudget::new(budget.lend().lent());
    }
    assert_eq!(budget.remaining(), AttemptCount(1));
}

#[test]
fn a_child_cannot_return_more_than_it_was_lent() {
    let mut budget = AttemptBudget::new(AttemptCount(4));
    let loan = budget.lend();
    budget.take_back(loan, AttemptCount(100));
    assert_eq!(budget.remaining(), AttemptCount(4));
}

#[test]
fn retries_by_the_backend_server_itself_are_extra_attempts() {
    let mut budget = AttemptBudget::new(AttemptCount(1));
    let mut calls = OnwardCalls::default();
    let call = CallHash(7);

    assert_eq!(calls.begin(call, &mut budget), Ok(()));
    calls.end(call, CallEnd::Answered);
    assert_eq!(calls.begin(call, &mut budget), Ok(()));
    calls.end(call, CallEnd::Failed);
    assert_eq!(budget.remaining(), AttemptCount(1));

    assert_eq!(calls.begin(call, &mut budget), Ok(()));
    calls.end(call, CallEnd::Failed);
    assert_eq!(
        calls.begin(call, &mut budget),
        Err(RefusalReason::AttemptsExhausted)
    );
}

#[test]
fn onward_calls_beyond_the_distinct_ones_are_extra_attempts() {
    let mut budget = AttemptBudget::new(AttemptCount(0));
    let mut calls = OnwardCalls::default();
    for hash in 0..OnwardCalls::DISTINCT_MAX as u64 {
        assert_eq!(calls.begin(CallHash(hash), &mut budget), Ok(()));
    }
    assert!(calls.begin(CallHash(u64::MAX), &mut budget).is_err());
}

#[test]
fn retries_are_bounded_by_a_ratio_of_the_first_attempts() {
    let mut ratio = RetryRatio::new(100, 10);
    let mut retries = 0;
    for _ in 0..10_000 {
        ratio.on_first_attempt();
        retries += u32::from(ratio.try_retry());
    }
    assert_eq!(retries, 1009);
}

#[test]
fn backoff_never_exceeds_its_bound() {
    let backoff = Backoff::default();
    let mut rng = StdRng::seed_from_u64(1);
    for earlier_retries in 0..40 {
        let delay = backoff.delay(earlier_retries, &mut rng);
        let bound = backoff.first.saturating_mul(1 << earlier_retries.min(16));
        assert!(delay <= bound.min(backoff.max));
    }
}

fn retry_after(verdict: Verdict, repeatability: Repeatability) -> Result<(), RefusalReason> {
    let failed = FailedAttempt {
        verdict,
        repeatability,
        earlier_retries: 0,
        deadline: Deadline::starting(MonotonicTime(0), RemainingUs(1_000_000)),
    };
    failed
        .retry(
            &mut AttemptBudget::new(AttemptCount(1)),
            &mut RetryRatio::default(),
            &Backoff::default(),
            MonotonicTime(0),
            &mut StdRng::seed_from_u64(1),
        )
        .map(|_| ())
}

#[test]
fn only_requests_that_did_not_run_are_retried_unless_idempotent() {
    use Repeatability::AtMostOnce;
    use Repeatability::Idempotent;
    let unknown = Err(RefusalReason::OutcomeUnknown);
    assert_eq!(retry_after(Verdict::NotRun, AtMostOnce), Ok(()));
    assert_eq!(retry_after(Verdict::MayHaveRun, AtMostOnce), unknown);
    assert_eq!(retry_after(Verdict::Ran, AtMostOnce), unknown);
    assert_eq!(retry_after(Verdict::MayHaveRun, Idempotent), Ok(()));
}

#[test]
fn a_refused_retry_spends_no_attempt() {
    let failed = FailedAttempt {
        verdict: Verdict::NotRun,
        repeatability: Repeatability::Idempotent,
        earlier_retries: 0,
        deadline: Deadline::starting(MonotonicTime(0), RemainingUs(1_000_000)),
    };
    let mut rng = StdRng::seed_from_u64(1);
    let mut budget = AttemptBudget::new(AttemptCount(1));
    let mut empty = RetryRatio::new(0, 0);
    let refused = failed.retry(
        &mut budget,
        &mut empty,
        &Backoff::default(),
        MonotonicTime(0),
        &mut rng,
    );
    assert_eq!(refused, Err(RefusalReason::Overloaded));
    assert_eq!(budget.remaining(), AttemptCount(1));
}

#[test]
fn each_hop_reduces_the_remaining_time() {
    let deadline = Deadline::starting(MonotonicTime(0), RemainingUs(100_000));
    let now = MonotonicTime(20_000);
    let hop_us = Deadline::HOP_TIME.as_micros() as u64;
    assert_eq!(deadline.remaining(now), Duration::from_millis(80));
    assert_eq!(deadline.for_next_hop(now), Ok(RemainingUs(80_000 - hop_us)));
    assert_eq!(
        deadline.for_next_hop(MonotonicTime(96_500)),
        Err(RefusalReason::DeadlineExceeded)
    );
}

#[test]
fn chains_of_sixteen_services_are_served_and_deeper_ones_refused() {
    let depths: Vec<_> =
        std::iter::successors(Some(ChainDepth::default()), |depth| depth.onward().ok()).collect();
    assert_eq!(depths.len(), 16);
    assert_eq!(ChainDepth::MAX.onward(), Err(RefusalReason::TooDeep));
}
