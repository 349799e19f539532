//! The fixed share of an organisation's rate and burst that one zone owns.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ZoneLayout;
use crate::values::TokenCount;
use crate::values::ZoneId;
use crate::version::Organisation;

/// Millionths of a token in one token.
const MICROS_PER_TOKEN: u64 = 1_000_000;

/// The shortest lifetime of a batch.
pub const MIN_BATCH_LIFETIME: Duration = Duration::from_millis(200);

/// The longest lifetime of a batch.
pub const MAX_BATCH_LIFETIME: Duration = Duration::from_secs(1);

/// Spent tokens are reported after the lifetime of their batch divided by this number.
const REPORTS_PER_LIFETIME: u32 = 4;

/// Buckets of fewer tokens than this need the report of each token at once.
const MIN_BURST_FOR_REPORT_DELAY: TokenCount = TokenCount(8);

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Number of batch lifetimes in the time in which the rate fills the burst.
const LIFETIMES_PER_BURST: u64 = 2;

number_type! {
    /// Rate in millionths of a token per second.
    MicroRate(u64)
}

plain_value! {
    /// The share of one organisation's rate and burst that one zone owns.
    pub struct ZoneShare {
        /// The zone's share of the rate.
        pub rate_micro_per_s: MicroRate,
        /// The zone's share of the burst.
        pub burst_tokens: TokenCount,
        /// How long a batch of tokens may be spent, in microseconds from its request.
        pub batch_lifetime_us: u64,
    }
}

impl ZoneShare {
    /// A share without rate and burst.
    pub const NONE: Self = Self {
        rate_micro_per_s: MicroRate(0),
        burst_tokens: TokenCount(0),
        batch_lifetime_us: 0,
    };

    /// Returns how long a batch may be spent, counted from its request.
    pub fn batch_lifetime(&self) -> Duration {
        Duration::from_micros(self.batch_lifetime_us)
    }

    /// Returns how long requesters may keep the use of tokens to themselves.
    ///
    /// The bucket mints no tokens in place of unreported ones. So the delay is a small part of the time
    /// in which the rate fills the burst, and none for a bucket of a few tokens.
    pub fn report_delay(&self) -> Duration {
        let fill_us = self
            .burst_tokens
            .0
            .saturating_mul(MICROS_PER_SECOND * MICROS_PER_TOKEN)
            / self.rate_micro_per_s.0.max(1);
        match self.burst_tokens {
            few if few < MIN_BURST_FOR_REPORT_DELAY => Duration::ZERO,
            _ => Duration::from_micros(fill_us).min(self.batch_lifetime()) / REPORTS_PER_LIFETIME,
        }
    }

    /// Returns the field-wise minimum of two shares.
    pub fn smaller_of(&self, other: &Self) -> Self {
        Self {
            rate_micro_per_s: self.rate_micro_per_s.min(other.rate_micro_per_s),
            burst_tokens: self.burst_tokens.min(other.burst_tokens),
            batch_lifetime_us: self.batch_lifetime_us.min(other.batch_lifetime_us),
        }
    }
}

/// Splits an organisation's rate and burst over the zones, so that the shares add up to the total.
///
/// A zone whose share of a small burst is zero also gets no share of the rate, because its bucket
/// could not keep a token.
pub fn split_over_zones(
    organisation: &Organisation,
    layout: &ZoneLayout,
) -> BTreeMap<ZoneId, ZoneShare> {
    let weights: Vec<u64> = layout.weights.values().copied().map(u64::from).collect();
    let bursts = largest_remainder(organisation.burst_tokens.0, &weights);
    let minting: Vec<u64> = weights
        .iter()
        .zip(&bursts)
        .map(|(weight, burst)| if *burst == 0 { 0 } else { *weight })
        .collect();
    let rate_micro_per_s = u64::from(organisation.rate_per_s.0) * MICROS_PER_TOKEN;
    let rates = largest_remainder(rate_micro_per_s, &minting);
    let batch_lifetime_us = batch_lifetime(organisation).as_micros() as u64;
    let shares = bursts
        .into_iter()
        .zip(rates)
        .map(|(burst, rate)| ZoneShare {
            rate_micro_per_s: MicroRate(rate),
            burst_tokens: TokenCount(burst),
            batch_lifetime_us,
        });
    layout.weights.keys().cloned().zip(shares).collect()
}

/// Returns how long a batch of the organisation's tokens may be spent, counted from its request.
///
/// Tokens in batches count against the burst, so the lifetime is a fraction of the time in which
/// the rate fills the burst, within [`MIN_BATCH_LIFETIME`] and [`MAX_BATCH_LIFETIME`].
pub fn batch_lifetime(organisation: &Organisation) -> Duration {
    let rate_per_s = u64::from(organisation.rate_per_s.0).max(1);
    let fill_us = organisation.burst_tokens.0.saturating_mul(1_000_000) / rate_per_s;
    Duration::from_micros(fill_us / LIFETIMES_PER_BURST)
        .clamp(MIN_BATCH_LIFETIME, MAX_BATCH_LIFETIME)
}

/// Splits `total` in proportion to `weights` by the largest remainder method.
///
/// Weights that are all zero count as equal.
fn largest_remainder(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|weight| u128::from(*weight)).sum();
    match sum {
        _ if weights.is_empty() => return Vec::new(),
        0 => return largest_remainder(total, &vec![1; weights.len()]),
        _ => {}
    }
    let exact = |weight: &u64| u128::from(total) * u128::from(*weight);
    let mut parts: Vec<u64> = weights
        .iter()
        .map(|weight| (exact(weight) / sum) as u64)
        .collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(exact(&weights[*index]) % sum));
    let left_over = total - parts.iter().sum::<u64>();
    for index in order.into_iter().take(left_over as usize) {
        parts[index] += 1;
    }
    parts
}
