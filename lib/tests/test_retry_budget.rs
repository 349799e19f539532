//! The retries of all nodes of a fleet together.

use std::time::Duration;

use balsamfold::request::FleetRetryBudget;
use balsamfold::request::RetryBound;
use balsamfold::values::MonotonicTime;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testutils::relay::at_ms;

const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 100;
const STEPS: u64 = 600;

fn bound(slack: u64) -> RetryBound {
    RetryBound {
        ratio: 0.2,
        slack,
        window: Duration::from_millis(WINDOW_MS),
    }
}

/// The nodes that send requests to one service, and what they sent in each step.
struct Fleet {
    bound: RetryBound,
    budgets: Vec<FleetRetryBudget>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    fn new(nodes: usize, slack: u64) -> Self {
        Self {
            bound: bound(slack),
            budgets: vec![FleetRetryBudget::default(); nodes],
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Sends `requests` from each node, and retries each of them as often as the budget allows.
    fn step(&mut self, requests: u64, now: MonotonicTime) {
        let nodes = self.budgets.len();
        let mut retries = 0;
        for (rank, budget) in self.budgets.iter_mut().enumerate() {
            for _ in 0..requests {
                budget.on_first_attempt(&self.bound, now);
                let part = self.bound.slack_part(rank, nodes);
                retries += (0..2)
                    .filter(|_| budget.try_retry(&self.bound, part, now))
                    .count() as u64;
            }
        }
        self.requests.push(requests * nodes as u64);
        self.retries.push(retries);
    }

    fn restart_all(&mut self) {
        self.budgets.fill(FleetRetryBudget::default());
    }

    /// Returns by how many retries the bound is exceeded in the worst window. The requests are those
    /// of that window, of the one before it or of the one half a window before it.
    fn excess(&self) -> f64 {
        let window = (WINDOW_MS / STEP_MS) as usize;
        let sum = |counts: &[u64], end: usize| -> u64 {
            counts[end.saturating_sub(window)..end].iter().sum()
        };
        let excesses = (1..=self.retries.len()).map(|end| {
            let earlier = [
                end,
                end.saturating_sub(window / 2),
                end.saturating_sub(window),
            ];
            let requests = earlier.map(|end| sum(&self.requests, end));
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = self.bound.ratio * requests as f64 + self.bound.slack as f64;
            sum(&self.retries, end) as f64 - allowed
        });
        excesses.fold(f64::MIN, f64::max)
    }
}

// Guards against retries that each node may make and that add up beyond the bound of a service (BUDGET).
#[test]
fn retries_of_a_large_fleet_that_was_idle_stay_within_the_bound() {
    let mut fleet = Fleet::new(89, 119);
    for step in 0..STEPS {
        let requests = u64::from(step == 300) * 2;
        fleet.step(requests, at_ms(step * STEP_MS));
    }
    assert!(fleet.excess() <= 0.0, "{} retries too many", fleet.excess());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn retries_of_a_fleet_stay_within_the_bound(
        seed: u64,
        nodes in 1usize..400,
        slack in 0u64..200,
        quiet in 0.0..1.0,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(nodes, slack);
        let restart_at = rng.random_range(0..STEPS);
        for step in 0..STEPS {
            if step == restart_at {
                fleet.restart_all();
            }
            let requests = match rng.random_bool(quiet) {
                true => 0,
                false => rng.random_range(0..4),
            };
            fleet.step(requests, at_ms(step * STEP_MS));
        }
        prop_assert!(fleet.excess() <= 0.0, "{} retries too many", fleet.excess());
    }

    #[test]
    fn parts_of_the_slack_add_up_to_half_of_it(nodes in 1usize..1_000, slack in 0u64..2_000) {
        let parts = (0..nodes).map(|rank| bound(slack).slack_part(rank, nodes));
        prop_assert_eq!(parts.sum::<u64>(), slack / 2);
    }
}

#[test]
fn earned_retries_end_after_half_a_window() {
    let bound = bound(0);
    let mut budget = FleetRetryBudget::default();
    for _ in 0..13 {
        budget.on_first_attempt(&bound, at_ms(0));
    }
    let mut late = budget.clone();
    assert!(!late.try_retry(&bound, 0, at_ms(WINDOW_MS / 2)));
    assert!(budget.try_retry(&bound, 0, at_ms(WINDOW_MS / 2 - 1)));
    assert!(!budget.try_retry(&bound, 0, at_ms(WINDOW_MS / 2 - 1)));
}

#[test]
fn slack_is_there_again_after_a_window() {
    let bound = bound(4);
    let mut budget = FleetRetryBudget::default();
    let try_at = |budget: &mut FleetRetryBudget, ms| budget.try_retry(&bound, 2, at_ms(ms));
    assert!(try_at(&mut budget, 0) && try_at(&mut budget, 0));
    assert!(!try_at(&mut budget, WINDOW_MS));
    assert!(try_at(&mut budget, WINDOW_MS + 1));
}
