//! Altered and random bytes at the listeners of a running relay.
//!
//! `BALSAMFOLD_FUZZ_CASES` and `BALSAMFOLD_FUZZ_SEED` set the connections to each listener and the
//! seed, for long runs by hand.

use std::net::SocketAddr;
use std::time::Duration;

use balsamfold::process::relay::ExchangeId;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::encode_frame;
use balsamfold::values::TokenCount;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testutils::relay::RelayFleet;
use testutils::relay::sample_open_plan;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest wait for what a listener sends back; it need not send anything.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn requests() -> Vec<Vec<u8>> {
    [
        "GET /stock/1 HTTP/1.1\r\nhost: shop\r\nrequest-id: r1\r\nwait-ms: 1000\r\n\r\n",
        "POST /stock/1 HTTP/1.1\r\nhost: shop\r\ncontent-length: 5\r\n\r\nhello",
        "POST /stock/1 HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "GET /stock/1 HTTP/1.1\r\nhost: shop\r\n\r\nGET /stock/2 HTTP/1.1\r\nhost: shop\r\n\r\n",
        "GET /stock/1 HTTP/1.1\r\nhost: shop\r\nauthorization: Key k\r\nexpect: 100-continue\r\n\r\n",
    ]
    .map(|text| text.as_bytes().to_vec())
    .to_vec()
}

fn reports() -> Vec<Vec<u8>> {
    let body = r#"{"service":"stock","address":"127.0.0.1:1","born_ms":1,"sequence":9,"slots":8,"is_draining":false}"#;
    [
        format!(
            "PUT /server-0 HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ),
        "DELETE /server-9 HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
    ]
    .map(String::into_bytes)
    .to_vec()
}

fn frames() -> Vec<Vec<u8>> {
    let exchange = ExchangeId(3);
    let organisation = || "org-a".parse().expect("valid name");
    let heads = [
        Head::Ping { exchange },
        Head::Cancel { exchange },
        Head::Borrow {
            exchange,
            organisation: organisation(),
        },
        Head::Lent {
            exchange,
            tokens: TokenCount(3),
        },
        Head::RateStatusRequest { exchange },
        Head::RateHolderReleased,
        Head::SuspectUpdates {
            exchange,
            entries: Vec::new(),
        },
        Head::SuspectsRequest { exchange },
        Head::ViewsChanged,
    ];
    let encoded = heads.map(|head| encode_frame(&head, b"body").expect("a short frame"));
    encoded.map(|frame| frame.to_vec()).to_vec()
}

/// Returns the first message of a connection from another node to `node`.
fn hello(node: &RelayFleet) -> Vec<u8> {
    let to = node.relays[0].daemon.node().settings.raw.node.clone();
    let from = "node-9".parse().expect("valid name");
    let head = Head::Hello { from, to };
    encode_frame(&head, &[]).expect("a short frame").to_vec()
}

/// Alters some bytes, cuts the message short, repeats a part of it, or replaces it all.
fn alter(message: &[u8], rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = message.to_vec();
    let at = rng.random_range(0..bytes.len());
    match rng.random_range(0..4) {
        0 => {
            for _ in 0..rng.random_range(1..5) {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
        }
        1 => bytes.truncate(at),
        2 => bytes.extend_from_slice(&message[at..]),
        _ => {
            bytes = (0..rng.random_range(1..300))
                .map(|_| rng.random())
                .collect()
        }
    }
    bytes
}

async fn send(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the relay accepts connections");
    // The relay may close the connection at any byte.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(READ_TIMEOUT, stream.read_to_end(&mut answer)).await;
}

// Guards against one malformed message that takes a whole process down.
#[tokio::test]
async fn relay_goes_on_after_altered_messages() {
    let cases = setting("BALSAMFOLD_FUZZ_CASES", 40);
    let mut rng = StdRng::seed_from_u64(setting("BALSAMFOLD_FUZZ_SEED", 1));
    let fleet = RelayFleet::start(&sample_open_plan(), &["front", "stock"]).await;
    let listen = fleet.relays[0].daemon.node().settings.raw.listen.clone();
    let hello = hello(&fleet);
    let targets = [
        (listen.callers, requests(), Vec::new()),
        (listen.ready, requests(), Vec::new()),
        (listen.reports, reports(), Vec::new()),
        (listen.peers, frames(), Vec::new()),
        (listen.peers, frames(), hello),
    ];
    for (address, samples, first) in targets {
        for case in 0..cases {
            let sample = &samples[rng.random_range(0..samples.len())];
            let message = [first.clone(), alter(sample, &mut rng)].concat();
            send(address, &message).await;
            if case % 10 == 0 {
                let response = fleet.call(0, &format!("r{case}"), "/stock/1", None).await;
                assert_eq!(response.status, StatusCode::OK, "{address} {response:?}");
            }
        }
    }
    fleet.report(0, 100, false).await;
    let response = fleet.call(0, "last", "/stock/1", None).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
}
