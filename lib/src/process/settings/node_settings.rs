//! Validated settings of a node.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use snafu::Snafu;

use super::RawNodeSettings;
use crate::process::secret::FleetSecret;
use crate::values::NodeId;
use crate::values::ServiceId;
use crate::values::ZoneId;

/// A setting has a value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{flag}: {value:?} is not allowed: {reason}; expected {allowed}"))]
pub struct InvalidSettingError {
    /// The flag of the setting.
    pub flag: &'static str,
    /// The given value; hidden for a secret.
    pub value: String,
    /// What is wrong with the value.
    pub reason: String,
    /// Which values are allowed.
    pub allowed: &'static str,
}

/// Validated settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name of the node, which stays the same across restarts.
    pub node: NodeId,
    /// The availability zone in which the node runs.
    pub zone: ZoneId,
    /// The service of the local backend server.
    pub service: ServiceId,
    /// Listen address for callers from outside.
    pub caller_listen: SocketAddr,
    /// Listen address for the local backend server.
    pub local_listen: SocketAddr,
    /// Listen address for requests of other nodes.
    pub peer_listen: SocketAddr,
    /// Listen address for control calls of other nodes and of operators.
    pub control_listen: SocketAddr,
    /// Listen address for membership probes.
    pub probe_listen: SocketAddr,
    /// Address of the platform's key-value service.
    pub platform: SocketAddr,
    /// Probe addresses of the nodes that are queried first for the other nodes.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all nodes of the fleet share.
    pub fleet_secret: FleetSecret,
    /// Address to which metrics are sent in the statsd format; `None` sends none.
    pub metrics: Option<SocketAddr>,
    /// Maximum number of bytes in the body of a request or response.
    pub body_bytes_max: usize,
    /// Maximum number of concurrent connections from callers.
    pub connections_max: u32,
    /// Maximum time that a client may take for its headers, and again for its body.
    pub client_timeout_ms: u64,
    /// Time between the notice that the node leaves and the first refusal of new work.
    pub leave_notice_ms: u64,
    /// Time after which an announcement that was not renewed expires.
    pub announcement_ms: u64,
}

const NAME_ALLOWED: &str = "1 to 64 characters of a-z, 0-9, '-', '.' and '_'";
const ADDRESS_ALLOWED: &str = "an IP address and a port, as in 127.0.0.1:8080";
const SECRET_ALLOWED: &str = "a text of at least 16 bytes";
const BODY_BYTES_ALLOWED: &str = "1024 to 67108864";
const CONNECTIONS_ALLOWED: &str = "1 to 100000";
const CLIENT_TIMEOUT_ALLOWED: &str = "10 to 600000";
const LEAVE_NOTICE_ALLOWED: &str = "0 to 60000";
const ANNOUNCEMENT_ALLOWED: &str = "100 to 60000";
/// Replaces a secret in error messages.
const HIDDEN: &str = "(hidden)";

impl TryFrom<RawNodeSettings> for NodeSettings {
    type Error = InvalidSettingError;

    fn try_from(raw: RawNodeSettings) -> Result<Self, Self::Error> {
        let seeds: Result<_, _> = raw
            .seeds
            .iter()
            .map(|seed| parse("--seed", seed, ADDRESS_ALLOWED))
            .collect();
        Ok(Self {
            node: parse("--node", &raw.node, NAME_ALLOWED)?,
            zone: parse("--zone", &raw.zone, NAME_ALLOWED)?,
            service: parse("--service", &raw.service, NAME_ALLOWED)?,
            caller_listen: parse("--caller-listen", &raw.caller_listen, ADDRESS_ALLOWED)?,
            local_listen: parse("--local-listen", &raw.local_listen, ADDRESS_ALLOWED)?,
            peer_listen: parse("--peer-listen", &raw.peer_listen, ADDRESS_ALLOWED)?,
            control_listen: parse("--control-listen", &raw.control_listen, ADDRESS_ALLOWED)?,
            probe_listen: parse("--probe-listen", &raw.probe_listen, ADDRESS_ALLOWED)?,
            platform: parse("--platform", &raw.platform, ADDRESS_ALLOWED)?,
            seeds: seeds?,
            fleet_secret: parse_secret(&raw.fleet_secret)?,
            metrics: match raw.metrics.as_str() {
                "" => None,
                text => Some(parse("--metrics", text, ADDRESS_ALLOWED)?),
            },
            body_bytes_max: parse_within(
                "--body-bytes-max",
                &raw.body_bytes_max,
                1_024..=67_108_864,
                BODY_BYTES_ALLOWED,
            )?,
            connections_max: parse_within(
                "--connections-max",
                &raw.connections_max,
                1..=100_000,
                CONNECTIONS_ALLOWED,
            )?,
            client_timeout_ms: parse_within(
                "--client-timeout-ms",
                &raw.client_timeout_ms,
                10..=600_000,
                CLIENT_TIMEOUT_ALLOWED,
            )?,
            leave_notice_ms: parse_within(
                "--leave-notice-ms",
                &raw.leave_notice_ms,
                0..=60_000,
                LEAVE_NOTICE_ALLOWED,
            )?,
            announcement_ms: parse_within(
                "--announcement-ms",
                &raw.announcement_ms,
                100..=60_000,
                ANNOUNCEMENT_ALLOWED,
            )?,
        })
    }
}

fn parse<T>(
    flag: &'static str,
    value: &str,
    allowed: &'static str,
) -> Result<T, InvalidSettingError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    value.parse().map_err(|error: T::Err| InvalidSettingError {
        flag,
        value: value.to_owned(),
        reason: error.to_string(),
        allowed,
    })
}

fn parse_within<T>(
    flag: &'static str,
    value: &str,
    range: std::ops::RangeInclusive<T>,
    allowed: &'static str,
) -> Result<T, InvalidSettingError>
where
    T: FromStr + PartialOrd,
    T::Err: fmt::Display,
{
    let number: T = parse(flag, value, allowed)?;
    if range.contains(&number) {
        return Ok(number);
    }
    Err(InvalidSettingError {
        flag,
        value: value.to_owned(),
        reason: "number is out of range".to_owned(),
        allowed,
    })
}

fn parse_secret(text: &str) -> Result<FleetSecret, InvalidSettingError> {
    parse("--fleet-secret", text.trim(), SECRET_ALLOWED).map_err(|error| InvalidSettingError {
        value: HIDDEN.to_owned(),
        ..error
    })
}
