//! Measures the cost of a poll of another node for a newer configuration when there is none.
//!
//! Usage: `cargo run --release --example configuration_poll`. Client, relay and node run in this
//! process. The relay counts the bytes of HTTP, without the headers of TCP and IP.

use std::time::Duration;
use std::time::Instant;

use balsamfold::process::control;
use balsamfold::process::control::ControlClient;
use testutils::fleet::ConfiguredFleet;
use testutils::fleet::sample_configuration;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const POLLS: u32 = 2_000;
const TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let configuration = sample_configuration(&["a"], &["small"], &["stock"]);
    let fleet = ConfiguredFleet::start(&configuration, &["a"]).await;
    let node = fleet.nodes[0].node();
    let relay = TcpListener::bind("127.0.0.1:0").await?;
    let relay_address = relay.local_addr()?;
    let node_address = node.addresses.control;
    let relaying = tokio::spawn(async move {
        let (mut from, _) = relay.accept().await?;
        let mut to = TcpStream::connect(node_address).await?;
        copy_bidirectional(&mut from, &mut to).await
    });
    let secret = &node.settings.fleet_secret;
    let version = configuration.version;
    let client = control::connect(relay_address, secret, TIMEOUT)?;
    client.newer_configuration(version).await?;
    drop(client);
    let (sent_bytes, received_bytes) = relaying.await??;
    println!("one poll: {sent_bytes} bytes sent, {received_bytes} bytes received");
    let started = Instant::now();
    for _ in 0..POLLS {
        let client = control::connect(node_address, secret, TIMEOUT)?;
        client.newer_configuration(version).await?;
    }
    let each = started.elapsed() / POLLS;
    println!("request and response on one thread: {each:?} per poll");
    Ok(())
}
