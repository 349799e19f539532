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

/// Sends one request on a new connection. Returns the answer, or none if there was none until half a
/// second after the limit.
pub fn attempt(
    address: SocketAddr,
    id: &str,
    call: &Call,
    limit: Duration,
    record: &Record,
) -> Option<Message> {
    record.line(&format!(
        "sent {id} {} {} to {address}",
        call.method, call.path
    ));
    let answer = exchange(address, id, call, limit);
    let text = match &answer {
        Some(answer) => format!(
            "{} retry-after={} body={}",
            answer.status(),
            answer.header("retry-after").unwrap_or("-"),
            String::from_utf8_lossy(&answer.body)
        ),
        None => "no answer".to_owned(),
    };
    record.line(&format!("answered {id} {text}"));
    answer
}

fn exchange(address: SocketAddr, id: &str, call: &Call, limit: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream
        .set_read_timeout(Some(limit + Duration::from_millis(500)))
        .ok()?;
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
    connection.write(&first, &headers, body).ok()?;
    connection.read().ok()
}

/// Sends a request, and once more after a promise that it has not run, as `Retry-After` says.
/// Returns whether it was served.
pub fn request(address: SocketAddr, id: &str, call: &Call, record: &Record) -> bool {
    let deadline = Instant::now() + call.limit;
    for retry in 0..2 {
        let left = deadline.saturating_duration_since(Instant::now());
        let attempt_id = format!("{id}{retry:02x}");
        let Some(answer) = attempt(address, &attempt_id, call, left, record) else {
            return false;
        };
        match answer.status() {
            200..300 => return answer.header("x-response-signature").is_some(),
            429 | 503 => {
                let wait = answer
                    .header("retry-after")
                    .and_then(|text| text.parse().ok());
                let wait = Duration::from_secs_f64(wait.unwrap_or(0.2));
                let left = deadline.saturating_duration_since(Instant::now());
                std::thread::sleep(wait.min(left / 3));
            }
            _ => return false,
        }
    }
    false
}
