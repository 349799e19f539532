//! Settings as given by an operator.

/// Settings of a node as given by an operator, one text for each flag.
///
/// [`NodeSettings`](super::NodeSettings) is created from it by `TryFrom`.
#[derive(Clone, Default)]
pub struct RawNodeSettings {
    /// `--node`
    pub node: String,
    /// `--zone`
    pub zone: String,
    /// `--service`
    pub service: String,
    /// `--caller-listen`
    pub caller_listen: String,
    /// `--local-listen`
    pub local_listen: String,
    /// `--peer-listen`
    pub peer_listen: String,
    /// `--control-listen`
    pub control_listen: String,
    /// `--probe-listen`
    pub probe_listen: String,
    /// `--platform`
    pub platform: String,
    /// `--seed`, which may be repeated.
    pub seeds: Vec<String>,
    /// `--fleet-secret`, or the content of the file that `--fleet-secret-file` names.
    pub fleet_secret: String,
    /// `--metrics`; empty for none.
    pub metrics: String,
    /// `--body-bytes-max`
    pub body_bytes_max: String,
    /// `--connections-max`
    pub connections_max: String,
    /// `--client-timeout-ms`
    pub client_timeout_ms: String,
    /// `--leave-notice-ms`
    pub leave_notice_ms: String,
    /// `--announcement-ms`
    pub announcement_ms: String,
}
