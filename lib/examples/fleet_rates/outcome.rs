//! Result of a method under the load.

use testutils::rate_fleet::Bound;

use super::load::ENDS_US;
use super::load::Load;
use super::load::SECOND_US;
use super::load::STARTS_US;

/// Result of a method under the load.
pub struct Outcome {
    overshoot_tokens: f64,
    /// Requests that one bucket for the whole fleet would have admitted and this method did not, in
    /// percent of those that one bucket admits.
    missing_percent: f64,
    worst_missing_percent: f64,
    messages: Traffic,
    bytes: Traffic,
}

/// Messages or bytes per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub mean_per_node: f64,
    pub max_per_node: f64,
}

impl Traffic {
    /// Divides what each node sent or was sent since the start of the schedule by the time from
    /// `from_us` to the end of the load.
    pub fn of_nodes(counts: &[u64], from_us: u64) -> Self {
        let seconds = (ENDS_US - from_us) as f64 / SECOND_US as f64;
        let sum: u64 = counts.iter().sum();
        let max = counts.iter().max().copied().unwrap_or(0);
        Self {
            mean_per_node: sum as f64 / counts.len() as f64 / seconds,
            max_per_node: max as f64 / seconds,
        }
    }
}

impl Outcome {
    /// Compares the times at which requests of each organisation were admitted with the bound and
    /// with one bucket for the whole fleet.
    pub fn new(load: &Load, admitted_us: &[Vec<u64>], messages: Traffic, bytes: Traffic) -> Self {
        let mut outcome = Self {
            overshoot_tokens: 0.0,
            missing_percent: 0.0,
            worst_missing_percent: 0.0,
            messages,
            bytes,
        };
        let mut ideal_total = 0.0;
        let mut missing_total = 0.0;
        for (index, times) in admitted_us.iter().enumerate() {
            let limits = &load.organisations[index];
            let rate_per_s = u64::from(limits.rate_per_s.0);
            let mut bound = Bound::new(rate_per_s, limits.burst_tokens.0, 0);
            times.iter().for_each(|at_us| bound.admit(*at_us));
            outcome.overshoot_tokens += bound.overshoot_tokens;
            let ideal = ideal_admitted(load, index) as f64;
            let missing = (ideal - times.len() as f64).max(0.0);
            ideal_total += ideal;
            missing_total += missing;
            let missing_percent = 100.0 * missing / ideal;
            outcome.worst_missing_percent = outcome.worst_missing_percent.max(missing_percent);
        }
        outcome.missing_percent = 100.0 * missing_total / ideal_total;
        outcome
    }

    pub fn print_header() {
        println!(
            "{:26} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10}",
            "method", "overshoot", "missing", "worst", "msg/s", "max", "byte/s", "max"
        );
        println!(
            "{:26} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10}",
            "", "tokens", "%", "org. %", "per node", "per node", "per node", "per node"
        );
    }

    pub fn print(&self, method: &str) {
        println!(
            "{method:26} {:>10.1} {:>10.2} {:>10.2} {:>10.1} {:>10.0} {:>10.0} {:>10.0}",
            self.overshoot_tokens,
            self.missing_percent,
            self.worst_missing_percent,
            self.messages.mean_per_node,
            self.messages.max_per_node,
            self.bytes.mean_per_node,
            self.bytes.max_per_node,
        );
    }
}

/// Returns the number of requests that one bucket for the whole fleet admits.
fn ideal_admitted(load: &Load, organisation: usize) -> usize {
    let limits = &load.organisations[organisation];
    let (rate_per_s, burst) = (f64::from(limits.rate_per_s.0), limits.burst_tokens.0 as f64);
    let mut bucket = LocalBucket::full(rate_per_s, burst, STARTS_US);
    let arrivals = load.arrivals.iter();
    let of_organisation = arrivals.filter(|arrival| arrival.organisation == organisation);
    of_organisation
        .filter(|arrival| bucket.admit(arrival.at_us))
        .count()
}

/// A token bucket that is used without messages between nodes.
#[derive(Clone, Debug)]
pub struct LocalBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated_us: u64,
}

impl LocalBucket {
    pub fn full(rate_per_s: f64, burst: f64, now_us: u64) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            updated_us: now_us,
        }
    }

    pub fn admit(&mut self, at_us: u64) -> bool {
        self.advance(at_us);
        let admitted = self.level >= 1.0;
        self.level -= f64::from(u8::from(admitted));
        admitted
    }

    /// Deducts a token that another node spent. The level may become negative.
    pub fn take(&mut self, at_us: u64) {
        self.advance(at_us);
        self.level -= 1.0;
    }

    fn advance(&mut self, at_us: u64) {
        let elapsed_s = at_us.saturating_sub(self.updated_us) as f64 / SECOND_US as f64;
        self.level = (self.level + self.rate_per_s * elapsed_s).min(self.burst);
        self.updated_us = self.updated_us.max(at_us);
    }
}
