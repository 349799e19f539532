//! Records the requests that ran, so that checks do not depend on what the product reports.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;

use http::HeaderMap;
use http::header;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// One run of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The path that was called.
    pub path: String,
    /// The body, which tests use to identify the request.
    pub body: String,
    /// Whether the request carried a caller's key.
    pub carried_key: bool,
    /// The names of its headers, one entry for each header line.
    pub header_names: Vec<String>,
}

/// Records the requests that ran.
#[derive(Debug, Default)]
pub struct Recorder {
    runs: Mutex<Vec<Run>>,
    /// Sends each run to another process before it starts, so that a crash does not lose the record.
    report_socket: Option<UdpSocket>,
}

impl Recorder {
    /// Creates a recorder that also sends each run to `address`.
    pub fn reporting_to(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.connect(address)?;
        Ok(Self {
            runs: Mutex::default(),
            report_socket: Some(socket),
        })
    }

    /// Records that a request starts to run.
    pub fn record(&self, path: &str, headers: &HeaderMap, body: &[u8]) {
        let run = Run {
            path: path.to_owned(),
            body: String::from_utf8_lossy(body).into_owned(),
            carried_key: headers.contains_key(header::AUTHORIZATION),
            header_names: headers.iter().map(|(name, _)| name.to_string()).collect(),
        };
        if let Some(report_socket) = &self.report_socket {
            let datagram = serde_json::to_vec(&run).unwrap_or_default();
            // A lost report can hide a second run, but cannot show a run that did not happen.
            let _ = report_socket.send(&datagram);
        }
        self.runs.lock().push(run);
    }

    /// Returns all runs in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }
}
