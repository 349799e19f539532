//! Client for control calls to a node.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee_http_client::HttpClient;
use jsonrpsee_http_client::HttpClientBuilder;
use jsonrpsee_http_client::RpcService;
use jsonrpsee_http_client::transport::HttpBackend;

use super::signature::CONTROL_BYTES_MAX;
use super::signature::SignLayer;
use super::signature::SignService;
use crate::process::secret::FleetSecret;
use crate::process::secret::KeyPurpose;

/// Client for the control channel of one node.
pub type ControlHttpClient =
    HttpClient<jsonrpsee_http_client::RpcLogger<RpcService<SignService<HttpBackend>>>>;

/// Creates a client for the control channel at `address`. It connects on the first call.
pub fn connect(
    address: SocketAddr,
    secret: &FleetSecret,
    timeout: Duration,
) -> Result<ControlHttpClient, ClientError> {
    let key = secret.derive(KeyPurpose::Control);
    HttpClientBuilder::default()
        .max_response_size(CONTROL_BYTES_MAX as u32)
        .request_timeout(timeout)
        .set_http_middleware(tower::ServiceBuilder::new().layer(SignLayer { key }))
        .build(format!("http://{address}"))
}
