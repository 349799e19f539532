//! Counters and histograms of a relay, in the Prometheus text format.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use super::store::StoreError;
use crate::request::Refusal;
use crate::request::RefusalReason;

/// Lowest bound of the latency histogram.
const LATENCY_BOUND_MIN_S: f64 = 0.002;
/// Number of bounds of the latency histogram. Each is twice the previous one, up to eight seconds.
const LATENCY_BOUND_COUNT: u16 = 13;

/// A label with few and fixed values.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    kind: &'static str,
}

/// Counters and histograms of a relay. Labels have few and fixed values.
#[derive(Debug)]
pub struct RelayMetrics {
    registry: Registry,
    responses: Family<Kind, Counter>,
    refusals: Family<Kind, Counter>,
    run_refusals: Family<Kind, Counter>,
    latency_s: Histogram,
    tree_refusals: Counter,
    caller_disconnects: Counter,
    turned_away: Counter,
    store_calls: Family<Kind, Counter>,
    in_flight: Gauge,
    confirmation_age_ms: Gauge,
    load_age_ms: Gauge,
    load_spread_percent: Gauge,
    is_store_reachable: AtomicBool,
}

impl RelayMetrics {
    /// Creates metrics whose counters are zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("balsamfold");
        let responses = Family::<Kind, Counter>::default();
        let refusals = Family::<Kind, Counter>::default();
        let run_refusals = Family::<Kind, Counter>::default();
        let bounds = exponential_buckets(LATENCY_BOUND_MIN_S, 2.0, LATENCY_BOUND_COUNT);
        let latency_s = Histogram::new(bounds);
        let tree_refusals = Counter::default();
        let caller_disconnects = Counter::default();
        let turned_away = Counter::default();
        let store_calls = Family::<Kind, Counter>::default();
        let in_flight = Gauge::default();
        let confirmation_age_ms = Gauge::default();
        let load_age_ms = Gauge::default();
        let load_spread_percent = Gauge::default();
        registry.register("answers", "Answers of backend servers", responses.clone());
        registry.register(
            "refusals",
            "Requests that were refused, by reason",
            refusals.clone(),
        );
        registry.register(
            "tree_refusals",
            "Requests refused at once because a service of their call tree had no room",
            tree_refusals.clone(),
        );
        registry.register(
            "run_refusals",
            "Requests that the node of a cold server or in an evacuated zone turned away, by reason",
            run_refusals.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time until an answer or refusal",
            latency_s.clone(),
        );
        registry.register(
            "callers_left",
            "Callers that left before the answer",
            caller_disconnects.clone(),
        );
        registry.register(
            "turned_away",
            "Requests that went to another server because the local one was busier than others",
            turned_away.clone(),
        );
        registry.register("store_calls", "Calls of the store", store_calls.clone());
        registry.register("in_flight", "Requests in flight", in_flight.clone());
        registry.register(
            "confirmation_age_ms",
            "Time since the configuration was confirmed, or -1",
            confirmation_age_ms.clone(),
        );
        registry.register(
            "load_age_ms",
            "Mean age of the known loads of other servers, or -1",
            load_age_ms.clone(),
        );
        registry.register(
            "load_spread_percent",
            "Load of the busiest known server of the local service over the mean, or -1",
            load_spread_percent.clone(),
        );
        Self {
            registry,
            responses,
            refusals,
            run_refusals,
            latency_s,
            tree_refusals,
            caller_disconnects,
            turned_away,
            store_calls,
            in_flight,
            confirmation_age_ms,
            load_age_ms,
            load_spread_percent,
            is_store_reachable: AtomicBool::new(false),
        }
    }

    /// Counts a response of a backend server, and its latency `held`.
    pub fn record_response(&self, status: StatusCode, held: Duration) {
        let kind = match status.as_u16() {
            200..=299 => "success",
            500..=599 => "server-error",
            _ => "other",
        };
        self.responses.get_or_create(&Kind { kind }).inc();
        self.latency_s.observe(held.as_secs_f64());
    }

    /// Counts a refusal, and its latency `held`.
    pub fn record_refusal(&self, refusal: &Refusal, held: Duration) {
        let kind = refusal.reason.code();
        self.refusals.get_or_create(&Kind { kind }).inc();
        self.latency_s.observe(held.as_secs_f64());
    }

    /// Counts a request that was refused because a service of its call tree has no room.
    pub(super) fn record_tree_refusal(&self) {
        self.tree_refusals.inc();
    }

    /// Counts a request that this node turned away from its backend server because that is cold or its
    /// zone is evacuated.
    pub fn record_run_refusal(&self, reason: RefusalReason) {
        if let RefusalReason::ServerCold | RefusalReason::ZoneEvacuated = reason {
            let kind = reason.code();
            self.run_refusals.get_or_create(&Kind { kind }).inc();
        }
    }

    /// Counts a caller that disconnected before the response.
    pub fn record_caller_disconnect(&self) {
        self.caller_disconnects.inc();
    }

    /// Counts a request that was turned away because the local server was busier than others.
    pub fn record_turned_away(&self) {
        self.turned_away.inc();
    }

    /// Counts a store call by whether it succeeded.
    pub fn record_store_call(&self, succeeded: bool) {
        let kind = match succeeded {
            true => "answered",
            false => "failed",
        };
        self.store_calls.get_or_create(&Kind { kind }).inc();
    }

    /// Counts a failed store call by its cause.
    pub fn record_store_error(&self, error: &StoreError) {
        let kind = match error {
            StoreError::NotDone { .. } => "not-done",
            StoreError::Unknown { .. } => "unknown",
            StoreError::HistoryLost => "history-lost",
            StoreError::LeaseEnded => "lease-ended",
            StoreError::Unreadable { .. } => "unreadable",
        };
        self.store_calls.get_or_create(&Kind { kind }).inc();
    }

    /// Records whether the store is reachable, and returns whether that changed.
    pub fn set_store_reachable(&self, is_reachable: bool) -> bool {
        self.is_store_reachable
            .swap(is_reachable, Ordering::Relaxed)
            != is_reachable
    }

    /// Sets the gauges of the known loads: their mean age, and how much busier than the mean the busiest
    /// server of the local service is.
    pub fn set_known_loads(&self, age: Option<Duration>, spread: Option<f64>) {
        let age_ms = age.map_or(-1, |age| age.as_millis() as i64);
        self.load_age_ms.set(age_ms);
        let spread_percent = spread.map_or(-1, |spread| (spread * 100.0) as i64);
        self.load_spread_percent.set(spread_percent);
    }

    /// Returns all metrics as text, with the given values for the gauges.
    pub fn text(&self, in_flight: u64, confirmation_age: Option<Duration>) -> String {
        self.in_flight.set(in_flight as i64);
        let age_ms = confirmation_age.map_or(-1, |age| age.as_millis() as i64);
        self.confirmation_age_ms.set(age_ms);
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            // Writing to a string fails only if a metric's own encoding does.
            Err(error) => format!("# metrics cannot be encoded: {error}\n"),
        }
    }
}

impl Default for RelayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
