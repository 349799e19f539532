//! Sends requests at a fixed rate, whether or not earlier requests have a response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsamfold::connection::IDEMPOTENCY_KEY_HEADER;
use balsamfold::version::CallerKey;
use parking_lot::Mutex;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use super::LoadReport;
use crate::fleet::Caller;
use crate::fleet::post;

/// Time between two batches of requests.
const BATCH_PERIOD: Duration = Duration::from_millis(2);

/// The requests of one organisation.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The name in the report.
    pub name: String,
    /// The key that its requests carry.
    pub key: String,
    /// The path that it calls.
    pub path: String,
    /// Requests per second.
    pub rate_per_s: f64,
}

/// The requests to send to a fleet.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Caller listeners of the nodes, used in turn.
    pub caller_addresses: Vec<SocketAddr>,
    /// The organisations that send requests.
    pub tenants: Vec<Tenant>,
    /// Time over which requests are sent.
    pub duration: Duration,
}

/// Sends the load and counts the outcomes. Calls `progress` about twice a second with the elapsed
/// time and the number of complete responses so far.
pub async fn run_load(plan: LoadPlan, progress: impl Fn(Duration, u64)) -> LoadReport {
    let callers: Arc<Vec<Caller>> = Arc::new(
        plan.caller_addresses
            .iter()
            .map(|address| Caller::new(*address))
            .collect(),
    );
    let report = Arc::new(Mutex::new(LoadReport::new()));
    let sent_total = Arc::new(AtomicU64::new(0));
    let requests = TaskTracker::new();
    let started = Instant::now();
    let mut sent_counts: Vec<f64> = vec![0.0; plan.tenants.len()];
    let mut last_progress = started;
    let mut period = tokio::time::interval(BATCH_PERIOD);
    while started.elapsed() < plan.duration {
        period.tick().await;
        for (tenant, sent) in plan.tenants.iter().zip(&mut sent_counts) {
            let wanted = started.elapsed().as_secs_f64() * tenant.rate_per_s;
            while *sent < wanted {
                *sent += 1.0;
                let number = sent_total.fetch_add(1, Ordering::Relaxed);
                let callers = Arc::clone(&callers);
                let report = Arc::clone(&report);
                requests.spawn(send_one(callers, tenant.clone(), number, report));
            }
        }
        if last_progress.elapsed() > Duration::from_millis(500) {
            last_progress = Instant::now();
            progress(started.elapsed(), report.lock().whole());
        }
    }
    requests.close();
    requests.wait().await;
    let mut report = report.lock().clone();
    report.duration_ms = plan.duration.as_millis() as u64;
    report
}

async fn send_one(
    callers: Arc<Vec<Caller>>,
    tenant: Tenant,
    number: u64,
    report: Arc<Mutex<LoadReport>>,
) {
    let caller = &callers[number as usize % callers.len()];
    let key = CallerKey::new(&tenant.key);
    let id = Uuid::now_v7().to_string();
    let headers = [(IDEMPOTENCY_KEY_HEADER, id.as_str())];
    let request = post(&tenant.path, Some(&key), &headers, &id);
    let started = Instant::now();
    let result = caller.send(request).await;
    let latency_us = started.elapsed().as_micros() as u64;
    report.lock().record(&tenant.name, &result, latency_us);
}
