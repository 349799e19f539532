//! A shared store in memory, with simulated outages.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsamfold::process::relay::AsOf;
use balsamfold::process::relay::LeaseId;
use balsamfold::process::relay::SharedStore;
use balsamfold::process::relay::StoreEra;
use balsamfold::process::relay::StoreError;
use balsamfold::process::relay::StoreEvent;
use balsamfold::process::relay::StoreItem;
use balsamfold::process::relay::StoreResult;
use balsamfold::process::relay::StoreRevision;
use balsamfold::process::relay::StoreSwap;
use bytes::Bytes;
use futures::FutureExt;
use parking_lot::Mutex;
use tokio::sync::Notify;

#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, (StoreItem, LeaseId)>,
    history: Vec<StoreEvent>,
    revision: u64,
    /// The last revision that watches no longer get.
    forgotten: u64,
    era: u64,
    leases: HashSet<LeaseId>,
    next_lease: u64,
    is_down: bool,
    calls: u64,
}

impl Content {
    fn as_of<T>(&self, content: T) -> AsOf<T> {
        AsOf {
            content,
            revision: StoreRevision(self.revision),
            era: StoreEra(self.era),
        }
    }

    fn write(&mut self, key: &str, value: Bytes, lease: LeaseId) -> StoreRevision {
        self.revision += 1;
        let item = StoreItem {
            key: key.to_owned(),
            value,
            revision: StoreRevision(self.revision),
        };
        self.items.insert(key.to_owned(), (item.clone(), lease));
        self.history.push(StoreEvent::Written(item));
        StoreRevision(self.revision)
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let ended: Vec<String> = self
            .items
            .iter()
            .filter(|(_, (_, item_lease))| *item_lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in ended {
            self.items.remove(&key);
            self.revision += 1;
            let revision = StoreRevision(self.revision);
            self.history.push(StoreEvent::Removed { key, revision });
        }
    }

    fn events_after(&self, prefix: &str, after: StoreRevision) -> Vec<StoreEvent> {
        let is_new = |event: &&StoreEvent| match event {
            StoreEvent::Written(item) => item.key.starts_with(prefix) && item.revision > after,
            StoreEvent::Removed { key, revision } => key.starts_with(prefix) && *revision > after,
        };
        self.history.iter().filter(is_new).cloned().collect()
    }
}

/// An earlier content of a store.
pub struct StoreCopy(Content);

/// A shared store in memory. Clones share the same content.
#[derive(Clone, Default)]
pub struct MemoryStore {
    content: Arc<Mutex<Content>>,
    changed: Arc<Notify>,
    watches: Arc<Mutex<Vec<String>>>,
    is_turned_away: Arc<AtomicBool>,
}

/// Counts a watch while it waits.
struct WaitingWatch {
    watches: Arc<Mutex<Vec<String>>>,
    prefix: String,
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        let mut watches = self.watches.lock();
        if let Some(index) = watches.iter().position(|prefix| *prefix == self.prefix) {
            watches.remove(index);
        }
    }
}

impl MemoryStore {
    /// Returns a client of the same store that can be turned away by itself.
    pub fn for_client(&self) -> Self {
        Self {
            is_turned_away: Arc::default(),
            ..self.clone()
        }
    }

    /// Makes all calls of this client fail while the store serves the others, or ends that.
    pub fn set_turned_away(&self, is_turned_away: bool) {
        self.is_turned_away.store(is_turned_away, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Returns how many watches of `prefix` wait for changes.
    pub fn waiting_watches(&self, prefix: &str) -> usize {
        let watches = self.watches.lock();
        watches.iter().filter(|waiting| *waiting == prefix).count()
    }

    fn begin_call(&self, content: &mut Content) -> Result<(), StoreError> {
        content.calls += 1;
        match content.is_down || self.is_turned_away.load(Ordering::Relaxed) {
            true => Err(StoreError::NotDone {
                reason: "down".to_owned(),
            }),
            false => Ok(()),
        }
    }

    /// Writes an item without a lease, as operators do.
    pub fn write(&self, key: &str, value: Bytes) {
        self.content.lock().write(key, value, LeaseId(0));
        self.changed.notify_waiters();
    }

    /// Removes an item, as operators do.
    pub fn remove(&self, key: &str) {
        let mut content = self.content.lock();
        content.items.remove(key);
        content.revision += 1;
        let removed = StoreEvent::Removed {
            key: key.to_owned(),
            revision: StoreRevision(content.revision),
        };
        content.history.push(removed);
        drop(content);
        self.changed.notify_waiters();
    }

    /// Drops the history, so that watches must read everything again.
    pub fn forget_history(&self) {
        let mut content = self.content.lock();
        content.forgotten = content.revision;
        drop(content);
        self.changed.notify_waiters();
    }

    /// Returns whether all calls fail.
    pub fn is_down(&self) -> bool {
        self.content.lock().is_down
    }

    /// Makes all calls fail, or ends that outage.
    pub fn set_down(&self, is_down: bool) {
        self.content.lock().is_down = is_down;
        self.changed.notify_waiters();
    }

    /// Ends all leases and removes their items, as an outage of the store does.
    pub fn end_all_leases(&self) {
        let mut content = self.content.lock();
        let leases: Vec<LeaseId> = content.leases.iter().copied().collect();
        for lease in leases {
            content.end_lease(lease);
        }
        drop(content);
        self.changed.notify_waiters();
    }

    /// Returns a copy of the present content, to which the store can go back.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.content.lock().clone())
    }

    /// Replaces the content by an earlier copy. Revisions are given out again, and all leases that
    /// were granted since are gone.
    pub fn go_back_to(&self, copy: &StoreCopy) {
        let mut content = self.content.lock();
        *content = Content {
            era: content.era + 1,
            calls: content.calls,
            next_lease: content.next_lease,
            is_down: content.is_down,
            ..copy.0.clone()
        };
        drop(content);
        self.changed.notify_waiters();
    }

    /// Returns the value stored under `key`.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        let content = self.content.lock();
        content.items.get(key).map(|(item, _)| item.value.clone())
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let content = self.content.lock();
        let keys = content.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns how often `key` was written.
    pub fn writes_of(&self, key: &str) -> usize {
        let content = self.content.lock();
        let is_write = |event: &&StoreEvent| match event {
            StoreEvent::Written(item) => item.key == key,
            StoreEvent::Removed { .. } => false,
        };
        content.history.iter().filter(is_write).count()
    }

    /// Returns the number of calls so far, including those that failed.
    pub fn calls(&self) -> u64 {
        self.content.lock().calls
    }
}

impl SharedStore for MemoryStore {
    fn get(&self, key: &str) -> StoreResult<AsOf<Option<StoreItem>>> {
        let mut content = self.content.lock();
        let result = self.begin_call(&mut content).map(|()| {
            let item = content.items.get(key);
            content.as_of(item.map(|(item, _)| item.clone()))
        });
        std::future::ready(result).boxed()
    }

    fn get_recent(&self, key: &str) -> StoreResult<AsOf<Option<StoreItem>>> {
        self.get(key)
    }

    fn list(&self, prefix: &str) -> StoreResult<AsOf<Vec<StoreItem>>> {
        let mut content = self.content.lock();
        let result = self.begin_call(&mut content).map(|()| {
            let items = content.items.values();
            let items = items.filter(|(item, _)| item.key.starts_with(prefix));
            content.as_of(items.map(|(item, _)| item.clone()).collect())
        });
        std::future::ready(result).boxed()
    }

    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> StoreResult<AsOf<Vec<StoreEvent>>> {
        let store = self.clone();
        let prefix = prefix.to_owned();
        async move {
            let deadline = tokio::time::Instant::now() + wait;
            store.content.lock().calls += 1;
            store.watches.lock().push(prefix.clone());
            let _waiting = WaitingWatch {
                watches: Arc::clone(&store.watches),
                prefix: prefix.clone(),
            };
            loop {
                let changed = store.changed.notified();
                {
                    let content = store.content.lock();
                    if content.is_down || store.is_turned_away.load(Ordering::Relaxed) {
                        return Err(StoreError::Unknown {
                            reason: "cut".to_owned(),
                        });
                    }
                    if after.0 > content.revision || after.0 < content.forgotten {
                        return Err(StoreError::HistoryLost);
                    }
                    let events = content.events_after(&prefix, after);
                    if !events.is_empty() {
                        return Ok(content.as_of(events));
                    }
                }
                if tokio::time::timeout_at(deadline, changed).await.is_err() {
                    return Ok(store.content.lock().as_of(Vec::new()));
                }
            }
        }
        .boxed()
    }

    fn put(&self, key: &str, value: Bytes, lease: LeaseId) -> StoreResult<StoreRevision> {
        let mut content = self.content.lock();
        let result = self.begin_call(&mut content).and_then(|()| {
            if !content.leases.contains(&lease) {
                return Err(StoreError::LeaseEnded);
            }
            Ok(content.write(key, value, lease))
        });
        drop(content);
        self.changed.notify_waiters();
        std::future::ready(result).boxed()
    }

    fn swap(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Bytes,
    ) -> StoreResult<StoreSwap> {
        let mut content = self.content.lock();
        let result = self.begin_call(&mut content).map(|()| {
            let stored = content.items.get(key).map(|(item, _)| item.revision);
            match stored == expected {
                true => StoreSwap::Done(content.write(key, value, LeaseId(0))),
                false => StoreSwap::Conflict,
            }
        });
        drop(content);
        self.changed.notify_waiters();
        std::future::ready(result).boxed()
    }

    fn grant_lease(&self, _ttl: Duration) -> StoreResult<LeaseId> {
        let mut content = self.content.lock();
        let result = self.begin_call(&mut content).map(|()| {
            content.next_lease += 1;
            let lease = LeaseId(content.next_lease);
            content.leases.insert(lease);
            lease
        });
        std::future::ready(result).boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> StoreResult<()> {
        let mut content = self.content.lock();
        let result =
            self.begin_call(&mut content)
                .and_then(|()| match content.leases.contains(&lease) {
                    true => Ok(()),
                    false => Err(StoreError::LeaseEnded),
                });
        std::future::ready(result).boxed()
    }

    fn end_lease(&self, lease: LeaseId) -> StoreResult<()> {
        let mut content = self.content.lock();
        let result = self
            .begin_call(&mut content)
            .map(|()| content.end_lease(lease));
        drop(content);
        self.changed.notify_waiters();
        std::future::ready(result).boxed()
    }
}
