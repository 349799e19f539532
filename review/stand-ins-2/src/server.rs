//! A backend server. The path says what a request takes: `/NAME/WORK_MS/RESPONSE_BYTES/...`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::http::Connection;
use crate::http::Message;
use crate::http::message;

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub server: String,
    pub body_bytes: usize,
    pub began_at: Instant,
    /// The tenant that the relay named.
    pub tenant: Option<String>,
    /// Whether its answer was handed to the connection.
    pub is_answered: bool,
}

/// The runs of all servers of a case.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A backend server.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub id: String,
    service: &'static str,
    slots: u32,
    runs: Runs,
    is_reporting: Arc<AtomicBool>,
}

impl Server {
    pub async fn start(
        ip: &str,
        service: &'static str,
        id: &str,
        slots: u32,
        runs: &Runs,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let server = Self {
            address: listener.local_addr()?,
            id: id.to_owned(),
            service,
            slots,
            runs: Arc::clone(runs),
            is_reporting: Arc::new(AtomicBool::new(true)),
        };
        let serving = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = serving.clone();
                tokio::spawn(async move { server.serve(Connection::new(stream)).await });
            }
        });
        Ok(server)
    }

    async fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read().await {
            let answer = self.answer(&request).await;
            if connection.write(&answer).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let (_, target) = request.target();
        if target == "/health" {
            return message("HTTP/1.1 200 OK", &[("X-Instance-Id", &self.id)], b"");
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            return message("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let index = {
            let mut runs = self.runs.lock().expect("no panic");
            runs.push(Run {
                id: id.clone(),
                target: target.to_owned(),
                server: self.id.clone(),
                body_bytes: request.body.len(),
                began_at: Instant::now(),
                tenant: request.header("x-tenant-id").map(str::to_owned),
                is_answered: false,
            });
            runs.len() - 1
        };
        let mut parts = target.split('/').skip(2);
        let mut number = || {
            parts
                .next()
                .and_then(|part| part.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (work_ms, bytes) = (number(), number());
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        self.runs.lock().expect("no panic")[index].is_answered = true;
        let body = body_of(&id, bytes as usize);
        let signature = signature_of(&id, &body);
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Signature", signature.as_str()),
        ];
        message("HTTP/1.1 200 OK", &headers, &body)
    }

    /// Reports to the relay beside the server about every `heartbeat-ms`, more often until it is accepted.
    pub fn report_to(&self, reports: SocketAddr) {
        let server = self.clone();
        tokio::spawn(async move {
            let born = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            for sequence in 1_u64.. {
                if !server.is_reporting.load(Ordering::Relaxed) {
                    return;
                }
                let body = json!({
                    "address": server.address.to_string(),
                    "born": born.as_millis() as u64,
                    "info": { "service": server.service, "version": "v1", "zone": "zone-a", "slots": server.slots },
                    "status": { "state": "ready", "sequence": sequence, "warmup-left-ms": 0 },
                });
                let body = body.to_string();
                let reporting = report(reports, &server.id, &body);
                let status = tokio::time::timeout(Duration::from_secs(1), reporting).await;
                let is_accepted = matches!(status, Ok(Ok(200..=299)));
                let pause = match is_accepted {
                    true => HEARTBEAT,
                    false => Duration::from_millis(200),
                };
                tokio::time::sleep(pause).await;
            }
        });
    }
}

async fn report(reports: SocketAddr, id: &str, body: &str) -> std::io::Result<u16> {
    let mut connection = Connection::new(TcpStream::connect(reports).await?);
    let first = format!("PUT /api/instances/{id} HTTP/1.1");
    let headers = [("Host", "relay"), ("Content-Type", "application/json")];
    connection
        .write(&message(&first, &headers, body.as_bytes()))
        .await?;
    let answer = connection.read().await?;
    Ok(answer.map_or(0, |answer| answer.status()))
}

/// Returns the body of the answer to a request.
pub fn body_of(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().cycle().take(bytes).collect()
}

/// Returns the signature of an answer, by which a client knows that it is whole and its own.
pub fn signature_of(id: &str, body: &[u8]) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in id.bytes().chain(body.iter().copied()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}.{}", body.len())
}
