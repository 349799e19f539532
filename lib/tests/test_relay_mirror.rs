//! Copies of the store's items that nodes pass on to each other.

use std::collections::BTreeMap;

use balsamfold::process::relay::Mirror;
use balsamfold::process::relay::MirrorChange;
use balsamfold::process::relay::MirrorUpdate;
use balsamfold::process::relay::StoreEra;
use balsamfold::process::relay::StoreEvent;
use balsamfold::process::relay::StoreItem;
use balsamfold::process::relay::StorePosition;
use balsamfold::process::relay::StoreRevision;
use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition {
        era: StoreEra(era),
        revision: StoreRevision(revision),
    }
}

fn item(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: Bytes::from(format!("{key} of {revision}")),
        revision: StoreRevision(revision),
    }
}

fn listing(items: &[StoreItem], position: StorePosition) -> MirrorUpdate {
    MirrorUpdate::Listing {
        items: items.to_vec(),
        position,
    }
}

/// A store with one prefix, which can go back to an earlier copy.
#[derive(Clone, Default)]
struct ModelStore {
    items: BTreeMap<String, StoreItem>,
    history: Vec<StoreEvent>,
    era: u64,
    revision: u64,
}

impl ModelStore {
    fn position(&self) -> StorePosition {
        position(self.era, self.revision)
    }

    fn change(&mut self, rng: &mut StdRng) {
        self.revision += 1;
        let key = format!("nodes/{}", rng.random_range(0..6));
        let event = match rng.random_bool(0.3) && self.items.contains_key(&key) {
            true => {
                self.items.remove(&key);
                let revision = StoreRevision(self.revision);
                StoreEvent::Removed { key, revision }
            }
            false => {
                let written = item(&key, self.revision);
                self.items.insert(key, written.clone());
                StoreEvent::Written(written)
            }
        };
        self.history.push(event);
    }

    fn listing(&self) -> MirrorUpdate {
        let items: Vec<StoreItem> = self.items.values().cloned().collect();
        listing(&items, self.position())
    }

    fn changes_after(&self, after: StoreRevision) -> MirrorUpdate {
        let events = self.history.iter();
        let events = events.filter(|event| event.revision() > after);
        MirrorUpdate::Changes {
            events: events.cloned().collect(),
            after,
            position: self.position(),
        }
    }
}

/// Replays the changes that a mirror reports, as the consumers of a view do.
#[derive(Default)]
struct Consumer {
    mirror: Mirror,
    items: BTreeMap<String, StoreItem>,
}

impl Consumer {
    fn apply(&mut self, update: MirrorUpdate) {
        if let MirrorChange::Changed { events, .. } = self.mirror.apply(update) {
            for event in events {
                match event {
                    StoreEvent::Written(item) => {
                        self.items.insert(item.key.clone(), item);
                    }
                    StoreEvent::Removed { key, .. } => {
                        self.items.remove(&key);
                    }
                }
            }
        }
    }
}

// Guards against nodes that stay blind to entries, because the node between them and the store missed some
// or the store gave revisions out again.
#[test]
fn followers_converge_through_lost_watches_and_returns_of_the_store() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = ModelStore::default();
        let mut copy = store.clone();
        let mut first = Consumer::default();
        let mut followers: Vec<Consumer> = (0..3).map(|_| Consumer::default()).collect();
        for _ in 0..400 {
            match rng.random_range(0..12) {
                0..5 => store.change(&mut rng),
                5 => copy = store.clone(),
                6 if rng.random_bool(0.1) => {
                    let era = store.era + 1;
                    store = ModelStore {
                        era,
                        ..copy.clone()
                    };
                }
                7 if rng.random_bool(0.2) => first.apply(store.listing()),
                // A watch is complete up to the revision of its response only in its own era.
                8 => match first.mirror.position() {
                    Some(known) if known.era.0 == store.era => {
                        first.apply(store.changes_after(known.revision));
                    }
                    Some(_) | None => first.apply(store.listing()),
                },
                // A follower may also ask another follower that knows less.
                9 => {
                    let (asked, asking) = (rng.random_range(0..3), rng.random_range(0..3));
                    let known = followers[asking].mirror.position();
                    if let Some(update) = followers[asked].mirror.update_since(known) {
                        followers[asking].apply(update);
                    }
                }
                _ => {
                    let follower = &mut followers[rng.random_range(0..3)];
                    let known = follower.mirror.position();
                    if let Some(update) = first.mirror.update_since(known) {
                        follower.apply(update);
                    }
                }
            }
        }
        first.apply(store.listing());
        assert_eq!(first.items, store.items, "seed {seed}");
        for follower in &mut followers {
            if let Some(update) = first.mirror.update_since(follower.mirror.position()) {
                follower.apply(update);
            }
            assert_eq!(follower.items, store.items, "seed {seed}");
        }
    }
}

#[test]
fn update_of_an_earlier_position_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.apply(listing(&[item("a", 5)], position(0, 5)));
    let late = mirror.apply(listing(&[], position(0, 4)));
    assert_eq!(late, MirrorChange::None);
    let changes = MirrorUpdate::Changes {
        events: vec![StoreEvent::Written(item("a", 3))],
        after: StoreRevision(2),
        position: position(0, 4),
    };
    assert_eq!(mirror.apply(changes), MirrorChange::None);
}

#[test]
fn changes_after_a_missing_one_are_a_gap() {
    let mut mirror = Mirror::default();
    mirror.apply(listing(&[], position(0, 5)));
    let changes = MirrorUpdate::Changes {
        events: vec![StoreEvent::Written(item("a", 9))],
        after: StoreRevision(8),
        position: position(0, 9),
    };
    assert_eq!(mirror.apply(changes), MirrorChange::Gap);
}

// Guards against entries that are passed over after the store went back, as their revisions are lower.
#[test]
fn entry_written_again_after_a_return_of_the_store_is_reported() {
    let mut mirror = Mirror::default();
    mirror.apply(listing(&[item("a", 90), item("b", 100)], position(0, 100)));
    let change = mirror.apply(listing(&[item("a", 90), item("c", 93)], position(1, 93)));
    let MirrorChange::Changed { events, is_new_era } = change else {
        panic!("{change:?}");
    };
    assert!(is_new_era);
    let keys = events.iter().map(|event| match event {
        StoreEvent::Written(item) => format!("{} written", item.key),
        StoreEvent::Removed { key, .. } => format!("{key} removed"),
    });
    let keys: Vec<_> = keys.collect();
    assert_eq!(keys, ["a written", "b removed", "c written"]);
}

#[test]
fn node_that_is_up_to_date_gets_nothing_and_one_far_behind_gets_all() {
    let mut mirror = Mirror::default();
    mirror.apply(listing(&[item("a", 1)], position(0, 1)));
    for revision in 2..1_000 {
        mirror.apply(MirrorUpdate::Changes {
            events: vec![StoreEvent::Written(item("a", revision))],
            after: StoreRevision(revision - 1),
            position: position(0, revision),
        });
    }
    assert_eq!(mirror.update_since(Some(position(0, 999))), None);
    let few = mirror.update_since(Some(position(0, 997)));
    assert!(matches!(few, Some(MirrorUpdate::Changes { events, .. }) if events.len() == 2));
    let all = mirror.update_since(Some(position(0, 2)));
    assert!(matches!(all, Some(MirrorUpdate::Listing { .. })));
}
