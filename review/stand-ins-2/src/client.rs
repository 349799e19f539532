//! A client that keeps inside the limits.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::http::Connection;
use crate::http::Message;
use crate::http::message;
use crate::server::signature_of;

/// Sends one request on a connection of its own. Returns the answer, or none without a whole one in time.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    limit: Duration,
) -> Option<Message> {
    call_with(address, method, path, id, limit, None).await
}

/// Does the same with one more header.
pub async fn call_with(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    limit: Duration,
    more: Option<(&str, &str)>,
) -> Option<Message> {
    let calling = async {
        let mut connection = Connection::new(TcpStream::connect(address).await?);
        let limit_ms = limit.as_millis().to_string();
        let mut headers = vec![
            ("Host", "shop.example"),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", limit_ms.as_str()),
        ];
        headers.extend(more);
        let first = format!("{method} {path} HTTP/1.1");
        connection.write(&message(&first, &headers, b"")).await?;
        connection.read().await
    };
    let called = tokio::time::timeout(limit + Duration::from_secs(1), calling).await;
    called.ok()?.ok()?
}

/// Returns whether an answer is a success of the server, whole and to this request.
pub fn is_served(answer: Option<&Message>, id: &str) -> bool {
    answer.is_some_and(|answer| {
        let signature = answer.header("x-response-signature");
        answer.status() == 200 && signature == Some(signature_of(id, &answer.body).as_str())
    })
}
