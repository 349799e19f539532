//! Checked settings of a relay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

use crate::process::returns::ReturnSettings;
use crate::request::RetryBound;
use crate::values::NodeId;
use crate::values::RegionId;
use crate::values::ServiceId;
use crate::values::ZoneId;

plain_data! {
    /// The settings file as written. Only `bounds` can change while the relay runs.
    #[serde(deny_unknown_fields)]
    pub struct RawRelaySettings {
        /// The node's name.
        pub node: NodeId,
        /// The zone of its instance.
        pub zone: ZoneId,
        /// The service of the local backend server.
        pub service: ServiceId,
        /// The address of the backend server.
        pub server_address: SocketAddr,
        /// The address of the shared store.
        pub store_address: SocketAddr,
        /// Memory above which the process is killed, in MB.
        pub memory_limit_mb: Option<f64>,
        /// Maximum number of connections of callers at the same time.
        pub caller_connections_max: Option<u32>,
        /// Listen addresses of the relay.
        pub listen: ListenSettings,
        /// The region of each zone.
        pub zones: BTreeMap<ZoneId, RegionId>,
        /// Time limits that the operators set.
        pub bounds: BoundSettings,
        /// The loads that nodes pass on. Without this table they send none, and choose among servers
        /// by their own observations only.
        pub load_reports: Option<LoadReportSettings>,
        /// How the node keeps the rates of organisations.
        pub rates: Option<RateSettings>,
        /// Places for refused callers that come back, if they get any.
        pub returns: Option<ReturnSettings>,
    }
}

plain_data! {
    /// The loads that nodes pass on in the messages that they exchange.
    #[serde(deny_unknown_fields)]
    pub struct LoadReportSettings {
        /// Maximum number of loads in one message, about 15 bytes each.
        pub per_message: u8,
    }
}

plain_data! {
    /// Listen addresses of a relay.
    #[serde(deny_unknown_fields)]
    pub struct ListenSettings {
        /// Requests of callers on the instance and of its backend server.
        pub callers: SocketAddr,
        /// Other nodes.
        pub peers: SocketAddr,
        /// Readiness checks.
        pub ready: SocketAddr,
        /// Reports of the backend server.
        pub reports: SocketAddr,
        /// Metrics, if they are served.
        pub metrics: Option<SocketAddr>,
    }
}

plain_data! {
    /// How a node keeps the rates of organisations.
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct RateSettings {
        /// Whether a holder that the store turns away calls it through other nodes of its zone.
        pub records_through_nodes: bool,
    }
}

plain_data! {
    /// Time limits that the operators set.
    #[serde(deny_unknown_fields)]
    pub struct BoundSettings {
        /// Longest time until a new configuration is in force.
        pub configuration_apply_ms: u64,
        /// Longest time for which a withdrawn key may still be accepted.
        pub key_withdrawal_ms: u64,
        /// Whether requests with keys are refused when that time cannot be kept otherwise.
        pub key_withdrawal_is_strict: bool,
        /// Time after a stop signal before the process is killed.
        pub stop_grace_s: f64,
        /// Retries that a service may get for each request.
        pub retry_ratio: f64,
        /// Retries that a service may get beyond the ratio in each window, over the whole fleet.
        pub retry_slack: u64,
        /// Length of the windows in which retries are counted.
        pub retry_window_s: f64,
        /// Requests that a cold server may get in a second, as a multiple of those per second that the
        /// configuration names. Without it, cold servers are treated like others.
        pub cold_ratio: Option<f64>,
        /// Requests that a cold server may get in a second beyond that.
        pub cold_slack: Option<f64>,
        /// Longest time until the servers of an evacuated zone get no more requests. Without it, the
        /// store is not asked for evacuated zones.
        pub evacuation_ms: Option<u64>,
    }
}

impl BoundSettings {
    /// Fraction of the stop grace that a planned stop uses. The last sixth is left for the process
    /// to exit on an instance that is short of CPU time.
    const STOP_FRACTION: f64 = 5.0 / 6.0;

    /// Returns the confirmation age from which requests with keys are refused, if there is one.
    pub fn key_confirmation_max(&self) -> Option<Duration> {
        let limit = Duration::from_millis(self.key_withdrawal_ms);
        self.key_withdrawal_is_strict.then_some(limit)
    }

    /// Returns the time in which a new configuration must be in force.
    pub fn configuration_apply(&self) -> Duration {
        Duration::from_millis(self.configuration_apply_ms)
    }

    /// Returns the bound on the retries of a service.
    pub fn retry_bound(&self) -> RetryBound {
        RetryBound {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Returns the requests that a cold server may get in any second, if it takes `per_s` requests per
    /// second, or `None` if there is no bound.
    pub fn cold_requests_max(&self, per_s: f64) -> Option<u32> {
        let (ratio, slack) = (self.cold_ratio?, self.cold_slack?);
        Some((per_s * ratio + slack).floor() as u32)
    }

    /// Returns the time after a stop signal after which the process is killed.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }

    /// Returns the time in which requests in flight are finished during a planned stop.
    pub fn stop_limit(&self) -> Duration {
        self.stop_grace().mul_f64(Self::STOP_FRACTION)
    }
}

/// The settings file is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RelaySettingsError {
    /// The text does not have the documented form.
    #[snafu(display("{reason}"))]
    Syntax {
        /// The location and the cause.
        reason: String,
    },
    /// Values are out of range or do not fit each other.
    #[snafu(display("{}", faults.join("; ")))]
    Values {
        /// All faults.
        faults: Vec<String>,
    },
}

/// Checked settings of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// The settings as written.
    pub raw: RawRelaySettings,
}

impl RelaySettings {
    /// Shortest stop grace in which a planned stop can finish requests.
    const STOP_GRACE_MIN_S: f64 = 1.0;
    /// Least and largest memory limit.
    const MEMORY_LIMIT_MB: std::ops::RangeInclusive<f64> = 64.0..=1_048_576.0;
    /// Memory limit if the settings name none. Instances have at least that much.
    const MEMORY_LIMIT_DEFAULT_MB: f64 = 160.0;
    /// Least and largest number of loads in one message.
    const LOADS_PER_MESSAGE: std::ops::RangeInclusive<u8> = 1..=16;
    /// Least and largest number of connections of callers.
    const CALLER_CONNECTIONS: std::ops::RangeInclusive<u32> = 16..=100_000;
    /// Most connections of callers if the settings name no number.
    const CALLER_CONNECTIONS_DEFAULT: usize = 3_000;
    /// Part of the memory limit that is left beside bodies, heads and read buffers, in percent.
    const CONNECTION_PERCENT: usize = 28;
    /// Memory of a process without connections, which is taken from that part.
    const IDLE_PROCESS_BYTES: usize = 8_000_000;
    /// Memory of a connection with an unfinished request, beside what counts.
    const CONNECTION_BYTES: usize = 26_000;
    /// Part of the descriptors that is left for connections to the server and to other nodes, files and listeners.
    const OWN_DESCRIPTORS_FRACTION: f64 = 0.25;
    /// Shortest and longest window in which retries are counted.
    const RETRY_WINDOW_S: std::ops::RangeInclusive<f64> = 1.0..=3_600.0;

    /// Reads and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, RelaySettingsError> {
        let raw: RawRelaySettings =
            toml::from_str(text).map_err(|error| RelaySettingsError::Syntax {
                reason: error.to_string(),
            })?;
        Self::try_from(raw)
    }

    /// Returns the memory above which the process is killed, in bytes.
    pub fn memory_limit_bytes(&self) -> usize {
        let limit_mb = self.raw.memory_limit_mb;
        (limit_mb.unwrap_or(Self::MEMORY_LIMIT_DEFAULT_MB) * 1e6) as usize
    }
}

impl RelaySettings {
    /// Returns the maximum number of connections of callers: as set, or as many as fit into the memory and, if there
    /// is a limit on them, into `descriptors_max` descriptors.
    pub fn caller_connections_max(&self, descriptors_max: Option<u64>) -> u32 {
        let memory_bytes = self.memory_limit_bytes() / 100 * Self::CONNECTION_PERCENT;
        let in_memory =
            memory_bytes.saturating_sub(Self::IDLE_PROCESS_BYTES) / Self::CONNECTION_BYTES;
        let descriptors = descriptors_max.map_or(f64::INFINITY, |descriptors| descriptors as f64);
        let in_descriptors = (descriptors * (1.0 - Self::OWN_DESCRIPTORS_FRACTION)) as usize;
        let default = in_memory
            .min(in_descriptors)
            .min(Self::CALLER_CONNECTIONS_DEFAULT)
            .max(*Self::CALLER_CONNECTIONS.start() as usize) as u32;
        self.raw.caller_connections_max.unwrap_or(default)
    }
}

impl TryFrom<RawRelaySettings> for RelaySettings {
    type Error = RelaySettingsError;

    fn try_from(raw: RawRelaySettings) -> Result<Self, Self::Error> {
        let mut faults = Vec::new();
        let bounds = &raw.bounds;
        if !raw.zones.contains_key(&raw.zone) {
            faults.push(format!("zone: {:?} is none of `zones`", raw.zone.as_str()));
        }
        for (name, value) in [
            (
                "bounds.configuration_apply_ms",
                bounds.configuration_apply_ms,
            ),
            ("bounds.key_withdrawal_ms", bounds.key_withdrawal_ms),
        ] {
            if value == 0 {
                faults.push(format!("{name}: must be at least 1"));
            }
        }
        if let Some(limit_mb) = raw.memory_limit_mb
            && !Self::MEMORY_LIMIT_MB.contains(&limit_mb)
        {
            faults.push("memory_limit_mb: must be from 64 to 1048576".to_owned());
        }
        if let Some(connections_max) = raw.caller_connections_max
            && !Self::CALLER_CONNECTIONS.contains(&connections_max)
        {
            faults.push("caller_connections_max: must be from 16 to 100000".to_owned());
        }
        if bounds.stop_grace_s.is_nan() || bounds.stop_grace_s < Self::STOP_GRACE_MIN_S {
            faults.push(format!(
                "bounds.stop_grace_s: must be at least {}",
                Self::STOP_GRACE_MIN_S
            ));
        }
        if !(0.0..=1.0).contains(&bounds.retry_ratio) {
            faults.push("bounds.retry_ratio: must be from 0 to 1".to_owned());
        }
        if !Self::RETRY_WINDOW_S.contains(&bounds.retry_window_s) {
            faults.push("bounds.retry_window_s: must be from 1 to 3600".to_owned());
        }
        let cold = [
            ("bounds.cold_ratio", bounds.cold_ratio),
            ("bounds.cold_slack", bounds.cold_slack),
        ];
        for (name, value) in cold {
            if value.is_some_and(|value| !value.is_finite() || value < 0.0) {
                faults.push(format!("{name}: must be finite and not negative"));
            }
        }
        if bounds.cold_ratio.is_some() != bounds.cold_slack.is_some() {
            faults.push("bounds: cold_ratio and cold_slack belong together".to_owned());
        }
        if let Some(settings) = &raw.load_reports
            && !Self::LOADS_PER_MESSAGE.contains(&settings.per_message)
        {
            faults.push("load_reports.per_message: must be from 1 to 16".to_owned());
        }
        faults.extend(raw.returns.iter().flat_map(ReturnSettings::faults));
        match faults.is_empty() {
            true => Ok(Self { raw }),
            false => ValuesSnafu { faults }.fail(),
        }
    }
}
