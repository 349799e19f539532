//! Callers of nodes that leave before their requests have run.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use testutils::backend_server::ServerPlan;
use testutils::fleet::TestFleet;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;

const CALLERS: usize = 20;
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Sends requests whose callers have left before the only thread of the runtime goes on.
fn send_and_leave(address: SocketAddr) {
    let request = format!(
        "GET /stock HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {}\r\n\r\n",
        sample_key("small").reveal()
    );
    for _ in 0..CALLERS {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.write_all(request.as_bytes()).expect("it is sent");
    }
}

async fn assert_none_runs(services: &[&str]) {
    let plans: Vec<_> = services
        .iter()
        .map(|service| ("zone-a", ServerPlan::small(service, &[])))
        .collect();
    let configuration = sample_configuration(&["zone-a"], &["small"], services);
    let fleet = TestFleet::start(configuration, &plans).await;
    send_and_leave(fleet.nodes[0].daemon.caller_address());
    tokio::time::sleep(SETTLE_TIME).await;
    let recorders = fleet.nodes.iter().map(|node| node.server.recorder());
    let runs: usize = recorders.map(|recorder| recorder.runs().len()).sum();
    assert_eq!(runs, 0);
}

// Guards against requests that run although their callers left before they were accepted.
#[tokio::test]
async fn requests_whose_callers_left_do_not_run_on_the_local_server() {
    assert_none_runs(&["stock"]).await;
}

// Guards against requests that are sent to other nodes although their callers left before they were accepted.
#[tokio::test]
async fn requests_whose_callers_left_are_not_sent_to_other_nodes() {
    assert_none_runs(&["front", "stock"]).await;
}
