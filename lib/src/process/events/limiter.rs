//! Bounds the log lines of each kind.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

/// Lines of one kind in a second, so that an overloaded node spends its time on requests.
const LINES_PER_S: u32 = 40;
/// Length of the time in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What becomes of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written, after a line on how many of its kind were left out in the last window.
    Write {
        /// Lines that were left out.
        omitted: u32,
    },
    /// It is left out and counted.
    Omit,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
}

/// Counts the log lines of each kind by the event's number.
#[derive(Debug, Default)]
pub struct LineLimiter {
    windows: HashMap<u16, Window>,
}

impl LineLimiter {
    /// Decides on a line of the event `number` at `now`.
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

/// The limiter of this process. Its lock is a leaf.
static LIMITER: Mutex<Option<LineLimiter>> = Mutex::new(None);

/// Decides on a line of the event `number` in this process.
pub(super) fn decide(number: u16) -> LineDecision {
    let mut limiter = LIMITER.lock();
    limiter
        .get_or_insert_with(LineLimiter::default)
        .decide(number, Instant::now())
}
