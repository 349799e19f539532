//! Signals to a relay process that has open requests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balsamfold_platform::protocol;
use rustix::process::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::relay_fleet::Fleet;
use crate::relay_fleet::GRACE;
use crate::relay_fleet::configuration;

/// Time for the process to receive a signal or a request.
const PAUSE: Duration = Duration::from_millis(300);

async fn start(name: &str, services: &[&'static str]) -> Fleet {
    let routes = [("r-once", "/once/", "unsafe", "stock")];
    Fleet::start(name, &configuration(1, &routes), services).await
}

/// Sends a request whose server works for `work`, and reads until the connection ends.
async fn send(address: SocketAddr, id: &str, work: Duration) -> JoinHandle<String> {
    let name = protocol().headers.request_id;
    let work_ms = work.as_millis();
    let request = format!(
        "POST /once/{work_ms} HTTP/1.1\r\nHost: shop\r\n{name}: {id}\r\nContent-Length: 0\r\n\r\n"
    );
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("it is sent");
    tokio::spawn(async move {
        let mut received = Vec::new();
        // A reset keeps what was read before.
        let _ = stream.read_to_end(&mut received).await;
        String::from_utf8(received).expect("headers and bodies are text")
    })
}

// Guards against a second signal that ends a process before its stop has answered what is open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_stop_signal_cuts_no_request() {
    let fleet = start("second-stop-signal", &["stock"]).await;
    let machine = &fleet.machines[0];
    let caller = send(machine.callers, "r1", Duration::from_secs(3)).await;
    tokio::time::sleep(PAUSE).await;
    let signals = async {
        for signal in [Signal::TERM, Signal::INT, Signal::HUP] {
            tokio::time::sleep(PAUSE).await;
            machine.signal(signal);
        }
    };
    let (has_stopped, ()) = tokio::join!(machine.stop(), signals);
    assert!(has_stopped);
    let received = caller.await.expect("the task ends");
    assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
}

// Guards against a reload that cuts requests or ends the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_cuts_no_request() {
    let fleet = start("reload", &["stock"]).await;
    let machine = &fleet.machines[0];
    let caller = send(machine.callers, "r1", Duration::from_secs(1)).await;
    for grace in ["1", "0", "6"] {
        tokio::time::sleep(PAUSE / 3).await;
        machine.change_setting("stop_grace_s", grace);
        machine.signal(Signal::HUP);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(machine.is_ready().await);
    assert!(machine.stop().await);
    let received = caller.await.expect("the task ends");
    assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
}

// Guards against requests that end without a response when a process exits at the end of a stop, also
// while the store gives no response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_have_responses_before_the_process_exits() {
    let fleet = start("responses-before-exit", &["front", "stock"]).await;
    let machine = &fleet.machines[0];
    let mut callers = Vec::new();
    for number in 0..40 {
        let id = format!("r{number}");
        callers.push(send(machine.callers, &id, Duration::from_secs(7)).await);
    }
    tokio::time::sleep(PAUSE).await;
    fleet.store.go_silent();
    let started_at = Instant::now();
    assert!(machine.stop().await);
    assert!(started_at.elapsed() < GRACE);
    for caller in callers {
        let received = caller.await.expect("the task ends");
        assert!(received.starts_with("HTTP/1.1 502 "), "{received:?}");
        assert!(received.ends_with("bad-answer"), "{received:?}");
    }
}
