//! Relays on a runtime of their own, whose only thread can be blocked.

use testutils::relay::RelayFleet;
use tokio::runtime::Runtime;

/// Returns a runtime with one thread.
pub fn runtime() -> Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let built = builder.worker_threads(1).enable_all().build();
    built.expect("a runtime can be started")
}

/// Restarts the relay at `index` on `apart`, and waits until all relays know it and are ready.
pub async fn move_apart(fleet: &mut RelayFleet, index: usize, apart: &Runtime) {
    fleet.restart_on(index, apart.handle()).await;
    fleet.report(index, 2, false).await;
    let address = fleet.relays[index].daemon.node().settings.raw.listen.peers;
    fleet
        .wait_until(|fleet| {
            fleet.relays.iter().all(|relay| {
                let members = relay.daemon.node().members();
                let mut nodes = members.nodes();
                nodes.any(|record| record.addresses.peer == address)
            })
        })
        .await;
    fleet.wait_until_ready().await;
}
