//! Crowds of clients that keep outside the limits: relay processes live on within their memory and descriptors, and
//! ordinary callers are served.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsamfold_platform::protocol;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::crowd::Bytes;
use crate::crowd::Crowd;
use crate::crowd::Reading;
use crate::relay_fleet::Fleet;
use crate::relay_fleet::SETUP;
use crate::relay_fleet::Setup;
use crate::relay_fleet::configuration;

/// The smallest instance that settings allow. Its limit is the bound on the memory, as the platform kills a process
/// beyond it.
const SMALL: Setup = Setup {
    memory_limit_mb: 64,
    ..SETUP
};
/// Clients of a crowd. If each holds a buffer of the largest head, they exceed the memory.
const CROWD: usize = 1_000;
/// Descriptors that a process may have on an instance that allows few. The crowd needs more.
const FEW_DESCRIPTORS: u32 = 600;
/// Time for which the whole crowd is there before others call.
const STAY: Duration = Duration::from_secs(5);
/// Only a process that hangs reaches it.
const GATHERING_TIMEOUT: Duration = Duration::from_secs(180);
/// Attempts of an ordinary caller, which calls again as it is told.
const ATTEMPTS_MAX: usize = 20;
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Only a process that hangs reaches it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Length of a body that counts, sent by an ordinary caller.
const ORDINARY_BODY_BYTES: usize = 8 * 1_024;

/// One crowd at a time.
static CROWDS: Mutex<()> = Mutex::const_new(());

fn head(method: &str, path: &str, id: &str, more: &str) -> String {
    let name = protocol().headers.request_id;
    format!("{method} {path} HTTP/1.1\r\nHost: shop\r\n{name}: {id}\r\n{more}\r\n")
}

/// Returns a request whose chunked body of `body_bytes` has all but its last bytes.
fn unfinished_chunks(number: usize, chunk_bytes: usize, body_bytes: usize) -> Vec<u8> {
    let id = format!("c{number}");
    let mut bytes = head("POST", "/stock/0", &id, "Transfer-Encoding: chunked\r\n").into_bytes();
    for _ in 0..body_bytes / chunk_bytes {
        bytes.extend_from_slice(format!("{chunk_bytes:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + chunk_bytes, b'z');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n");
    bytes
}

fn large_chunks(number: usize) -> Vec<u8> {
    let body_bytes = [48, 192, 1_024, 4_096][number % 4] * 1_024;
    unfinished_chunks(number, 16 * 1_024, body_bytes)
}

fn small_chunks(number: usize) -> Vec<u8> {
    let body_bytes = [1, 3_000, 20_000][number % 3];
    unfinished_chunks(number, 1, body_bytes)
}

fn both_chunks(number: usize) -> Vec<u8> {
    match number % 2 {
        0 => large_chunks(number / 2),
        _ => small_chunks(number / 2),
    }
}

fn padding(bytes: usize) -> String {
    format!("x: {}\r\n", "y".repeat(bytes))
}

fn unfinished_head(number: usize) -> Vec<u8> {
    let mut bytes = head("GET", "/stock/0", &format!("h{number}"), &padding(60_000)).into_bytes();
    bytes.truncate(bytes.len() - 1);
    bytes
}

/// Returns a request with a long head, which waits for the server.
fn waiting_request(number: usize) -> Vec<u8> {
    head(
        "GET",
        "/stock/2000",
        &format!("w{number}"),
        &padding(60_000),
    )
    .into_bytes()
}

fn unfinished_trailers(number: usize) -> Vec<u8> {
    let mut bytes = unfinished_chunks(number, 3_000, 3_000);
    bytes.extend_from_slice(padding(15_000).as_bytes());
    bytes
}

/// Returns many requests, sent behind each other, whose responses are large.
fn pipelined_requests(number: usize) -> Vec<u8> {
    let requests = (0..1_000)
        .map(|index| head("GET", "/stock/large/0", &format!("p{number}.{index}"), "").into_bytes());
    requests.collect::<Vec<_>>().concat()
}

fn nothing(_: usize) -> Vec<u8> {
    Vec::new()
}

/// A body that announces a length and stops short of it.
fn unfinished_length(number: usize) -> Vec<u8> {
    let length = "Content-Length: 20000000\r\n";
    let mut bytes = head("POST", "/stock/0", &format!("l{number}"), length).into_bytes();
    bytes.push(b'z');
    bytes
}

async fn try_call(address: SocketAddr, request: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request).await?;
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await?;
    Ok(String::from_utf8_lossy(&received).into_owned())
}

/// Calls like a client that keeps inside the limits. Returns what it received last.
async fn call(address: SocketAddr, id: &str, body_bytes: usize) -> String {
    let mut last = String::new();
    for attempt in 0..ATTEMPTS_MAX {
        let more = format!("Content-Length: {body_bytes}\r\nConnection: close\r\n");
        let head = head("POST", "/stock/0", &format!("{id}.{attempt}"), &more);
        let request = [head.into_bytes(), vec![b'z'; body_bytes]].concat();
        let calling = try_call(address, &request);
        last = match tokio::time::timeout(RESPONSE_TIMEOUT, calling).await {
            Ok(Ok(received)) if received.starts_with("HTTP/1.1 200 ") => return received,
            Ok(Ok(received)) => received,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no response in time".to_owned(),
        };
        tokio::time::sleep(RETRY_DELAY).await;
    }
    last
}

async fn expect_served(address: SocketAddr, name: &str) {
    for body_bytes in [0, ORDINARY_BODY_BYTES] {
        let received = call(address, &format!("{name}{body_bytes}"), body_bytes).await;
        let is_served = received.starts_with("HTTP/1.1 200 ");
        assert!(is_served, "{name} with {body_bytes} bytes: {received:?}");
    }
}

/// Fails unless a relay lives on beside a crowd, and others are served while it is there and once it has left.
async fn withstand(
    name: &str,
    setup: Setup,
    reading: Reading,
    bytes: impl Fn(usize) -> Vec<u8> + Send + Sync + 'static,
) {
    let _alone = CROWDS.lock().await;
    let routes = [("r-stock", "/stock/", "safe", "stock")];
    let fleet = Fleet::start_with(name, &configuration(1, &routes), &["stock"], setup).await;
    let machine = &fleet.machines[0];
    expect_served(machine.callers, "first").await;
    let bytes: Bytes = Arc::new(bytes);
    let clients = Crowd::start(machine.callers, CROWD, reading, &bytes);
    let gathered = tokio::time::timeout(GATHERING_TIMEOUT, clients.gathered()).await;
    gathered.expect("the relay takes what the crowd sends");
    tokio::time::sleep(STAY).await;
    assert!(machine.is_running(), "the process has ended");
    let (peak_bytes, descriptors) = (machine.peak_memory_bytes(), machine.open_descriptors());
    println!("{name}: peak_bytes={peak_bytes} descriptors={descriptors}");
    expect_served(machine.callers, "beside").await;
    drop(clients);
    expect_served(machine.callers, "after").await;
    assert!(machine.is_running(), "the process has ended");
    let peak_bytes = machine.peak_memory_bytes();
    println!("{name}: peak_bytes={peak_bytes}");
    let limit_bytes = setup.memory_limit_mb as usize * 1_000_000;
    assert!(
        peak_bytes <= limit_bytes,
        "{peak_bytes} of {limit_bytes} bytes"
    );
    let descriptors_max = setup.descriptors_max as usize;
    assert!(
        descriptors < descriptors_max,
        "{descriptors} of {descriptors_max} descriptors"
    );
    fleet.remove_files();
}

// Guards against bodies in large chunks that stop short of their end and fill the memory together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_that_stop_short_stay_within_the_limits() {
    withstand("large-chunks", SMALL, Reading::All, large_chunks).await;
}

// Guards against bodies in chunks of one byte, which cost more than their bytes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_chunks_that_stop_short_stay_within_the_limits() {
    withstand("small-chunks", SMALL, Reading::All, small_chunks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_and_small_chunks_that_stop_short_stay_within_the_limits() {
    withstand("both-chunks", SMALL, Reading::All, both_chunks).await;
}

// Guards against bodies that reserve the memory by the length that they announce.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_lengths_that_stop_short_stay_within_the_limits() {
    withstand("lengths", SMALL, Reading::All, unfinished_length).await;
}

// Guards against heads without end in the buffers of all connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_that_stop_short_stay_within_the_limits() {
    withstand("heads", SMALL, Reading::All, unfinished_head).await;
}

// Guards against requests in flight whose heads are long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_heads_of_waiting_requests_stay_within_the_limits() {
    withstand("waiting", SMALL, Reading::All, waiting_request).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trailers_that_stop_short_stay_within_the_limits() {
    withstand("trailers", SMALL, Reading::All, unfinished_trailers).await;
}

// Guards against large responses that wait for clients which read nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_responses_to_pipelined_requests_stay_within_the_limits() {
    withstand("pipelined", SMALL, Reading::Nothing, pipelined_requests).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_a_request_stay_within_the_limits() {
    withstand("unused", SMALL, Reading::Nothing, nothing).await;
}

// Guards against a process whose connections to its server fail because callers hold all descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_leave_descriptors_for_connections_to_the_server() {
    let setup = Setup {
        descriptors_max: FEW_DESCRIPTORS,
        ..SMALL
    };
    withstand("descriptors", setup, Reading::All, small_chunks).await;
}
