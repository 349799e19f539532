//! The protocol between a relay and the callers, backend servers and store of one platform.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderName;
use http::Method;

use crate::values::ServiceId;
use crate::values::SlotCount;
use crate::version::TrafficPlan;

/// Header names used by a platform's callers and backend servers.
#[derive(Clone, Debug)]
pub struct ProtocolHeaders {
    /// Identifies one attempt of a caller; servers echo it.
    pub request_id: HeaderName,
    /// Time in milliseconds for which the sender waits.
    pub deadline_ms: HeaderName,
    /// Names the organisation to the backend server.
    pub organisation: HeaderName,
    /// Names the only backend server that may run the request.
    pub expected_server: HeaderName,
    /// Marks a response of a backend server that did not run the request.
    pub not_run: HeaderName,
    /// Names the service that sent the request.
    pub caller_service: HeaderName,
    /// Says, with the value `1` in a response of a backend server, that the server leaves.
    pub leaving: HeaderName,
    /// Names, in a response of a backend server, the requests per second that it takes from all
    /// callers together.
    pub rate_limit: HeaderName,
}

/// A report of a backend server about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Identifies this incarnation of the server.
    pub server_id: String,
    /// Unix time of the server's start in milliseconds.
    pub born_ms: u64,
    /// Increases with each report of one incarnation.
    pub sequence: u64,
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// Address at which the server listens.
    pub address: SocketAddr,
    /// Number of requests that it runs at the same time.
    pub slots: SlotCount,
    /// Whether the server wants no new work.
    pub is_draining: bool,
    /// Time in milliseconds for which the server is still cold; 0 if it is warm.
    pub cold_left_ms: u64,
}

/// A call to the listener for reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerCall {
    /// A server's report about itself.
    Report(ServerReport),
    /// A server leaves.
    Leave {
        /// The incarnation that leaves.
        server_id: String,
    },
    /// The call is not part of the protocol.
    Unknown,
}

/// The functions and names that adapt a relay to one platform.
#[derive(Clone)]
pub struct Protocol {
    /// Header names.
    pub headers: ProtocolHeaders,
    /// Scheme of the header that holds a caller's key.
    pub key_scheme: &'static str,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Key of the configuration in the store.
    pub configuration_key: &'static str,
    /// Prefix of all keys that the operators write, among them that of the configuration.
    pub operator_prefix: &'static str,
    /// Prefix of the keys that name evacuated zones, below [`Protocol::operator_prefix`]. Any value
    /// counts.
    pub evacuation_prefix: &'static str,
    /// Decodes a stored configuration, or returns what is wrong with it.
    pub decode_configuration: fn(&[u8]) -> Result<TrafficPlan, String>,
    /// Decodes a call to the listener for reports from its method, path and body, or returns what
    /// is wrong with it.
    pub decode_server_call: fn(&Method, &str, &Bytes) -> Result<ServerCall, String>,
}

impl fmt::Debug for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Protocol").finish_non_exhaustive()
    }
}
