//! Records of the outcomes at callers and of the runs at backend servers, each made where it happens.

use std::collections::BTreeMap;
use std::sync::Arc;

use balsamfold::request::Verdict;
use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio_util::task::AbortOnDropHandle;

use crate::backend_server::Run;

const DATAGRAM_BYTES_MAX: usize = 16 * 1_024;

/// A caller's record of one request over all its resends.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The organisation.
    pub organisation: String,
    /// The path.
    pub path: String,
    /// Time at which the request ended, in milliseconds since the start of the load.
    pub finished_ms: u64,
    /// The outcome of the request.
    pub outcome: RequestOutcome,
}

/// The outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// A complete response to this request.
    Whole,
    /// A response that was incomplete or belonged to another request.
    Wrong,
    /// A refusal or failure, with the highest verdict of all sends.
    Refused(Verdict),
    /// No response.
    Lost,
}

/// Collects the runs that backend servers report.
#[derive(Debug)]
pub struct RunCollector {
    runs: Arc<Mutex<Vec<Run>>>,
    address: std::net::SocketAddr,
    _receiving: AbortOnDropHandle<()>,
}

impl RunCollector {
    /// Starts to receive the reports of stand-ins on a free UDP port.
    pub async fn start() -> std::io::Result<Self> {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await?;
        let address = socket.local_addr()?;
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let received = Arc::clone(&runs);
        let receiving = tokio::spawn(async move {
            let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
            while let Ok(bytes) = socket.recv(&mut buffer).await {
                if let Ok(run) = serde_json::from_slice(&buffer[..bytes]) {
                    received.lock().push(run);
                }
            }
        });
        Ok(Self {
            runs,
            address,
            _receiving: AbortOnDropHandle::new(receiving),
        })
    }

    /// Returns the address to which stand-ins report.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Removes and returns all runs so far.
    pub fn take(&self) -> Vec<Run> {
        std::mem::take(&mut *self.runs.lock())
    }
}

/// Counts runs by path and body.
pub fn runs_by_request(runs: &[Run]) -> BTreeMap<(&str, &str), usize> {
    let mut counts = BTreeMap::new();
    for run in runs {
        *counts
            .entry((run.path.as_str(), run.body.as_str()))
            .or_default() += 1;
    }
    counts
}
