//! Callers that resend failed requests while failures happen.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsamfold::connection::BufferedResponse;
use balsamfold::connection::IDEMPOTENCY_KEY_HEADER;
use balsamfold::request::Verdict;
use balsamfold::request::refusal_of;
use balsamfold::version::CallerKey;
use http::StatusCode;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use super::records::CallerRecord;
use super::records::RequestOutcome;
use crate::backend_server::is_complete_body;
use crate::fleet::Caller;
use crate::fleet::post;

const RESENDS_MAX: usize = 2;
const RESEND_DELAY: Duration = Duration::from_millis(50);
const BATCH_PERIOD: Duration = Duration::from_millis(5);

/// The requests of one organisation on one path.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The organisation.
    pub organisation: String,
    /// Its key.
    pub key: String,
    /// The path.
    pub path: String,
    /// New requests per second, without resends.
    pub rate_per_s: f64,
}

/// Sends requests for `duration` and returns the callers' records by the body of the request.
pub async fn send_load(
    caller_addresses: Vec<SocketAddr>,
    workloads: Vec<Workload>,
    duration: Duration,
    seed: u64,
) -> BTreeMap<String, CallerRecord> {
    let callers: Arc<Vec<Caller>> =
        Arc::new(caller_addresses.into_iter().map(Caller::new).collect());
    let records: Arc<Mutex<BTreeMap<String, CallerRecord>>> = Arc::default();
    let requests = TaskTracker::new();
    let started = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let mut sent: Vec<f64> = vec![0.0; workloads.len()];
    let mut period = tokio::time::interval(BATCH_PERIOD);
    while started.elapsed() < duration {
        period.tick().await;
        for (workload, sent) in workloads.iter().zip(&mut sent) {
            while *sent < started.elapsed().as_secs_f64() * workload.rate_per_s {
                *sent += 1.0;
                let order: Vec<usize> = (0..=RESENDS_MAX)
                    .map(|_| random.random_range(0..callers.len()))
                    .collect();
                let callers = Arc::clone(&callers);
                let workload = workload.clone();
                let records = Arc::clone(&records);
                requests.spawn(async move {
                    let body = Uuid::now_v7().to_string();
                    let outcome = send_with_resends(&callers, &order, &workload, &body).await;
                    let record = CallerRecord {
                        organisation: workload.organisation,
                        path: workload.path,
                        finished_ms: started.elapsed().as_millis() as u64,
                        outcome,
                    };
                    records.lock().insert(body, record);
                });
            }
        }
    }
    requests.close();
    requests.wait().await;
    std::mem::take(&mut *records.lock())
}

/// Sends one request, and resends it through the nodes in `order` until the response is neither a
/// refusal nor a failure.
async fn send_with_resends(
    callers: &[Caller],
    order: &[usize],
    workload: &Workload,
    body: &str,
) -> RequestOutcome {
    let key = CallerKey::new(&workload.key);
    let headers = [(IDEMPOTENCY_KEY_HEADER, body)];
    let mut worst: Option<RequestOutcome> = None;
    for index in order {
        let request = post(&workload.path, Some(&key), &headers, body);
        let outcome = match callers[*index].send(request).await {
            Ok(response) => outcome_of(&response, body),
            Err(error) if error.verdict() == Verdict::NotRun => {
                RequestOutcome::Refused(Verdict::NotRun)
            }
            Err(_) => RequestOutcome::Lost,
        };
        match outcome {
            RequestOutcome::Whole | RequestOutcome::Wrong => return outcome,
            RequestOutcome::Refused(_) | RequestOutcome::Lost => worst = worst.max(Some(outcome)),
        }
        tokio::time::sleep(RESEND_DELAY).await;
    }
    worst.unwrap_or(RequestOutcome::Lost)
}

fn outcome_of(response: &BufferedResponse, body: &str) -> RequestOutcome {
    match refusal_of(response) {
        Some(refusal) => RequestOutcome::Refused(refusal.verdict),
        None if response.status != StatusCode::OK => RequestOutcome::Refused(Verdict::Ran),
        None if is_complete_body(&response.body) && response.body.starts_with(body.as_bytes()) => {
            RequestOutcome::Whole
        }
        None => RequestOutcome::Wrong,
    }
}
