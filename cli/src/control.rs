//! Control calls to one node.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use balsamfold::process::control;
use balsamfold::process::control::ControlClient;
use balsamfold::process::control::ControlHttpClient;
use balsamfold::process::secret::FleetSecret;
use balsamfold::version::Configuration;
use clap::ArgMatches;
use jsonrpsee::core::ClientError;

use crate::failure::Exit;
use crate::failure::Failure;
use crate::flags;

/// Creates a client of the node that the command line names.
pub(crate) fn connect(matches: &ArgMatches) -> Result<ControlHttpClient, Failure> {
    connect_to(flags::node(matches)?, matches)
}

/// Creates clients of the nodes to notify of a change directly.
pub(crate) fn connect_to_notified(matches: &ArgMatches) -> Result<Vec<NotifiedNode>, Failure> {
    let addresses = flags::nodes_to_notify(matches).into_iter();
    let nodes = addresses.map(|address| {
        let client = connect_to(address, matches)?;
        Ok(NotifiedNode { address, client })
    });
    nodes.collect()
}

/// A node that a command notifies of a change directly.
pub(crate) struct NotifiedNode {
    address: SocketAddr,
    client: ControlHttpClient,
}

impl NotifiedNode {
    /// Offers an accepted configuration to the node and returns a note about the outcome.
    pub(crate) async fn notify(&self, accepted: &Configuration) -> String {
        let address = self.address;
        match self.client.offer_configuration(accepted.clone()).await {
            Ok(version) => format!("node {address} has version {version} in force"),
            Err(error) => format!("node {address} was not notified: {error}"),
        }
    }
}

fn connect_to(address: SocketAddr, matches: &ArgMatches) -> Result<ControlHttpClient, Failure> {
    let secret = fleet_secret(matches)?;
    let timeout = Duration::from_millis(flags::timeout_ms(matches));
    let client = control::connect(address, &secret, timeout);
    client.map_err(|error| Failure::new(Exit::Failed, error))
}

/// Describes a failed call that changes nothing.
pub(crate) fn read_failure(error: &ClientError) -> Failure {
    Failure::new(
        Exit::Failed,
        format!("the call to the node failed: {error}"),
    )
    .hint("check the control address and the fleet secret")
}

/// Describes a failed call that may have taken effect if it timed out.
pub(crate) fn write_failure(error: &ClientError) -> Failure {
    match error {
        ClientError::RequestTimeout => Failure::new(
            Exit::Unknown,
            "the call to the node timed out; it may have taken effect",
        )
        .hint("run `balsamfold dump ADDR` to check"),
        _ => read_failure(error),
    }
}

fn fleet_secret(matches: &ArgMatches) -> Result<FleetSecret, Failure> {
    let text = match matches.get_one::<PathBuf>(flags::FLEET_SECRET_FILE) {
        Some(path) => fs::read_to_string(path).map_err(|error| {
            let message = format!("--fleet-secret-file: {}: {error}", path.display());
            Failure::new(Exit::Usage, message).hint("give the path of a readable file")
        })?,
        None => flags::text(matches, flags::FLEET_SECRET).to_owned(),
    };
    text.trim().parse().map_err(|error| {
        Failure::new(Exit::Usage, format!("--fleet-secret: {error}"))
            .hint("give --fleet-secret-file, or set BALSAMFOLD_FLEET_SECRET")
    })
}
