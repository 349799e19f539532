//! Split of rates over zones, and changes of the split that never exceed the total.
//!
//! Zones learn a new layout at different times. Until all zones have it, each uses no more than the
//! smallest of its shares in all layouts that may be in force in some zone. A holder *adopts* a
//! layout (which binds it at once), *publishes* it in its zone's record on the platform, and then
//! reads the records of all other zones. Only when all of them name the same newest layout does it
//! *settle* on that layout and discard the older ones. Whichever zone settled last, all zones are
//! bound by its layout.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::HolderRecord;
use super::MAX_BATCH_LIFETIME;
use super::SHARE_LEASE;
use super::ZoneShare;
use super::split_over_zones;
use crate::values::MonotonicTime;
use crate::values::ZoneId;
use crate::version::Configuration;
use crate::version::Organisation;

plain_data! {
    /// Weights by which zones share all rates and bursts.
    #[derive(Eq)]
    pub struct ZoneLayout {
        /// The weight of each zone's share.
        pub weights: BTreeMap<ZoneId, u32>,
    }
}

impl ZoneLayout {
    /// Creates the layout of a configuration.
    pub fn of(configuration: &Configuration) -> Self {
        let zones = configuration.zones.iter();
        Self {
            weights: zones
                .map(|(id, zone)| (id.clone(), zone.rate_weight))
                .collect(),
        }
    }

    /// Creates a layout in which no zone has a share.
    pub fn empty() -> Self {
        Self {
            weights: BTreeMap::new(),
        }
    }

    fn share(&self, organisation: &Organisation, zone: &ZoneId) -> ZoneShare {
        let shares = split_over_zones(organisation, self);
        shares.get(zone).copied().unwrap_or(ZoneShare::NONE)
    }
}

/// The layouts that bind the holder of a zone, the newest last.
#[derive(Clone, Debug, Default)]
pub struct LayoutSet {
    layouts: Vec<ZoneLayout>,
    published: Vec<ZoneLayout>,
    adopted: MonotonicTime,
}

impl LayoutSet {
    /// Creates the set from the layouts of the holder's first record.
    pub fn inherited(published: &[ZoneLayout], now: MonotonicTime) -> Self {
        Self {
            layouts: published.to_vec(),
            published: published.to_vec(),
            adopted: now,
        }
    }

    /// Binds the holder by `layout` from now on. Older layouts bind it until it settles.
    pub fn adopt(&mut self, layout: &ZoneLayout, now: MonotonicTime) {
        if self.layouts.last() == Some(layout) {
            return;
        }
        self.layouts.retain(|known| known != layout);
        self.layouts.push(layout.clone());
        self.adopted = now;
    }

    /// Returns the layouts to publish with a record written now.
    ///
    /// A layout is published after the batches granted before its adoption have ended.
    pub fn to_publish(&self, now: MonotonicTime) -> Vec<ZoneLayout> {
        let may_publish_newest = now >= self.adopted.after(SHARE_LEASE + MAX_BATCH_LIFETIME);
        let still_binds = |layout: &&ZoneLayout| self.layouts.contains(layout);
        match may_publish_newest {
            true => self.layouts.clone(),
            false => self.published.iter().filter(still_binds).cloned().collect(),
        }
    }

    /// Records that the platform stores a record with these layouts.
    pub fn mark_published(&mut self, published: &[ZoneLayout]) {
        self.published = published.to_vec();
    }

    /// Returns the zones whose records have to be read now, after the newest layout was published.
    ///
    /// Returns none if there is nothing to settle, and an empty set for a single zone, which
    /// settles without reading a record.
    pub fn zones_to_read(&self, own: &ZoneId) -> Option<BTreeSet<ZoneId>> {
        let is_unsettled = self.layouts.len() > 1 && self.newest_is_published();
        let zones = self.layouts.iter().flat_map(|layout| layout.weights.keys());
        is_unsettled.then(|| zones.filter(|zone| *zone != own).cloned().collect())
    }

    /// Settles on the newest layout if it is also the newest one of all other zones.
    ///
    /// `others` must have been read after the newest layout was published. A zone without a record
    /// never had a holder. Its first holder mints nothing before it has read this zone's record.
    pub fn settle(&mut self, others: &[Option<HolderRecord>]) {
        let Some(newest) = self.layouts.last().cloned() else {
            return;
        };
        let agrees = |record: &HolderRecord| record.layouts.last() == Some(&newest);
        if self.newest_is_published() && others.iter().flatten().all(agrees) {
            self.layouts = vec![newest];
        }
    }

    fn newest_is_published(&self) -> bool {
        self.published.last() == self.layouts.last()
    }

    /// Returns the newest layout, if there is one.
    pub fn newest(&self) -> Option<&ZoneLayout> {
        self.layouts.last()
    }

    /// Returns the zone's smallest share of an organisation in the layouts that bind it.
    pub fn share(&self, organisation: &Organisation, zone: &ZoneId) -> ZoneShare {
        let shares = self
            .layouts
            .iter()
            .map(|layout| layout.share(organisation, zone));
        let smallest = shares.reduce(|one, other| one.smaller_of(&other));
        smallest.unwrap_or(ZoneShare::NONE)
    }
}
