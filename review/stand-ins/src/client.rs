//! Clients that keep to PROTOCOL.md.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::record::Record;

pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub limit: Duration,
}

/// Returns the status of a GET without other headers.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut connection = Connection::new(stream);
    let host = address.to_string();
    let first = format!("GET {path} HTTP/1.1");
    connection.write(&first, &[("Host", &host)], b"").ok()?;
    Some(connection.read().ok()?.status())
}

/// How an attempt ended, as its client sees it.
pub enum Ending {
    Answered(Message),
    /// There was no connection.
    NotConnected,
    /// The connection ended without a complete answer, after this time.
    Closed(Duration),
    /// There was no answer until half a second after the limit.
    TimedOut,
}

/// Sends one request on a new connection.
pub fn attempt(
    address: SocketAddr,
    id: &str,
    call: &Call,
    limit: Duration,
    record: &Record,
) -> Ending {
    record.line(&format!(
        "sent {id} {} {} to {address}",
        call.method, call.path
    ));
    let ending = exchange(address, id, call, limit);
    let text = match &ending {
        Ending::Answered(answer) => format!(
            "answered {id} {} retry-after={} body={}",
            answer.status(),
            answer.header("retry-after").unwrap_or("-"),
            String::from_utf8_lossy(&answer.body)
        ),
        Ending::NotConnected => format!("no connection for {id}"),
        Ending::Closed(after) => {
            format!(
                "closed without an answer: {id}, {} ms after it was sent",
                after.as_millis()
            )
        }
        Ending::TimedOut => format!("no answer in time: {id}"),
    };
    record.line(&text);
    ending
}

fn exchange(address: SocketAddr, id: &str, call: &Call, limit: Duration) -> Ending {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Ending::NotConnected;
    };
    let _ = stream.set_read_timeout(Some(limit + Duration::from_millis(500)));
    let mut connection = Connection::new(stream);
    let limit_ms = limit.as_millis().to_string();
    let authorization = call.key.map(|key| format!("Token {key}"));
    let mut headers = vec![
        ("Host", "shop.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", &limit_ms),
    ];
    if let Some(authorization) = &authorization {
        headers.push(("Authorization", authorization));
    }
    let first = format!("{} {} HTTP/1.1", call.method, call.path);
    let body: &[u8] = if call.method == "POST" { b"order" } else { b"" };
    if connection.write(&first, &headers, body).is_err() {
        return Ending::NotConnected;
    }
    let sent = Instant::now();
    match connection.read() {
        Ok(answer) => Ending::Answered(answer),
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ending::TimedOut,
        Err(_) => Ending::Closed(sent.elapsed()),
    }
}

/// Sends a request, and once more after a promise that it has not run, as `Retry-After` says.
/// Returns whether it was served, and how its attempts ended.
pub fn request(
    address: SocketAddr,
    id: &str,
    call: &Call,
    record: &Record,
) -> (bool, Vec<(u64, Ending)>) {
    let deadline = Instant::now() + call.limit;
    let mut endings = Vec::new();
    for retry in 0..2 {
        let left = deadline.saturating_duration_since(Instant::now());
        let attempt_id = format!("{id}{retry:02x}");
        let at_ms = record.now_ms();
        let ending = attempt(address, &attempt_id, call, left, record);
        let (status, wait) = match &ending {
            Ending::Answered(answer) => {
                let wait = answer.header("retry-after");
                (answer.status(), wait.and_then(|text| text.parse().ok()))
            }
            _ => (0, None),
        };
        endings.push((at_ms, ending));
        match status {
            200..300 => return (true, endings),
            429 | 503 => {
                let wait = Duration::from_secs_f64(wait.unwrap_or(0.2));
                let left = deadline.saturating_duration_since(Instant::now());
                std::thread::sleep(wait.min(left / 3));
            }
            _ => break,
        }
    }
    (false, endings)
}
