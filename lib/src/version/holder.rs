//! The configuration that is in force on a node.

use std::sync::Arc;

use parking_lot::RwLock;
use tokio::sync::watch;

use super::Configuration;
use super::IndexedConfiguration;
use crate::process::events::version as events;
use crate::values::ConfigVersion;

plain_value! {
    /// The outcome of offering a configuration to a node.
    #[serde(rename_all = "kebab-case")]
    pub enum OfferOutcome {
        /// The configuration is newer than the previous one and is now in force.
        Accepted,
        /// The node has this version or a newer one and keeps it.
        NotNewer,
    }
}

/// Holds the highest version of the configuration that a node has seen.
///
/// Configurations arrive from the platform and from peers in any order; the version never
/// decreases. The only lock is held just to clone or replace the pointer, and no other lock is
/// acquired while it is held.
#[derive(Debug)]
pub struct ConfigurationHolder {
    in_force: RwLock<Option<Arc<IndexedConfiguration>>>,
    version: watch::Sender<ConfigVersion>,
}

impl ConfigurationHolder {
    /// Creates a holder without a configuration. Its version is 0.
    pub fn new() -> Self {
        Self {
            in_force: RwLock::new(None),
            version: watch::Sender::new(ConfigVersion::default()),
        }
    }

    /// Puts `configuration` in force if it is newer than the current one.
    pub fn offer(&self, configuration: Configuration) -> OfferOutcome {
        let version = configuration.version;
        if version <= self.version() {
            events::STALE_IGNORED.log(format_args!("version {version}"));
            return OfferOutcome::NotNewer;
        }
        let indexed = Arc::new(IndexedConfiguration::new(configuration));
        let outcome = self.replace(indexed);
        match outcome {
            OfferOutcome::Accepted => events::IN_FORCE.log(format_args!("version {version}")),
            OfferOutcome::NotNewer => events::STALE_IGNORED.log(format_args!("version {version}")),
        }
        self.version.send_if_modified(|known| raise(known, version));
        outcome
    }

    /// Returns the configuration in force, or `None` before the first one.
    pub fn current(&self) -> Option<Arc<IndexedConfiguration>> {
        self.in_force.read().clone()
    }

    /// Returns the version in force, or 0 before the first configuration.
    pub fn version(&self) -> ConfigVersion {
        let in_force = self.in_force.read();
        in_force
            .as_ref()
            .map_or(ConfigVersion::default(), |held| held.version())
    }

    /// Returns a receiver that is notified when the version increases.
    pub fn subscribe(&self) -> watch::Receiver<ConfigVersion> {
        self.version.subscribe()
    }

    fn replace(&self, offered: Arc<IndexedConfiguration>) -> OfferOutcome {
        let mut in_force = self.in_force.write();
        match in_force.as_ref() {
            Some(held) if held.version() >= offered.version() => OfferOutcome::NotNewer,
            _ => {
                *in_force = Some(offered);
                OfferOutcome::Accepted
            }
        }
    }
}

impl Default for ConfigurationHolder {
    fn default() -> Self {
        Self::new()
    }
}

fn raise(known: &mut ConfigVersion, version: ConfigVersion) -> bool {
    let rises = version > *known;
    *known = version.max(*known);
    rises
}
