//! The places of refused callers in a stream of tokens or requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::values::MonotonicTime;

/// What a stream offers to refused callers at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceOffer {
    /// Time until the stream has something for a caller again.
    pub first_in: Duration,
    /// Time between two places of the stream.
    pub interval: Duration,
    /// Places after this time are not given out, because they come too late for the caller.
    pub horizon: Duration,
}

/// Gives out the places of a stream that lie in the future, each of them to one caller.
///
/// A place is held from its time on until its caller takes it, for at most [`Self::HOLD`]. What is
/// held is the caller's; what is not taken goes to anyone.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// Times of the places given out that were neither taken nor ended, the earliest first.
    places: VecDeque<MonotonicTime>,
    /// Time of the last place that was given out.
    last: Option<MonotonicTime>,
}

impl ReturnSchedule {
    /// Time for which a place is held after its time. It covers two ways to a caller, a new
    /// connection and a late timer.
    pub const HOLD: Duration = Duration::from_millis(150);

    /// Greatest number of places given out at a time.
    const PLACES_MAX: usize = 4_096;

    /// Gives the next free place to a caller, and returns the time until then.
    ///
    /// Returns none if no place is free within the horizon.
    pub fn book(&mut self, offer: PlaceOffer, now: MonotonicTime) -> Option<Duration> {
        self.end_places(now);
        let earliest = now.after(offer.first_in);
        let next = self.last.map(|last| last.after(offer.interval));
        let place = next.map_or(earliest, |next| next.max(earliest));
        let due = place.since(now);
        if due > offer.horizon || self.places.len() >= Self::PLACES_MAX {
            return None;
        }
        self.places.push_back(place);
        self.last = Some(place);
        Some(due)
    }

    /// Returns how many places are held for callers that may return now.
    pub fn held(&mut self, now: MonotonicTime) -> u64 {
        self.end_places(now);
        self.places.iter().filter(|place| **place <= now).count() as u64
    }

    /// Takes places for `returned` callers. Returns how many of them have one.
    pub fn take(&mut self, returned: u64, now: MonotonicTime) -> u64 {
        let taken = self.held(now).min(returned);
        self.places.drain(..taken as usize);
        taken
    }

    /// Ends the places whose callers did not return.
    fn end_places(&mut self, now: MonotonicTime) {
        let is_over = |place: &MonotonicTime| place.after(Self::HOLD) <= now;
        let ended = self
            .places
            .iter()
            .take_while(|place| is_over(place))
            .count();
        self.places.drain(..ended);
    }
}
