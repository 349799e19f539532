//! Bytes of a server that are no response of the protocol: its caller gets 502, and the connection is not used again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use testutils::relay::RelayFleet;
use testutils::relay::sample_open_plan;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Attempts until the server gets a request, which its relay may refuse before it sends it.
const ATTEMPTS_MAX: usize = 400;
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A status line, what follows the headers that all have, and the status that a caller gets.
type Case = (&'static str, &'static str, u16);

const WITH_BODY: &str = "content-length: 5\r\n\r\nwhole";
const WITHOUT_BODY: &str = "\r\n";
const CASES: [Case; 30] = [
    ("HTTP/1.1 200 OK", WITH_BODY, 200),
    ("HTTP/1.1 000 None", WITH_BODY, 502),
    ("HTTP/1.1 000", WITH_BODY, 502),
    ("HTTP/1.1 001 None", WITH_BODY, 502),
    ("HTTP/1.1 099 Low", WITH_BODY, 502),
    ("HTTP/1.1 600 High", WITH_BODY, 502),
    ("HTTP/1.1 666 High", WITH_BODY, 502),
    ("HTTP/1.1 999 High", WITH_BODY, 502),
    ("HTTP/1.1 599 Highest", WITH_BODY, 599),
    ("HTTP/1.1 101 Switching Protocols", WITHOUT_BODY, 502),
    (
        "HTTP/1.1 101 Switching Protocols",
        "connection: upgrade\r\nupgrade: x\r\n\r\n",
        502,
    ),
    ("HTTP/1.1 102 Last", WITH_BODY, 502),
    ("HTTP/1.1 199 Last", WITHOUT_BODY, 502),
    ("HTTP/1.1 20 Short", WITH_BODY, 502),
    ("HTTP/1.1 2", WITH_BODY, 502),
    ("HTTP/1.1 2000 Long", WITH_BODY, 502),
    ("HTTP/1.1 +20 Sign", WITH_BODY, 502),
    ("HTTP/1.1 -20 Sign", WITH_BODY, 502),
    ("HTTP/1.1 +200 Sign", WITH_BODY, 502),
    ("HTTP/1.1 2x0 Letter", WITH_BODY, 502),
    ("HTTP/1.1  200 Spaces", WITH_BODY, 502),
    ("HTTP/1.1", WITH_BODY, 502),
    ("HTTP/1.1 200", WITH_BODY, 200),
    ("HTTP/1.1 200 ", WITH_BODY, 200),
    ("HTTP/0.9 200 OK", WITH_BODY, 502),
    ("whole", "", 502),
    ("HTTP/3.1 200 OK", WITH_BODY, 502),
    ("http/1.1 200 OK", WITH_BODY, 502),
    // By their status these have no body: what follows belongs to no request.
    ("HTTP/1.1 204 No Content", WITH_BODY, 204),
    ("HTTP/1.1 304 Not Modified", WITH_BODY, 304),
];

/// What a server saw of a case: how often it was played, and how many requests came behind it.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    played: usize,
    behind: usize,
}

type Record = Arc<Mutex<HashMap<usize, Seen>>>;

fn case_of(request: &str) -> Option<usize> {
    let path = request.split(' ').nth(1)?;
    path.rsplit('/').next()?.parse().ok()
}

/// Reads the head of a request, which has no body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut part = [0; 4_096];
    while !text.contains("\r\n\r\n") {
        let count = stream
            .read(&mut part)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        text.push_str(&String::from_utf8_lossy(&part[..count]));
    }
    Some(text)
}

/// Plays the case that the first request of a connection names, and keeps the connection open if it must not be
/// used again.
async fn play(mut stream: TcpStream, record: &Record) -> Option<()> {
    let number = case_of(&read_head(&mut stream).await?)?;
    let (line, rest, expected) = CASES[number];
    let response = format!("{line}\r\nrequest-id: case-{number}\r\n{rest}");
    record.lock().entry(number).or_default().played += 1;
    stream.write_all(response.as_bytes()).await.ok()?;
    let is_interim = line.starts_with("HTTP/1.1 1");
    if is_interim || matches!(expected, 200 | 599) {
        stream.shutdown().await.ok()?;
    }
    while read_head(&mut stream).await.is_some() {
        record.lock().entry(number).or_default().behind += 1;
    }
    Some(())
}

/// Takes the place of the server at `address`.
async fn serve_cases(address: SocketAddr) -> Record {
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let record = Record::default();
    let recorded = Arc::clone(&record);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let record = Arc::clone(&recorded);
            tokio::spawn(async move { play(stream, &record).await });
        }
    });
    record
}

/// Returns all bytes that a caller gets.
async fn call(address: SocketAddr, number: usize) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!(
        "GET /stock/{number} HTTP/1.1\r\nhost: shop\r\nrequest-id: case-{number}\r\n\
         wait-ms: 10000\r\nconnection: close\r\n\r\n"
    );
    let written = stream.write_all(request.as_bytes()).await;
    written.expect("the relay reads the request");
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received).await;
    read.expect("the relay closes the connection");
    String::from_utf8(received).expect("a response in text")
}

/// Returns what the caller got once the server played the case.
async fn play_case(caller: SocketAddr, record: &Record, number: usize) -> String {
    let played = || record.lock().get(&number).map_or(0, |seen| seen.played);
    let played_before = played();
    for _ in 0..ATTEMPTS_MAX {
        let received = call(caller, number).await;
        if played() > played_before {
            return received;
        }
        sleep(RETRY_DELAY).await;
    }
    panic!("{:?} was not played", CASES[number]);
}

// Guards against an answer that is none and that reaches its caller as one, with a status such as 999 (MIXED).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_that_are_no_response_end_as_failures_of_the_server() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock", "front"]).await;
    let server = &fleet.relays[0].server;
    server.crash();
    let record = serve_cases(server.address).await;
    let mut faults = Vec::new();
    // The second relay sends its requests on to the first.
    for (relay, started) in fleet.relays.iter().enumerate() {
        let caller = started.daemon.node().settings.raw.listen.callers;
        for (number, case) in CASES.iter().enumerate() {
            let received = play_case(caller, &record, number).await;
            let (_, _, expected) = case;
            if !received.starts_with(&format!("HTTP/1.1 {expected} ")) {
                faults.push(format!("relay {relay}, {case:?}: {received:?}"));
            }
        }
    }
    for (number, seen) in record.lock().iter() {
        if seen.behind > 0 {
            faults.push(format!("{:?}: {seen:?}", CASES[*number]));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
