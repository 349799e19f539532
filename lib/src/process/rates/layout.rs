//! How rates are split over zones, and how zones change the split without going over the whole.
//!
//! Zones learn a new split at different times. Until all of them have it, each uses no more than the
//! smallest of its parts in every split that may be in force somewhere: a holder *adopts* a split
//! (and is bound by it at once), *publishes* it in the platform's record of its zone, and then reads
//! the records of all other zones. Only when all of them name the same newest split does it *settle*
//! on it and forget the older ones. Whichever zone settled last, all zones are bound by its split.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::HolderRecord;
use super::MAX_BATCH_LIFETIME;
use super::ZoneShare;
use super::split_over_zones;
use crate::values::MonotonicTime;
use crate::values::ZoneId;
use crate::version::Configuration;
use crate::version::Organisation;

plain_data! {
    /// The zones that own parts of all rates.
    #[derive(Eq)]
    pub struct ZoneLayout {
        /// The weight of each zone's part.
        pub weights: BTreeMap<ZoneId, u32>,
    }
}

impl ZoneLayout {
    /// Returns the layout of a configuration.
    pub fn of(configuration: &Configuration) -> Self {
        let zones = configuration.zones.iter();
        Self {
            weights: zones
                .map(|(id, zone)| (id.clone(), zone.rate_weight))
                .collect(),
        }
    }

    /// The layout in which no zone owns anything.
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
    /// Takes over what the holder published with its first record.
    pub fn inherited(published: &[ZoneLayout], now: MonotonicTime) -> Self {
        Self {
            layouts: published.to_vec(),
            published: published.to_vec(),
            adopted: now,
        }
    }

    /// Binds the holder by `layout` from now on.
    pub fn adopt(&mut self, layout: &ZoneLayout, now: MonotonicTime) {
        if self.layouts.last() == Some(layout) {
            return;
        }
        self.layouts.retain(|known| known != layout);
        self.layouts.push(layout.clone());
        self.adopted = now;
    }

    /// Returns what to publish with a record written now.
    ///
    /// A layout is published when batches that were granted before it was adopted have ended.
    pub fn to_publish(&self, now: MonotonicTime) -> Vec<ZoneLayout> {
        let may_publish_newest = now >= self.adopted.after(MAX_BATCH_LIFETIME);
        let still_binds = |layout: &&ZoneLayout| self.layouts.contains(layout);
        match may_publish_newest {
            true => self.layouts.clone(),
            false => self.published.iter().filter(still_binds).cloned().collect(),
        }
    }

    /// Takes in that a record with these layouts is in the platform.
    pub fn mark_published(&mut self, published: &[ZoneLayout]) {
        self.published = published.to_vec();
    }

    /// Returns the zones whose records have to be read now, after the newest layout was published.
    ///
    /// Gives none if nothing is to be settled; a zone alone has no record to read and settles.
    pub fn zones_to_read(&self, own: &ZoneId) -> Option<BTreeSet<ZoneId>> {
        let is_unsettled = self.layouts.len() > 1 && self.newest_is_published();
        let zones = self.layouts.iter().flat_map(|layout| layout.weights.keys());
        is_unsettled.then(|| zones.filter(|zone| *zone != own).cloned().collect())
    }

    /// Settles on the newest layout if all other zones name it as theirs. A zone without a record
    /// has had no holder; its first one mints nothing before it has read this zone's record.
    ///
    /// `others` must have been read after the newest layout was published.
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

    /// Returns the zone's share of an organisation.
    pub fn share(&self, organisation: &Organisation, zone: &ZoneId) -> ZoneShare {
        let shares = self
            .layouts
            .iter()
            .map(|layout| layout.share(organisation, zone));
        let smallest = shares.reduce(|one, other| one.smaller_of(&other));
        smallest.unwrap_or(ZoneShare::NONE)
    }
}
