//! Metrics in the statsd format over UDP.

use std::fmt;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

use crate::request::Refusal;

/// Prefix of the name of each metric.
const PREFIX: &str = "balsamfold";
/// Maximum number of metrics that wait to be sent. Further ones are dropped.
const QUEUE_MAX: usize = 4_096;

/// A number that a node reports at regular intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Requests that run on the backend server.
    InFlight,
    /// Requests that wait for a slot.
    Waiting,
    /// Slots that the adaptive limit allows.
    LimitSlots,
    /// Known nodes that accept work.
    Members,
    /// Version of the configuration in force.
    ConfigVersion,
}

impl Gauge {
    /// Returns the name of the metric.
    pub fn name(self) -> &'static str {
        match self {
            Self::InFlight => "in_flight_requests",
            Self::Waiting => "waiting_requests",
            Self::LimitSlots => "limit_slots",
            Self::Members => "members",
            Self::ConfigVersion => "config_version",
        }
    }
}

/// Sends metrics without waiting for the receiver. A lost metric is not sent again.
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sends metrics to `receiver`; `None` discards them.
    pub fn start(receiver: Option<SocketAddr>) -> io::Result<Self> {
        let Some(receiver) = receiver else {
            let client = StatsdClient::from_sink(PREFIX, NopMetricSink);
            return Ok(Self { client });
        };
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(receiver, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_MAX);
        Ok(Self {
            client: StatsdClient::from_sink(PREFIX, sink),
        })
    }

    /// Records a response of a backend server to a caller's request, with its latency.
    pub fn record_response(&self, latency: Duration) {
        self.client.count("answered", 1).ok();
        self.client.time("latency", latency).ok();
    }

    /// Records the refusal of a caller's request.
    pub fn record_refusal(&self, refusal: &Refusal) {
        self.client
            .count_with_tags("refused", 1)
            .with_tag("code", refusal.reason.code())
            .with_tag("verdict", refusal.verdict.as_str())
            .send();
    }

    /// Reports the current value of a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        self.client.gauge(gauge.name(), value).ok();
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics(..)")
    }
}
