//! Values, leases and revisions as state without I/O; callers pass the time in.

use std::collections::BTreeMap;
use std::time::Duration;

use balsamfold::process::platform::LeaseId;
use balsamfold::process::platform::PlatformCall;
use balsamfold::process::platform::PlatformKey;
use balsamfold::process::platform::PlatformReply;
use balsamfold::process::platform::PlatformValue;
use balsamfold::process::platform::Revision;
use balsamfold::process::platform::StoredValue;
use balsamfold::process::platform::SwapReply;
use balsamfold::process::platform::WatchReply;
use balsamfold::values::MonotonicTime;

/// The state of the service.
#[derive(Debug, Default)]
pub struct PlatformStore {
    revision: Revision,
    next_lease: LeaseId,
    values: BTreeMap<PlatformKey, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
}

#[derive(Debug)]
struct Entry {
    stored: StoredValue,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends_at: MonotonicTime,
}

impl PlatformStore {
    /// Applies a call. A watch replies at once with the current value, without waiting.
    pub fn apply(&mut self, call: PlatformCall, now: MonotonicTime) -> PlatformReply {
        self.end_leases(now);
        match call {
            PlatformCall::Get { key } => PlatformReply::Value(self.stored(&key)),
            PlatformCall::CompareAndSwap {
                key,
                expected,
                value,
                lease,
            } => self.compare_and_swap(key, expected, value, lease),
            PlatformCall::Watch { key, known, .. } => PlatformReply::Watch(self.watch(&key, known)),
            PlatformCall::GrantLease { ttl_ms } => self.grant(ttl_ms, now),
            PlatformCall::RenewLease { lease } => self.renew(lease, now),
            PlatformCall::ReleaseLease { lease } => self.release(lease),
        }
    }

    /// Writes a value without checking its revision or a lease, as a restore from a backup does.
    pub fn overwrite(&mut self, key: PlatformKey, value: PlatformValue) -> Revision {
        self.write(key, value, None)
    }

    /// Returns the time at which the next lease ends.
    pub fn next_lease_end(&self) -> Option<MonotonicTime> {
        self.leases.values().map(|lease| lease.ends_at).min()
    }

    /// Removes the leases that have ended at `now`, and the values attached to them.
    pub fn end_leases(&mut self, now: MonotonicTime) {
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end(id));
    }

    fn stored(&self, key: &PlatformKey) -> Option<StoredValue> {
        self.values.get(key).map(|entry| entry.stored.clone())
    }

    fn compare_and_swap(
        &mut self,
        key: PlatformKey,
        expected: Option<Revision>,
        value: PlatformValue,
        lease: Option<LeaseId>,
    ) -> PlatformReply {
        let current = self.stored(&key);
        let revision = current.as_ref().map(|stored| stored.revision);
        match lease {
            Some(lease) if !self.leases.contains_key(&lease) => PlatformReply::LeaseEnded,
            _ if revision != expected => PlatformReply::Swap(SwapReply::Conflict(current)),
            _ => PlatformReply::Swap(SwapReply::Done(self.write(key, value, lease))),
        }
    }

    fn write(
        &mut self,
        key: PlatformKey,
        value: PlatformValue,
        lease: Option<LeaseId>,
    ) -> Revision {
        self.revision.0 += 1;
        let revision = self.revision;
        let stored = StoredValue { revision, value };
        self.values.insert(key, Entry { stored, lease });
        revision
    }

    fn watch(&self, key: &PlatformKey, known: Option<Revision>) -> WatchReply {
        let current = self.stored(key);
        match current.as_ref().map(|stored| stored.revision) == known {
            true => WatchReply::Unchanged,
            false => WatchReply::Changed(current),
        }
    }

    fn grant(&mut self, ttl_ms: u64, now: MonotonicTime) -> PlatformReply {
        self.next_lease.0 += 1;
        let ttl = Duration::from_millis(ttl_ms);
        let ends_at = now.after(ttl);
        self.leases.insert(self.next_lease, Lease { ttl, ends_at });
        PlatformReply::Lease(self.next_lease)
    }

    fn renew(&mut self, id: LeaseId, now: MonotonicTime) -> PlatformReply {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = now.after(lease.ttl);
                PlatformReply::Lease(id)
            }
            None => PlatformReply::LeaseEnded,
        }
    }

    fn release(&mut self, id: LeaseId) -> PlatformReply {
        match self.leases.contains_key(&id) {
            true => {
                self.end(id);
                PlatformReply::Lease(id)
            }
            false => PlatformReply::LeaseEnded,
        }
    }

    fn end(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        self.values.retain(|_, entry| entry.lease != Some(id));
    }
}
