//! Faults that tests and tools switch on and off.

use std::collections::BTreeSet;

use balsamfold::values::ZoneId;
use serde::Deserialize;
use serde::Serialize;

/// What is wrong with the service at present.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// All connections are closed without a reply, and nothing takes effect.
    pub is_down: bool,
    /// Each call waits this long before it is looked at.
    pub delay_ms: u64,
    /// So many of the next compare-and-swaps take effect but get no reply.
    pub lost_swap_replies: u32,
    /// The service goes down with the next compare-and-swap of the configuration, which takes effect.
    ///
    /// Its writer gets a reply unless that is lost too; no watcher gets one.
    pub goes_down_with_swap: bool,
    /// Compare-and-swaps wait until so many of them are waiting, and then all go on.
    pub swap_barrier: u32,
    /// Calls from these zones are treated as if the service were down.
    pub cut_zones: BTreeSet<ZoneId>,
    /// Calls above this number in a second are refused as busy; none for no limit.
    pub calls_per_s: Option<u32>,
}

impl Faults {
    /// Returns whether a caller in `zone` cannot reach the service.
    pub fn cuts(&self, zone: Option<&ZoneId>) -> bool {
        self.is_down || zone.is_some_and(|zone| self.cut_zones.contains(zone))
    }
}
