//! Numbered events: every log line of the system belongs to one.
//!
//! Each area has its own range of numbers and its own file. `docs/events.md` lists all events.

mod limiter;
pub mod membership;
pub mod once;
pub mod platform;
pub mod process;
pub mod rates;
pub mod relay;
pub mod request;
pub mod version;

use std::fmt;

use log::Level;

pub use self::limiter::LineDecision;
pub use self::limiter::LineLimiter;

/// A kind of log line. The meaning of its number never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number, unique among all events.
    pub number: u16,
    /// The level at which the event is logged.
    pub level: Level,
    /// The stable name.
    pub name: &'static str,
    /// What happened, and what an operator can do about it.
    pub meaning: &'static str,
}

impl Event {
    /// Logs the event with details, unless too many of its lines were logged in the last second.
    pub fn log(self, details: impl fmt::Display) {
        if !log::log_enabled!(target: "balsamfold", self.level) {
            return;
        }
        match limiter::decide(self.number) {
            LineDecision::Omit => {}
            LineDecision::Write { omitted: 0 } => self.write(details),
            LineDecision::Write { omitted } => {
                relay::LINES_LEFT_OUT.write(format_args!("event={} lines={omitted}", self.number));
                self.write(details);
            }
        }
    }

    fn write(self, details: impl fmt::Display) {
        log::log!(target: "balsamfold", self.level, "[{}] {}: {details}", self.number, self.name);
    }
}

/// Defines the events of one area and the list of them.
macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal, $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $name: Event = Event {
                number: $number,
                level: Level::$level,
                name: $text,
                meaning: $meaning,
            };
        )*

        /// All events of this area.
        pub const ALL: &[Event] = &[$($name),*];
    };
}
pub(crate) use events;

/// Returns all events, sorted by number.
pub fn catalogue() -> Vec<Event> {
    let areas = [
        process::ALL,
        request::ALL,
        version::ALL,
        membership::ALL,
        rates::ALL,
        once::ALL,
        platform::ALL,
        relay::ALL,
    ];
    let mut all = areas.concat();
    all.sort_by_key(|event| event.number);
    all
}
