//! The names by which callers and backend servers of one platform speak to a relay.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderName;
use http::Method;

use crate::values::ServiceId;
use crate::values::SlotCount;
use crate::version::TrafficPlan;

/// Header names of a platform's callers and backend servers.
#[derive(Clone, Debug)]
pub struct ProtocolHeaders {
    /// Identifies one attempt of a caller; servers echo it.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: HeaderName,
    /// Names the organisation to the backend server.
    pub organisation: HeaderName,
    /// Names the only backend server that may run the request.
    pub expected_server: HeaderName,
    /// Marks an answer of a backend server that did not run the request.
    pub not_run: HeaderName,
    /// Names the service from which the request came.
    pub caller_service: HeaderName,
}

/// A report that a backend server makes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Names this life of the server.
    pub server_id: String,
    /// Unix time of the server's start in milliseconds.
    pub born_ms: u64,
    /// Rises with each report of one life.
    pub sequence: u64,
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// Where the server listens.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Whether the server wants new work.
    pub is_draining: bool,
}

/// What a call at the address for reports says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// A server reports about itself.
    Report(ServerReport),
    /// A server leaves.
    Leave {
        /// The life of the server that leaves.
        server_id: String,
    },
    /// The call is none of the known ones.
    Unknown,
}

/// The functions and names that fit a relay to one platform.
#[derive(Clone)]
pub struct Protocol {
    /// Header names.
    pub headers: ProtocolHeaders,
    /// Scheme of the header that holds a caller's key.
    pub key_scheme: &'static str,
    /// Path of the readiness question.
    pub ready_path: &'static str,
    /// The store's key that holds the configuration.
    pub configuration_key: &'static str,
    /// Reads a stored configuration, or says what is wrong with it.
    pub decode_configuration: fn(&[u8]) -> Result<TrafficPlan, String>,
    /// Reads a call at the address for reports, or says what is wrong with it.
    pub decode_control: fn(&Method, &str, &Bytes) -> Result<ControlCall, String>,
}

impl fmt::Debug for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Protocol").finish_non_exhaustive()
    }
}
