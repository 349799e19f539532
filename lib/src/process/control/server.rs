//! Server for control calls.

use std::net::SocketAddr;

use jsonrpsee::server::ServerBuilder;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;

use super::ControlServer;
use super::signature::CONTROL_BYTES_MAX;
use super::signature::VerifyLayer;
use crate::process::secret::FleetSecret;
use crate::process::secret::KeyPurpose;

/// Maximum number of concurrent connections to the control channel.
const CONTROL_CONNECTIONS_MAX: u32 = 512;

/// The control channel cannot be served.
#[derive(Debug, Snafu)]
#[snafu(display("cannot serve control calls on {address}"))]
pub struct ControlListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// A bound address for control calls that does not serve any yet.
#[derive(Debug)]
pub struct ControlListener {
    address: SocketAddr,
    socket: TcpListener,
}

/// A running control server. It serves calls until this is dropped or stopped.
#[derive(Debug)]
pub struct ControlServerHandle {
    handle: ServerHandle,
}

impl ControlListener {
    /// Binds `address`. Port 0 selects any free port.
    pub async fn bind(address: SocketAddr) -> Result<Self, ControlListenError> {
        let socket = TcpListener::bind(address)
            .await
            .context(ControlListenSnafu { address })?;
        let address = socket
            .local_addr()
            .context(ControlListenSnafu { address })?;
        Ok(Self { address, socket })
    }

    /// Returns the bound address with its actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves calls that are authenticated with `secret`.
    pub fn serve<C>(
        self,
        secret: &FleetSecret,
        control: C,
    ) -> Result<ControlServerHandle, ControlListenError>
    where
        C: ControlServer,
    {
        let address = self.address;
        let key = secret.derive(KeyPurpose::Control);
        let config = ServerConfig::builder()
            .max_connections(CONTROL_CONNECTIONS_MAX)
            .max_request_body_size(CONTROL_BYTES_MAX as u32)
            .max_response_body_size(CONTROL_BYTES_MAX as u32)
            .http_only()
            .build();
        let socket = self
            .socket
            .into_std()
            .context(ControlListenSnafu { address })?;
        let server = ServerBuilder::with_config(config)
            .set_http_middleware(tower::ServiceBuilder::new().layer(VerifyLayer { key }))
            .build_from_tcp(socket)
            .context(ControlListenSnafu { address })?;
        let handle = server.start(control.into_rpc());
        Ok(ControlServerHandle { handle })
    }
}

impl ControlServerHandle {
    /// Stops serving calls.
    pub fn stop(&self) {
        // An error here means that the server has stopped already.
        let _ = self.handle.stop();
    }
}
