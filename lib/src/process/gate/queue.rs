//! The queue of requests that wait for a slot.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SlotMap;

use super::Usage;
use crate::values::Importance;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::RatePerSecond;
use crate::values::RequestId;

slotmap::new_key_type! {
    /// Identifies a waiting request.
    pub struct Ticket;
}

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// Importance of the root request.
    pub importance: Importance,
    /// Rank of the time that its call tree has run before, or zero.
    pub rank: u8,
    /// Time for which it is expected to hold a slot.
    pub work: Duration,
    /// The organisation for which the request runs; `None` on open routes.
    pub organisation: Option<OrganisationId>,
    /// Rate limit of the organisation, which is its weight in fair sharing.
    pub rate: RatePerSecond,
    /// Id of the root request.
    pub root: RequestId,
    /// Time by which the request must start to finish before its deadline.
    pub start_by: MonotonicTime,
}

type ByTime = BTreeSet<(MonotonicTime, Ticket)>;
type ByOrganisation = BTreeMap<Option<OrganisationId>, ByTime>;

/// The requests that wait for a slot, ordered by importance, then by the rank of the time spent on
/// their call trees, then by organisation with the lowest usage of its share first, then by the time
/// by which they must start.
///
/// The caller enforces the bound on the length, as the bound depends on the limit.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    entries: SlotMap<Ticket, QueueEntry>,
    order: BTreeMap<(Importance, u8), ByOrganisation>,
    work: Duration,
}

impl WaitingQueue {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a waiting request.
    pub fn get(&self, ticket: Ticket) -> Option<&QueueEntry> {
        self.entries.get(ticket)
    }

    /// Adds a request.
    pub fn push(&mut self, entry: QueueEntry) -> Ticket {
        let level = (entry.importance, entry.rank);
        self.work += entry.work;
        let organisation = entry.organisation.clone();
        let start_by = entry.start_by;
        let ticket = self.entries.insert(entry);
        self.order
            .entry(level)
            .or_default()
            .entry(organisation)
            .or_default()
            .insert((start_by, ticket));
        ticket
    }

    /// Removes a request, if it still waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueueEntry> {
        let entry = self.entries.remove(ticket)?;
        self.work = self.work.saturating_sub(entry.work);
        let level = (entry.importance, entry.rank);
        let organisations = self.order.get_mut(&level)?;
        let waiting = organisations.get_mut(&entry.organisation)?;
        waiting.remove(&(entry.start_by, ticket));
        if waiting.is_empty() {
            organisations.remove(&entry.organisation);
        }
        if organisations.is_empty() {
            self.order.remove(&level);
        }
        Some(entry)
    }

    /// Returns the request that gets the next slot.
    pub fn first(&self, usage: &Usage, now: MonotonicTime) -> Option<Ticket> {
        let (_, organisations) = self.order.last_key_value()?;
        organisations
            .iter()
            .min_by(|a, b| usage.of(a.0, now).total_cmp(&usage.of(b.0, now)))
            .and_then(|(_, waiting)| waiting.first())
            .map(|(_, ticket)| *ticket)
    }

    /// Returns the request that is dropped first.
    ///
    /// Within the lowest importance and rank this is the request with the latest `start_by` of the
    /// organisation that used most of its share, counting its waiting requests.
    pub fn last(&self, usage: &Usage, now: MonotonicTime) -> Option<Ticket> {
        let (_, organisations) = self.order.first_key_value()?;
        organisations
            .iter()
            .map(|(organisation, waiting)| {
                (
                    self.projected_usage(organisation, waiting, usage, now),
                    waiting,
                )
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .and_then(|(_, waiting)| waiting.last())
            .map(|(_, ticket)| *ticket)
    }

    /// Returns the usage of an organisation including its waiting requests, as if they had started.
    fn projected_usage(
        &self,
        organisation: &Option<OrganisationId>,
        waiting: &ByTime,
        usage: &Usage,
        now: MonotonicTime,
    ) -> f64 {
        let rate = waiting
            .first()
            .and_then(|(_, ticket)| self.entries.get(*ticket))
            .map_or(1, |entry| entry.rate.0.max(1));
        usage.of(organisation, now) + waiting.len() as f64 / f64::from(rate)
    }

    /// Returns the time for which all waiting requests are expected to hold slots.
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Returns how many waiting requests come before a new one of this importance and rank.
    pub fn ahead_of(&self, importance: Importance, rank: u8) -> usize {
        self.order
            .range((importance, rank)..)
            .flat_map(|(_, organisations)| organisations.values())
            .map(BTreeSet::len)
            .sum()
    }

    /// Returns the tickets of all waiting requests in no particular order.
    pub fn tickets(&self) -> Vec<Ticket> {
        self.entries.keys().collect()
    }
}
