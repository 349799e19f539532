//! A backend server that answers with heads without end, on all connections at once.

use std::net::SocketAddr;
use std::time::Duration;

use balsamfold_platform::protocol;
use futures::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::relay_fleet::Fleet;
use crate::relay_fleet::SETUP;
use crate::relay_fleet::Setup;
use crate::relay_fleet::configuration;

/// A small instance beside a server with many slots.
const LIMITS: Setup = Setup {
    memory_limit_mb: 100,
    slots: 320,
    ..SETUP
};
/// Requests that run at the same time: fewer than the slots, some of which a relay leaves unused.
const REQUESTS: usize = 300;
/// Time until the next request of a caller of another service.
const PERIOD: Duration = Duration::from_millis(20);
/// Only a hanging test reaches it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

async fn call(address: SocketAddr, path: &str, id: &str) -> String {
    let name = protocol().headers.request_id;
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: shop\r\n{name}: {id}\r\nConnection: close\r\n\r\n");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("it is sent");
    let mut received = Vec::new();
    // A reset keeps what was read before.
    let reading = stream.read_to_end(&mut received);
    let _ = tokio::time::timeout(RESPONSE_TIMEOUT, reading)
        .await
        .expect("the connection ends");
    String::from_utf8(received).expect("headers and bodies are text")
}

// Guards against a process that exceeds its memory limit because of heads without end, each below the limit of one,
// so that the requests of other callers end with it (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_without_end_on_all_connections_stay_within_the_memory_limit() {
    let routes = [
        ("r-stock", "/stock/", "safe", "stock"),
        ("r-front", "/front/", "safe", "front"),
    ];
    let configuration = configuration(1, &routes);
    let services = ["stock", "front"];
    let fleet = Fleet::start_with("endless-heads", &configuration, &services, LIMITS).await;
    let machine = &fleet.machines[0];
    // The first response opens the gate of the server.
    let first = call(machine.callers, "/stock/0", "first").await;
    assert!(first.starts_with("HTTP/1.1 200 "), "{first:?}");
    let endless = join_all((0..REQUESTS).map(async |number| {
        call(machine.callers, "/stock/endless/0", &format!("e{number}")).await
    }));
    let others = async {
        let mut statuses = Vec::new();
        for number in 0..100 {
            let response = call(machine.callers, "/front/0", &format!("o{number}")).await;
            statuses.push(response.lines().next().unwrap_or_default().to_owned());
            tokio::time::sleep(PERIOD).await;
        }
        statuses
    };
    let (endless, others) = tokio::join!(endless, others);
    let peak_bytes = machine.peak_memory_bytes();
    let failed = endless
        .iter()
        .filter(|text| text.starts_with("HTTP/1.1 502 "));
    println!("peak_bytes={peak_bytes} failed={}", failed.count());
    assert!(
        others.iter().all(|status| status == "HTTP/1.1 200 OK"),
        "{others:?}"
    );
    let limit_bytes = LIMITS.memory_limit_mb as usize * 1_000_000;
    assert!(
        peak_bytes <= limit_bytes,
        "{peak_bytes} of {limit_bytes} bytes"
    );
    fleet.remove_files();
}
