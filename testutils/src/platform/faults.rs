//! Faults of the stand-in that tests and tools switch on and off.

use std::collections::BTreeSet;

use balsamfold::values::ZoneId;
use serde::Deserialize;
use serde::Serialize;

/// The current faults of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// All connections are closed without a reply, and nothing takes effect.
    pub is_down: bool,
    /// Delay of each call before it is handled.
    pub delay_ms: u64,
    /// Number of following compare-and-swaps that take effect but get no reply.
    pub lost_swap_replies: u32,
    /// The service goes down with the next change of the configuration, which takes effect.
    ///
    /// The writer gets a reply unless `lost_swap_replies` applies; no watcher gets one.
    pub goes_down_with_change: bool,
    /// Changes of the configuration wait until this number of them is waiting; then all continue.
    pub change_barrier: u32,
    /// Calls from these zones are treated as if the service were down.
    pub cut_zones: BTreeSet<ZoneId>,
    /// Most calls per second; further ones are refused as busy. None is no limit.
    pub calls_per_s: Option<u32>,
}

impl Faults {
    /// Returns whether a caller in `zone` cannot reach the service.
    pub fn cuts(&self, zone: Option<&ZoneId>) -> bool {
        self.is_down || zone.is_some_and(|zone| self.cut_zones.contains(zone))
    }
}
