//! Outcomes of the requests of a load.

use std::collections::BTreeMap;
use std::fmt;

use balsamfold::connection::BufferedResponse;
use balsamfold::connection::ExchangeError;
use balsamfold::request::RefusalReason;
use balsamfold::request::Verdict;
use balsamfold::request::refusal_of;
use hdrhistogram::Histogram;
use http::StatusCode;

use crate::backend_server::is_complete_body;

/// Highest latency that the histogram records, in microseconds; higher ones count as this.
const LATENCY_MAX_US: u64 = 60_000_000;
const LATENCY_DIGITS: u8 = 3;

/// Outcomes of the requests of one organisation.
#[derive(Clone, Debug, Default)]
pub struct TenantReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete successful responses of backend servers.
    pub whole: u64,
    /// Incomplete or unsuccessful responses of backend servers.
    pub failed: u64,
    /// Requests without a response.
    pub lost: u64,
    /// Refusals by reason and verdict.
    pub refused: BTreeMap<(RefusalReason, Verdict), u64>,
}

/// Outcomes of the requests of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Time over which requests were sent.
    pub duration_ms: u64,
    /// The organisations by name.
    pub tenants: BTreeMap<String, TenantReport>,
    /// Latencies of complete responses in microseconds.
    pub latency_us: Histogram<u64>,
}

impl LoadReport {
    /// Creates an empty report.
    pub fn new() -> Self {
        let latency_us = Histogram::new_with_max(LATENCY_MAX_US, LATENCY_DIGITS);
        Self {
            duration_ms: 0,
            tenants: BTreeMap::new(),
            latency_us: latency_us.expect("the bounds of the histogram are valid"),
        }
    }

    /// Counts one request of the organisation `tenant`.
    pub fn record(
        &mut self,
        tenant: &str,
        result: &Result<BufferedResponse, ExchangeError>,
        latency_us: u64,
    ) {
        let report = self.tenants.entry(tenant.to_owned()).or_default();
        report.sent += 1;
        match result {
            Ok(response)
                if response.status == StatusCode::OK && is_complete_body(&response.body) =>
            {
                report.whole += 1;
                self.latency_us.saturating_record(latency_us);
            }
            Ok(response) => match refusal_of(response) {
                Some(refusal) => {
                    let key = (refusal.reason, refusal.verdict);
                    *report.refused.entry(key).or_default() += 1;
                }
                None => report.failed += 1,
            },
            Err(_) => report.lost += 1,
        }
    }

    /// Returns the number of complete responses of all organisations.
    pub fn whole(&self) -> u64 {
        self.tenants.values().map(|tenant| tenant.whole).sum()
    }

    /// Returns a quantile, from 0 to 1, of the latency of complete responses, in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let goodput_per_s = self.whole() as f64 * 1_000.0 / self.duration_ms.max(1) as f64;
        writeln!(f, "goodput of complete responses: {goodput_per_s:.0}/s")?;
        writeln!(
            f,
            "latency: median {:.2} ms, 90 % {:.2} ms, 99 % {:.2} ms",
            self.quantile_us(0.5) as f64 / 1_000.0,
            self.quantile_us(0.9) as f64 / 1_000.0,
            self.quantile_us(0.99) as f64 / 1_000.0,
        )?;
        writeln!(
            f,
            "{:<14} {:>8} {:>8} {:>8} {:>8}",
            "organisation", "sent", "whole", "failed", "lost"
        )?;
        for (name, tenant) in &self.tenants {
            writeln!(
                f,
                "{name:<14} {:>8} {:>8} {:>8} {:>8}",
                tenant.sent, tenant.whole, tenant.failed, tenant.lost
            )?;
            for ((reason, verdict), count) in &tenant.refused {
                writeln!(f, "  refused {count:>6}  {verdict}  {reason}")?;
            }
        }
        Ok(())
    }
}
