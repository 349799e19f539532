//! The newest known load of each node.

use std::collections::HashMap;
use std::time::Duration;

use super::LoadReport;
use super::NodeKey;
use super::NodeLoad;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// The newest known load of one node.
#[derive(Clone, Debug)]
pub struct KnownLoad {
    report: LoadReport,
    computed_at: MonotonicTime,
    /// Requests that this node has sent there since it learnt the report.
    sent: u32,
}

impl KnownLoad {
    /// Returns the report as it was received. Its age is that of the moment of receipt.
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Returns the time since the server's node computed the report.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.computed_at)
    }

    /// Returns the numbers of the report, with the requests that this node has sent since.
    pub fn load(&self, now: MonotonicTime) -> NodeLoad {
        let load = self.report.load(self.age(now));
        NodeLoad {
            busy: load.busy.saturating_add(self.sent),
            ..load
        }
    }

    /// Returns the report with its present age.
    fn aged(&self, now: MonotonicTime) -> LoadReport {
        let age_ms = self.age(now).as_millis() as u32;
        let mut report = self.report.clone();
        report.age_ms = age_ms;
        if let Some(floor) = &mut report.floor {
            let passed_ms = age_ms.saturating_sub(self.report.age_ms);
            floor.age_ms = floor.age_ms.saturating_add(passed_ms);
        }
        report
    }
}

/// The newest known load of each node of the fleet. It holds at most one entry for each known node.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    own: Option<NodeKey>,
    /// The entry of each known node whose key is its own.
    indices: HashMap<NodeKey, usize>,
    entries: Vec<Option<KnownLoad>>,
    /// The entry after those that were last considered for another node.
    next: usize,
}

impl LoadTable {
    /// Age from which a report says nothing.
    pub const AGE_MAX: Duration = Duration::from_secs(2);

    /// Entries that are compared for each one that is passed on.
    const COMPARED: usize = 4;

    /// Sets the known nodes, and forgets the loads of others. Nothing is kept about `own`, nor about
    /// nodes that share a key.
    pub fn set_nodes<'a>(&mut self, own: &NodeId, ids: impl IntoIterator<Item = &'a NodeId>) {
        let own = NodeKey::from(own);
        let mut counts: HashMap<NodeKey, u32> = HashMap::new();
        for id in ids {
            *counts.entry(id.into()).or_default() += 1;
        }
        let keys = counts.iter().filter(|(_, count)| **count == 1);
        let mut keys: Vec<_> = keys
            .map(|(key, _)| *key)
            .filter(|key| *key != own)
            .collect();
        keys.sort();
        let mut known: HashMap<_, _> = self
            .indices
            .iter()
            .filter_map(|(key, index)| Some((*key, self.entries[*index].take()?)))
            .collect();
        self.entries = keys.iter().map(|key| known.remove(key)).collect();
        self.indices = keys.into_iter().zip(0..).collect();
        self.own = Some(own);
        self.next = 0;
    }

    /// Merges reports received at `now`. Of two about the same node, the one computed last is kept.
    pub fn merge(&mut self, reports: Vec<LoadReport>, now: MonotonicTime) {
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let computed_at = MonotonicTime(now.0.saturating_sub(age.as_micros() as u64));
            let Some(index) = self.indices.get(&report.node) else {
                continue;
            };
            let entry = &mut self.entries[*index];
            let is_newer = entry
                .as_ref()
                .is_none_or(|known| known.computed_at < computed_at);
            if is_newer && age < Self::AGE_MAX {
                *entry = Some(KnownLoad {
                    report,
                    computed_at,
                    sent: 0,
                });
            }
        }
    }

    /// Counts a request that this node sends to a node.
    pub fn record_sent(&mut self, node: NodeKey) {
        if let Some(Some(known)) = self.indices.get(&node).map(|at| &mut self.entries[*at]) {
            known.sent = known.sent.saturating_add(1);
        }
    }

    /// Returns the load of a node, if it is known and not too old.
    pub fn of(&self, node: NodeKey, now: MonotonicTime) -> Option<&KnownLoad> {
        let known = self.entries[*self.indices.get(&node)?].as_ref();
        known.filter(|known| known.age(now) < Self::AGE_MAX)
    }

    /// Returns what is known of the loads of `nodes`, in their order. `own` is that of this node's server.
    pub fn of_nodes<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a NodeId>,
        own: Option<&LoadReport>,
        now: MonotonicTime,
    ) -> Vec<Option<NodeLoad>> {
        let load = |node: &NodeId| {
            let key = NodeKey::from(node);
            match own.filter(|own| own.node == key) {
                Some(own) => Some(own.load(Duration::ZERO)),
                None => self.of(key, now).map(|known| known.load(now)),
            }
        };
        nodes.into_iter().map(load).collect()
    }

    /// Returns the loads that are known and not too old.
    pub fn known(&self, now: MonotonicTime) -> impl Iterator<Item = &KnownLoad> {
        let known = self.entries.iter().flatten();
        known.filter(move |known| known.age(now) < Self::AGE_MAX)
    }

    /// Returns the mean age of the loads that are known and not too old.
    pub fn mean_age(&self, now: MonotonicTime) -> Option<Duration> {
        let ages: Vec<_> = self.known(now).map(|known| known.age(now)).collect();
        (!ages.is_empty()).then(|| ages.iter().sum::<Duration>() / ages.len() as u32)
    }

    /// Returns at most `count` reports for another node: `own` first, then fresh ones of others.
    ///
    /// The first of the others is the next one in turn, so that all of them are passed on. After it, the
    /// freshest of a few that follow each other go.
    pub fn select(
        &mut self,
        own: Option<LoadReport>,
        count: usize,
        now: MonotonicTime,
    ) -> Vec<LoadReport> {
        let mut selected = Vec::with_capacity(count);
        selected.extend(own);
        let len = self.entries.len();
        let mut compared = 1;
        let mut passed = 0;
        while selected.len() < count && passed < len {
            let window =
                (0..compared.min(len - passed)).map(|step| (self.next + passed + step) % len);
            let freshest = window
                .filter_map(|index| self.entries[index].as_ref())
                .max_by_key(|known| known.computed_at)
                .filter(|known| known.age(now) < Self::AGE_MAX);
            selected.extend(freshest.map(|known| known.aged(now)));
            passed += compared;
            compared = Self::COMPARED;
        }
        self.next = (self.next + passed) % len.max(1);
        selected
    }
}
