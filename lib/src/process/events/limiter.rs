//! Bounds the rate of log lines of each event.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

/// Most lines of one event per window, so that an overloaded node spends its time on requests.
const LINES_PER_S: u32 = 40;
/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Whether a log line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written, after a line with the number of lines omitted in the last window, if any.
    Write {
        /// Number of omitted lines of the event.
        omitted: u32,
    },
    /// It is omitted and counted.
    Omit,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
}

/// Counts the log lines of each event, by event number.
#[derive(Debug, Default)]
pub struct LineLimiter {
    windows: HashMap<u16, Window>,
}

impl LineLimiter {
    /// Decides whether a line of the event `number` is written at `now`, and counts it.
    pub fn decide(&mut self, number: u16, now: Instant) -> LineDecision {
        let window = self.windows.entry(number).or_insert(Window {
            started_at: now,
            lines: 0,
        });
        let omitted = match now.duration_since(window.started_at) >= WINDOW {
            true => {
                let omitted = window.lines.saturating_sub(LINES_PER_S);
                *window = Window {
                    started_at: now,
                    lines: 0,
                };
                omitted
            }
            false => 0,
        };
        window.lines += 1;
        match window.lines > LINES_PER_S {
            true => LineDecision::Omit,
            false => LineDecision::Write { omitted },
        }
    }
}

/// The limiter of this process. No other lock is taken while its lock is held.
static LIMITER: Mutex<Option<LineLimiter>> = Mutex::new(None);

/// Decides whether this process writes a line of the event `number`, and counts it.
pub(super) fn decide(number: u16) -> LineDecision {
    let mut limiter = LIMITER.lock();
    limiter
        .get_or_insert_with(LineLimiter::default)
        .decide(number, Instant::now())
}
