//! The zones' seed lists in the platform's service: read by nodes that know no other, and written
//! by one node of each zone.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::Node;
use crate::process::membership::SEEDS_PER_ZONE;
use crate::process::membership::SeedList;
use crate::process::membership::seed_list;
use crate::process::platform::Backoff;
use crate::process::platform::PlatformError;
use crate::process::platform::PlatformKey;
use crate::process::platform::PlatformValue;
use crate::process::platform::StoredValue;
use crate::values::MonotonicTime;
use crate::values::ZoneId;

/// Time between two looks at whether something has to be read or written.
const CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a node waits to meet the nodes in its settings before it reads the lists.
const JOIN_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a list has to stay the same before it is written.
const STABLE_TIME: Duration = Duration::from_secs(30);
/// Time after which the writer looks whether its list still stands.
const VERIFY_INTERVAL: Duration = Duration::from_secs(10 * 60);
/// First pause after a read that brought no other node.
const READ_FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after a read that brought no other node.
const READ_LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// A list at a point in time.
struct DatedList {
    list: SeedList,
    at: MonotonicTime,
}

/// What this node wants the list of its zone to be.
#[derive(Default)]
struct ListKeeper {
    /// The list that it wants, and since when.
    wanted: Option<DatedList>,
    /// The list that it last wrote or found to stand.
    written: Option<DatedList>,
}

impl ListKeeper {
    /// Notes the list that the node wants now, and returns it if it has to be written.
    fn due(&mut self, list: SeedList, is_alone: bool, now: MonotonicTime) -> Option<SeedList> {
        let wanted = match self.wanted.take() {
            Some(wanted) if wanted.list == list => wanted,
            Some(_) | None => DatedList { list, at: now },
        };
        let is_stable = is_alone || now.since(wanted.at) >= STABLE_TIME;
        let stands = self.written.as_ref().is_some_and(|written| {
            written.list == wanted.list && now.since(written.at) < VERIFY_INTERVAL
        });
        let due = (is_stable && !stands).then(|| wanted.list.clone());
        self.wanted = Some(wanted);
        due
    }

    /// Notes that `list` was written or found to stand.
    fn note_written(&mut self, list: SeedList, now: MonotonicTime) {
        self.written = Some(DatedList { list, at: now });
    }
}

/// Reads and writes seed lists as long as the node runs.
pub(super) async fn keep_seed_lists(node: Arc<Node>) {
    let mut backoff = Backoff::new(READ_FIRST_PAUSE, READ_LONGEST_PAUSE, rand::random());
    let mut keeper = ListKeeper::default();
    if !node.settings.seeds.is_empty() {
        sleep(JOIN_PAUSE).await;
    }
    loop {
        let is_alone = node.members().nodes().count() == 1;
        if is_alone {
            read_lists(&node).await;
        }
        // An error here means that the platform's service does not answer: the next round tries
        // again, and membership goes on without it.
        let _ = write_list(&node, &mut keeper, is_alone).await;
        match is_alone {
            true => sleep(backoff.next_delay()).await,
            false => sleep(CHECK_PERIOD).await,
        }
    }
}

async fn read_lists(node: &Node) {
    for zone in known_zones(node) {
        let stored = node.platform.get(&PlatformKey::Seeds(zone)).await;
        let list = stored.ok().flatten().and_then(|stored| decode(&stored));
        let seeds = list.map(|list| list.seeds).unwrap_or_default();
        for seed in seeds.into_iter().take(SEEDS_PER_ZONE) {
            node.membership.add_seed(seed.probe);
        }
    }
}

/// Returns the own zone and those of the configuration in force.
fn known_zones(node: &Node) -> Vec<ZoneId> {
    let own = node.settings.zone.clone();
    let mut zones = vec![own.clone()];
    if let Ok(configuration) = node.configuration() {
        let others = configuration.zones.keys().filter(|zone| **zone != own);
        zones.extend(others.cloned());
    }
    zones
}

/// Writes the list of the own zone if this node keeps it and it changed.
async fn write_list(
    node: &Node,
    keeper: &mut ListKeeper,
    is_alone: bool,
) -> Result<(), PlatformError> {
    let table = node.members();
    let now = node.clock.now();
    let wanted = seed_list(&node.membership.own(), &table);
    let Some(list) = wanted.and_then(|list| keeper.due(list, is_alone, now)) else {
        return Ok(());
    };
    let key = PlatformKey::Seeds(node.settings.zone.clone());
    let stored = node.platform.get(&key).await?;
    let present = stored.as_ref().and_then(decode);
    let wanted = match &present {
        Some(present) => list.clone().filled_from(present, &table),
        None => list.clone(),
    };
    if present.as_ref() != Some(&wanted) {
        let revision = stored.map(|stored| stored.revision);
        // A list that another node wrote in between is looked at again after the interval.
        if let Some(value) = encode(&wanted) {
            let swap = node.platform.compare_and_swap(&key, revision, &value, None);
            swap.await?;
        }
    }
    keeper.note_written(list, now);
    Ok(())
}

fn decode(stored: &StoredValue) -> Option<SeedList> {
    serde_json::from_str(stored.value.as_str()).ok()
}

fn encode(list: &SeedList) -> Option<PlatformValue> {
    let text = serde_json::to_string(list).ok()?;
    PlatformValue::try_from(text).ok()
}
