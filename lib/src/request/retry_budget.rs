//! A node's part of the retries that a service may get from the whole fleet.

use std::collections::VecDeque;
use std::time::Duration;

use crate::values::MonotonicTime;

plain_data! {
    /// The bound on the retries of one service: in any window, at most `ratio` for each request and
    /// `slack` beyond that, summed over all nodes.
    pub struct RetryBound {
        /// Retries for each request, 0 to 1.
        pub ratio: f64,
        /// Retries beyond the ratio.
        pub slack: u64,
        /// The length of the windows.
        pub window: Duration,
    }
}

impl RetryBound {
    /// Fraction of the ratio that nodes use. A retry is made up to half a window after the request
    /// that earned it, so a window may have the retries of one and a half; the calls of a repeated
    /// run also count as retries.
    const USED_RATIO: f64 = 0.4;
    /// Divisor of the slack for the part that nodes use. The rest covers a restart of all processes,
    /// after which each has its part again.
    const USED_SLACK_DIVISOR: u64 = 2;

    /// Returns the part of the slack of the node with this rank among `nodes` nodes, in retries.
    ///
    /// The parts are whole, and add up to no more than half of the slack.
    pub fn slack_part(&self, rank: usize, nodes: usize) -> u64 {
        let used = self.slack / Self::USED_SLACK_DIVISOR;
        let nodes = nodes.max(1) as u64;
        used / nodes + u64::from((rank as u64) < used % nodes)
    }
}

/// A node's part of the retries that a service may get from the whole fleet.
///
/// Each first attempt earns a fraction of a retry, which ends after half a window: what idle nodes
/// keep would otherwise add up with the fleet. Beyond that, a node may make its part of the slack
/// once in a window.
#[derive(Clone, Debug, Default)]
pub struct FleetRetryBudget {
    /// What was earned in the latest periods, the newest last, in thousandths of a retry.
    earned_milli: VecDeque<(u64, u64)>,
    /// When retries of the slack were made within the latest window.
    slack_used_at: VecDeque<MonotonicTime>,
}

impl FleetRetryBudget {
    const MILLI_PER_RETRY: u64 = 1_000;
    /// Periods in which the earnings of half a window are counted.
    const PERIODS: u64 = 4;

    /// Records a first attempt.
    pub fn on_first_attempt(&mut self, bound: &RetryBound, now: MonotonicTime) {
        let period = self.expire(bound, now);
        let earned = (bound.ratio * RetryBound::USED_RATIO * Self::MILLI_PER_RETRY as f64) as u64;
        match self.earned_milli.back_mut() {
            Some((latest, milli)) if *latest == period => *milli += earned,
            _ => self.earned_milli.push_back((period, earned)),
        }
    }

    /// Records a retry that is made whether or not the budget allows it.
    pub fn record_retry(&mut self, bound: &RetryBound, now: MonotonicTime) {
        self.expire(bound, now);
        self.spend(Self::MILLI_PER_RETRY);
    }

    /// Takes one retry, and returns whether there was one. `slack_part` is the node's part of the
    /// slack.
    pub fn try_retry(&mut self, bound: &RetryBound, slack_part: u64, now: MonotonicTime) -> bool {
        self.expire(bound, now);
        let earned: u64 = self.earned_milli.iter().map(|(_, milli)| milli).sum();
        match () {
            () if earned >= Self::MILLI_PER_RETRY => self.spend(Self::MILLI_PER_RETRY),
            () if (self.slack_used_at.len() as u64) < slack_part => {
                self.slack_used_at.push_back(now);
            }
            () => return false,
        }
        true
    }

    /// Removes what has ended. Returns the current period.
    fn expire(&mut self, bound: &RetryBound, now: MonotonicTime) -> u64 {
        let period_us = (bound.window.as_micros() as u64 / 2 / Self::PERIODS).max(1);
        let period = now.0 / period_us;
        while self
            .earned_milli
            .front()
            .is_some_and(|(earned_in, _)| earned_in + Self::PERIODS <= period)
        {
            self.earned_milli.pop_front();
        }
        while self
            .slack_used_at
            .front()
            .is_some_and(|used_at| now.since(*used_at) > bound.window)
        {
            self.slack_used_at.pop_front();
        }
        period
    }

    /// Spends at most `milli`, the oldest first.
    fn spend(&mut self, mut milli: u64) {
        for (_, earned) in &mut self.earned_milli {
            let spent = milli.min(*earned);
            *earned -= spent;
            milli -= spent;
        }
    }
}
