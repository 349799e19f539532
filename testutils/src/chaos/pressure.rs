//! Callers that resend hard while failures happen.

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

use super::journal::End;
use super::journal::Seen;
use crate::backend_server::is_whole;
use crate::fleet::Caller;
use crate::fleet::post;

const RESENDS_MAX: usize = 2;
const RESEND_PAUSE: Duration = Duration::from_millis(50);
const BATCH_PERIOD: Duration = Duration::from_millis(5);

/// The requests of one organisation on one path.
#[derive(Clone, Debug)]
pub struct Source {
    /// The organisation.
    pub organisation: String,
    /// Its key.
    pub key: String,
    /// The path.
    pub path: String,
    /// New requests in a second, not counting resends.
    pub rate_per_s: f64,
}

/// Sends requests for `duration` and returns what callers saw, by the body of the request.
pub async fn press(
    entries: Vec<SocketAddr>,
    sources: Vec<Source>,
    duration: Duration,
    seed: u64,
) -> BTreeMap<String, Seen> {
    let callers: Arc<Vec<Caller>> = Arc::new(entries.into_iter().map(Caller::new).collect());
    let seen: Arc<Mutex<BTreeMap<String, Seen>>> = Arc::default();
    let requests = TaskTracker::new();
    let started = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let mut sent: Vec<f64> = vec![0.0; sources.len()];
    let mut period = tokio::time::interval(BATCH_PERIOD);
    while started.elapsed() < duration {
        period.tick().await;
        for (source, sent) in sources.iter().zip(&mut sent) {
            while *sent < started.elapsed().as_secs_f64() * source.rate_per_s {
                *sent += 1.0;
                let order: Vec<usize> = (0..=RESENDS_MAX)
                    .map(|_| random.random_range(0..callers.len()))
                    .collect();
                let callers = Arc::clone(&callers);
                let source = source.clone();
                let seen = Arc::clone(&seen);
                requests.spawn(async move {
                    let body = Uuid::now_v7().to_string();
                    let end = send_until_final(&callers, &order, &source, &body).await;
                    let record = Seen {
                        organisation: source.organisation,
                        path: source.path,
                        finished_ms: started.elapsed().as_millis() as u64,
                        end,
                    };
                    seen.lock().insert(body, record);
                });
            }
        }
    }
    requests.close();
    requests.wait().await;
    std::mem::take(&mut *seen.lock())
}

/// Sends one request and resends it through other nodes until it has a whole answer.
async fn send_until_final(callers: &[Caller], order: &[usize], source: &Source, body: &str) -> End {
    let key = CallerKey::new(&source.key);
    let headers = [(IDEMPOTENCY_KEY_HEADER, body)];
    let mut worst: Option<End> = None;
    for index in order {
        let request = post(&source.path, Some(&key), &headers, body);
        let end = match callers[*index].send(request).await {
            Ok(answer) => end_of(&answer, body),
            Err(error) if error.verdict() == Verdict::NotRun => End::Refused(Verdict::NotRun),
            Err(_) => End::Lost,
        };
        match end {
            End::Whole | End::Wrong => return end,
            End::Refused(_) | End::Lost => worst = worst.max(Some(end)),
        }
        tokio::time::sleep(RESEND_PAUSE).await;
    }
    worst.unwrap_or(End::Lost)
}

fn end_of(answer: &BufferedResponse, body: &str) -> End {
    match refusal_of(answer) {
        Some(refusal) => End::Refused(refusal.verdict),
        None if answer.status != StatusCode::OK => End::Refused(Verdict::Ran),
        None if is_whole(&answer.body) && answer.body.starts_with(body.as_bytes()) => End::Whole,
        None => End::Wrong,
    }
}
