//! The zones that operators evacuated, as a node knows them.

use balsamfold::process::relay::EvacuationChange;
use balsamfold::process::relay::Evacuations;
use balsamfold::process::relay::Mirror;
use balsamfold::process::relay::MirrorChange;
use balsamfold::process::relay::MirrorUpdate;
use balsamfold::process::relay::StoreEra;
use balsamfold::process::relay::StoreEvent;
use balsamfold::process::relay::StoreItem;
use balsamfold::process::relay::StorePosition;
use balsamfold::process::relay::StoreRevision;
use balsamfold::values::ZoneId;
use bytes::Bytes;
use testutils::relay::at_ms;

const KEY: &str = "desk/evacuated/zone-b";
const GRACE_MS: u64 = Evacuations::MISSING_GRACE.as_millis() as u64;

fn zone() -> ZoneId {
    "zone-b".parse().expect("valid name")
}

fn listing(has_item: bool, era: u64, revision: u64) -> MirrorUpdate {
    let item = StoreItem {
        key: KEY.to_owned(),
        value: Bytes::from_static(b"not json"),
        revision: StoreRevision(revision),
    };
    MirrorUpdate::Listing {
        items: has_item.then_some(item).into_iter().collect(),
        position: StorePosition {
            era: StoreEra(era),
            revision: StoreRevision(revision),
        },
    }
}

/// A node that reads the store.
#[derive(Default)]
struct Reader {
    mirror: Mirror,
    evacuations: Evacuations,
}

impl Reader {
    fn read(&mut self, update: MirrorUpdate, now_ms: u64) -> Vec<EvacuationChange> {
        let MirrorChange::Changed { events, is_new_era } = self.mirror.apply(update) else {
            return Vec::new();
        };
        let changes = events.iter().filter_map(|event| match event {
            StoreEvent::Written(_) => self.evacuations.apply_write(zone(), at_ms(now_ms)),
            StoreEvent::Removed { .. } => {
                self.evacuations
                    .apply_removal(&zone(), is_new_era, at_ms(now_ms))
            }
        });
        changes.collect()
    }

    fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&zone())
    }
}

#[test]
fn evacuation_lasts_until_its_item_is_removed() {
    let mut reader = Reader::default();
    let began = reader.read(listing(true, 0, 5), 0);
    assert_eq!(began, [EvacuationChange::Began(zone())]);
    // A store that forgot its history is listed again.
    assert_eq!(reader.read(listing(true, 0, 9), 1_000), []);
    let ended = reader.read(listing(false, 0, 12), 4_000);
    let age = std::time::Duration::from_secs(4);
    assert_eq!(ended, [EvacuationChange::Ended(zone(), age)]);
    assert!(!reader.is_evacuated());
}

// Guards against requests to a zone whose evacuation the store acknowledged and then lost.
#[test]
fn evacuation_is_kept_for_a_time_when_the_store_goes_back_behind_it() {
    let mut reader = Reader::default();
    reader.read(listing(true, 0, 5), 0);
    reader.read(listing(false, 1, 3), 1_000);
    reader.read(listing(false, 1, 4), 2_000);
    assert_eq!(reader.evacuations.end_missing(at_ms(GRACE_MS)), []);
    assert!(reader.is_evacuated());
    let ended = reader.evacuations.end_missing(at_ms(1_000 + GRACE_MS));
    assert!(matches!(&ended[..], [EvacuationChange::Ended(_, _)]));
    assert!(!reader.is_evacuated());
}

#[test]
fn evacuation_that_is_written_again_stays_until_it_is_removed() {
    let mut reader = Reader::default();
    reader.read(listing(true, 0, 5), 0);
    reader.read(listing(false, 1, 3), 1_000);
    assert_eq!(reader.read(listing(true, 1, 4), 2_000), []);
    assert_eq!(reader.evacuations.end_missing(at_ms(10 * GRACE_MS)), []);
    reader.read(listing(false, 1, 6), 10 * GRACE_MS);
    assert!(!reader.is_evacuated());
}
