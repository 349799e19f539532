//! Clients that keep connections open until the process is gone.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balsamfold_platform::protocol;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest time for which clients wait, as their requests say.
const TIME_LIMIT: Duration = Duration::from_secs(7);
/// Time after it for which a client still reads.
const READ_SLACK: Duration = Duration::from_secs(2);
/// Pause after a connection could not be opened.
const CONNECT_PAUSE: Duration = Duration::from_millis(20);

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A complete response came.
    Answered { status: u16, body: String },
    /// The connection ended without one.
    Closed,
    /// Nothing came in time.
    TimedOut,
}

/// A request that a client has sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub machine: usize,
    pub id: String,
    pub path: String,
    /// Time for which the client waits, as the request says.
    pub time_limit: Duration,
    /// When its head was written.
    pub head_at: Instant,
    /// When its last byte was written.
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub ending: Ending,
    /// Whether it was written behind another one without waiting for the response to that.
    pub is_behind: bool,
}

/// A client of one machine.
pub struct Client {
    pub machine: usize,
    pub callers: SocketAddr,
    pub name: String,
    pub rng: StdRng,
    next_number: usize,
    sent: Vec<Sent>,
}

impl Client {
    pub fn new(machine: usize, callers: SocketAddr, name: String, rng: StdRng) -> Self {
        Self {
            machine,
            callers,
            name,
            rng,
            next_number: 0,
            sent: Vec::new(),
        }
    }

    /// Sends requests until `end`. Returns what became of them.
    pub async fn run(mut self, end: Instant) -> Vec<Sent> {
        while Instant::now() < end {
            match TcpStream::connect(self.callers).await {
                Ok(stream) => self.use_connection(stream, end).await,
                Err(_) => tokio::time::sleep(CONNECT_PAUSE).await,
            }
        }
        self.sent
    }

    async fn use_connection(&mut self, mut stream: TcpStream, end: Instant) {
        let _ = stream.set_nodelay(true);
        let mut received = Vec::new();
        let is_kept = self.rng.random_bool(0.8);
        while Instant::now() < end {
            let count = if self.rng.random_bool(0.1) { 2 } else { 1 };
            if !self.exchange(&mut stream, &mut received, count).await || !is_kept {
                return;
            }
            let pause_ms = match self.rng.random_bool(0.8) {
                true => self.rng.random_range(0..40),
                false => self.rng.random_range(200..2_200),
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Writes `count` requests at once and reads their responses. Returns whether the connection can be
    /// used again.
    async fn exchange(
        &mut self,
        stream: &mut TcpStream,
        received: &mut Vec<u8>,
        count: usize,
    ) -> bool {
        let is_slow = count == 1 && self.rng.random_bool(0.25);
        let mut text = String::new();
        let mut written = Vec::new();
        for _ in 0..count {
            let request = self.next_request(is_slow);
            text.push_str(&request.text());
            written.push(request);
        }
        let (is_written, head_at) = match is_slow {
            true => self.write_slowly(stream, &text).await,
            false => {
                let is_written = stream.write_all(text.as_bytes()).await.is_ok();
                (is_written, Instant::now())
            }
        };
        let sent_at = Instant::now();
        let mut is_open = is_written;
        for (index, request) in written.into_iter().enumerate() {
            let (ending, goes_on) = match is_open {
                true => read_ending(stream, received).await,
                false => (Ending::Closed, false),
            };
            is_open = goes_on;
            self.sent.push(Sent {
                machine: self.machine,
                id: request.id,
                path: request.path,
                time_limit: request.time_limit,
                head_at,
                sent_at,
                ended_at: Instant::now(),
                ending,
                is_behind: index > 0,
            });
        }
        is_open
    }

    /// Writes a request with a pause in its head or before the end of its body. Returns whether it was
    /// written, and when its head was.
    async fn write_slowly(&mut self, stream: &mut TcpStream, text: &str) -> (bool, Instant) {
        let head_end = text.find("\r\n\r\n").expect("a whole head") + 4;
        let is_in_head = head_end == text.len() || self.rng.random_bool(0.5);
        let (first, rest) = match is_in_head {
            true => text.split_at(head_end / 2),
            false => text.split_at(head_end + 1),
        };
        let has_begun = stream.write_all(first.as_bytes()).await.is_ok();
        let begun_at = Instant::now();
        let pause_ms = self.rng.random_range(100..4_500);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let is_written = has_begun && stream.write_all(rest.as_bytes()).await.is_ok();
        match is_in_head {
            true => (is_written, Instant::now()),
            false => (is_written, begun_at),
        }
    }

    fn next_request(&mut self, is_slow: bool) -> NextRequest {
        self.next_number += 1;
        let id = format!("{}-{}", self.name, self.next_number);
        let route = ["once", "once", "safe", "flip"][self.rng.random_range(0..4)];
        // What is written slowly often begins late in a stop, and shows only then whether it may outlast it.
        let long_runs = if is_slow { 10 } else { 3 };
        let work_ms = match self.rng.random_range(0..20) {
            0 => 7_500,
            run if run < long_runs => self.rng.random_range(1_000..4_500),
            _ => self.rng.random_range(0..60),
        };
        let time_limit = match self.rng.random_bool(0.8) {
            true => TIME_LIMIT,
            false => Duration::from_millis(self.rng.random_range(400..2_000)),
        };
        NextRequest {
            id,
            path: format!("/{route}/{work_ms}"),
            time_limit,
        }
    }
}

/// A request that a client is about to send.
struct NextRequest {
    id: String,
    path: String,
    time_limit: Duration,
}

impl NextRequest {
    fn text(&self) -> String {
        let names = protocol().headers;
        let path = &self.path;
        let method = match path.starts_with("/once/") {
            true => "POST",
            false => "GET",
        };
        let body = if method == "POST" { "order" } else { "" };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: shop\r\n{}: {}\r\n{}: {}\r\nContent-Length: {}\r\n\r\n{body}",
            names.request_id,
            self.id,
            names.deadline_ms,
            self.time_limit.as_millis(),
            body.len()
        )
    }
}

/// Reads one response. Returns also whether the connection can be used again.
async fn read_ending(stream: &mut TcpStream, received: &mut Vec<u8>) -> (Ending, bool) {
    let reading = read_response(stream, received);
    match tokio::time::timeout(TIME_LIMIT + READ_SLACK, reading).await {
        Ok(Some((status, body, is_last))) => (Ending::Answered { status, body }, !is_last),
        Ok(None) => (Ending::Closed, false),
        Err(_) => (Ending::TimedOut, false),
    }
}

async fn read_response(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
) -> Option<(u16, String, bool)> {
    loop {
        if let Some(head_end) = received.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..head_end]).to_lowercase();
            let value = |name: &str| {
                let mut lines = head.lines().filter_map(|line| line.split_once(": "));
                let found = lines.find(|(known, _)| *known == name);
                found.map(|(_, value)| value.to_owned())
            };
            let length: usize = value("content-length")?.parse().ok()?;
            let end = head_end + 4 + length;
            if received.len() >= end {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                let body = String::from_utf8_lossy(&received[head_end + 4..end]).into_owned();
                let is_last = value("connection").is_some_and(|value| value == "close");
                received.drain(..end);
                return Some((status, body, is_last));
            }
        }
        if stream.read_buf(received).await.ok()? == 0 {
            return None;
        }
    }
}
