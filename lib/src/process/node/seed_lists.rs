//! The seed lists of the zones in the platform service: read by nodes that know no other node, and
//! written by one node of each zone.

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

/// Interval between checks of whether a list must be read or written.
const CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a node tries to join through the seeds in its settings before it reads the lists.
const JOIN_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a list must stay unchanged before it is written.
const STABLE_TIME: Duration = Duration::from_secs(30);
/// Time after which the writer checks whether its list is still stored.
const VERIFY_INTERVAL: Duration = Duration::from_secs(10 * 60);
/// First pause after a read that yielded no other node.
const READ_FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after a read that yielded no other node.
const READ_LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// A list at a point in time.
struct DatedList {
    list: SeedList,
    at: MonotonicTime,
}

/// The list that this node wants to be stored for its zone, and the last one known to be stored.
#[derive(Default)]
struct SeedListState {
    /// The wanted list, and since when it is wanted.
    wanted: Option<DatedList>,
    /// The list that the node last wrote or found stored.
    written: Option<DatedList>,
}

impl SeedListState {
    /// Sets the wanted list, and returns it if it must be written now.
    fn due(&mut self, list: SeedList, is_alone: bool, now: MonotonicTime) -> Option<SeedList> {
        let wanted = match self.wanted.take() {
            Some(wanted) if wanted.list == list => wanted,
            Some(_) | None => DatedList { list, at: now },
        };
        let is_stable = is_alone || now.since(wanted.at) >= STABLE_TIME;
        let is_current = self.written.as_ref().is_some_and(|written| {
            written.list == wanted.list && now.since(written.at) < VERIFY_INTERVAL
        });
        let due = (is_stable && !is_current).then(|| wanted.list.clone());
        self.wanted = Some(wanted);
        due
    }

    /// Records that `list` was written or found stored.
    fn record_written(&mut self, list: SeedList, now: MonotonicTime) {
        self.written = Some(DatedList { list, at: now });
    }
}

/// Reads and writes seed lists for as long as the node runs.
pub(super) async fn maintain_seed_lists(node: Arc<Node>) {
    let mut backoff = Backoff::new(READ_FIRST_PAUSE, READ_LONGEST_PAUSE, rand::random());
    let mut state = SeedListState::default();
    if !node.settings.seeds.is_empty() {
        sleep(JOIN_PAUSE).await;
    }
    loop {
        let is_alone = node.members().nodes().count() == 1;
        if is_alone {
            read_lists(&node).await;
        }
        // On an error the platform service is unreachable. The next round retries, and membership
        // continues without the list.
        let _ = write_list(&node, &mut state, is_alone).await;
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

/// Returns the node's own zone, then the other zones of the configuration in force.
fn known_zones(node: &Node) -> Vec<ZoneId> {
    let own = node.settings.zone.clone();
    let mut zones = vec![own.clone()];
    if let Ok(configuration) = node.configuration() {
        let others = configuration.zones.keys().filter(|zone| **zone != own);
        zones.extend(others.cloned());
    }
    zones
}

/// Writes the list of the node's own zone if this node is its writer and the list changed.
async fn write_list(
    node: &Node,
    state: &mut SeedListState,
    is_alone: bool,
) -> Result<(), PlatformError> {
    let table = node.members();
    let now = node.clock.now();
    let wanted = seed_list(&node.membership.own_record(), &table);
    let Some(list) = wanted.and_then(|list| state.due(list, is_alone, now)) else {
        return Ok(());
    };
    let key = PlatformKey::Seeds(node.settings.zone.clone());
    let stored = node.platform.get(&key).await?;
    let present = stored.as_ref().and_then(decode);
    let wanted = match &present {
        Some(present) => list.clone().extended_from(present, &table),
        None => list.clone(),
    };
    if present.as_ref() != Some(&wanted) {
        let revision = stored.map(|stored| stored.revision);
        // If another node wrote the list in between, it is checked again after `VERIFY_INTERVAL`.
        if let Some(value) = encode(&wanted) {
            let swap = node.platform.compare_and_swap(&key, revision, &value, None);
            swap.await?;
        }
    }
    state.record_written(list, now);
    Ok(())
}

fn decode(stored: &StoredValue) -> Option<SeedList> {
    serde_json::from_str(stored.value.as_str()).ok()
}

fn encode(list: &SeedList) -> Option<PlatformValue> {
    let text = serde_json::to_string(list).ok()?;
    PlatformValue::try_from(text).ok()
}
