//! A copy of the items below one prefix of the store, with its recent changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::messages::MirrorUpdate;
use crate::process::relay::store::StoreEvent;
use crate::process::relay::store::StoreItem;
use crate::process::relay::store::StorePosition;
use crate::process::relay::store::StoreRevision;

/// What an update changed in a mirror.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorChange {
    /// Nothing: the update is no newer than the mirror.
    None,
    /// The changes.
    Changed {
        /// The changes, in the order of their revisions.
        events: Vec<StoreEvent>,
        /// Whether the store went back to an earlier copy, so that revisions are given out again.
        is_new_era: bool,
    },
    /// The update begins after the end of the mirror, so that changes are missing.
    Gap,
}

/// A copy of the items below one prefix of the store, with its recent changes.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    position: Option<StorePosition>,
    items: BTreeMap<String, StoreItem>,
    recent: VecDeque<StoreEvent>,
    /// Revision after which `recent` has all changes.
    recent_since: StoreRevision,
}

impl Mirror {
    /// Maximum number of recent changes that are kept. A node that is further behind gets all items.
    const RECENT_MAX: usize = 256;

    /// Returns the position of the store up to which the mirror is complete, if it has any content.
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Applies an update from the store or from another node.
    pub fn apply(&mut self, update: MirrorUpdate) -> MirrorChange {
        match (update, self.position) {
            (MirrorUpdate::Listing { position, .. }, Some(known)) if position < known => {
                MirrorChange::None
            }
            (MirrorUpdate::Listing { items, position }, known) => {
                let is_new_era = known.is_some_and(|known| known.era < position.era);
                if known.is_none() || is_new_era {
                    self.recent.clear();
                    self.recent_since = position.revision;
                }
                self.apply_listing(items, position, is_new_era)
            }
            (MirrorUpdate::Changes { position, .. }, Some(known)) if position <= known => {
                MirrorChange::None
            }
            (
                MirrorUpdate::Changes {
                    events,
                    after,
                    position,
                },
                Some(known),
            ) if position.era == known.era && after <= known.revision => {
                let new = events.into_iter();
                let new = new.filter(|event| event.revision() > known.revision);
                self.apply_events(new.collect(), position, false)
            }
            (MirrorUpdate::Changes { .. }, _) => MirrorChange::Gap,
        }
    }

    fn apply_listing(
        &mut self,
        items: Vec<StoreItem>,
        position: StorePosition,
        is_new_era: bool,
    ) -> MirrorChange {
        let listed: BTreeSet<String> = items.iter().map(|item| item.key.clone()).collect();
        let removed = self.items.values();
        // An item that was written after the listing began may be missing from it.
        let removed = removed.filter(|item| {
            !listed.contains(&item.key) && (is_new_era || item.revision <= position.revision)
        });
        let mut events: Vec<StoreEvent> = removed
            .map(|item| StoreEvent::Removed {
                key: item.key.clone(),
                revision: position.revision,
            })
            .collect();
        let written = items.into_iter().filter(|item| {
            let known = self.items.get(&item.key);
            known.is_none_or(|known| is_new_era || known.revision < item.revision)
        });
        events.extend(written.map(StoreEvent::Written));
        events.sort_by_key(StoreEvent::revision);
        self.apply_events(events, position, is_new_era)
    }

    fn apply_events(
        &mut self,
        events: Vec<StoreEvent>,
        position: StorePosition,
        is_new_era: bool,
    ) -> MirrorChange {
        for event in &events {
            match event {
                StoreEvent::Written(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                StoreEvent::Removed { key, .. } => {
                    self.items.remove(key);
                }
            }
            self.recent.push_back(event.clone());
        }
        while self.recent.len() > Self::RECENT_MAX
            && let Some(oldest) = self.recent.pop_front()
        {
            self.recent_since = self.recent_since.max(oldest.revision());
        }
        self.position = Some(position);
        MirrorChange::Changed { events, is_new_era }
    }

    /// Returns what a node lacks that knows the view up to `known`, or none if it lacks nothing.
    pub fn update_since(&self, known: Option<StorePosition>) -> Option<MirrorUpdate> {
        let position = self.position?;
        match known {
            Some(known) if known >= position => None,
            Some(known) if known.era == position.era && known.revision >= self.recent_since => {
                let events = self.recent.iter();
                let events = events.filter(|event| event.revision() > known.revision);
                let events: Vec<StoreEvent> = events.cloned().collect();
                let changes = MirrorUpdate::Changes {
                    after: known.revision,
                    position,
                    events: events.clone(),
                };
                (!events.is_empty()).then_some(changes)
            }
            Some(_) | None => Some(MirrorUpdate::Listing {
                items: self.items.values().cloned().collect(),
                position,
            }),
        }
    }
}
