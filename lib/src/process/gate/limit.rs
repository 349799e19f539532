//! The concurrency limit of one backend server.

use std::time::Duration;

use super::Completion;
use super::CompletionOutcome;
use crate::values::MonotonicTime;
use crate::values::SlotCount;

/// Measurements of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started_at: MonotonicTime,
    answered: u32,
    refused: u32,
    own_us: f64,
    peak_in_flight: u32,
}

impl Window {
    fn mean_us(&self) -> f64 {
        self.own_us / f64::from(self.answered.max(1))
    }

    fn refused_fraction(&self) -> f64 {
        f64::from(self.refused) / f64::from((self.answered + self.refused).max(1))
    }
}

/// The state of the adaptation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The limit equals the announced slots and does not adapt.
    Fixed,
    /// The server is cold: the limit doubles with each window.
    Ramping,
    /// The limit grows while latency is normal.
    Steady,
    /// The latency before a trial is being measured.
    Measuring,
    /// The trial limit is set, and requests started before that are still finishing.
    Settling { baseline: Baseline },
    /// The latency at the trial limit is being compared with the baseline.
    Comparing { baseline: Baseline },
}

/// The limit and the mean latency before a trial of another limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Baseline {
    limit: f64,
    mean_us: f64,
}

/// The concurrency limit of one backend server.
///
/// The limit lies between one and the announced slots. It adapts only to the node's own
/// observations: latency of complete responses and refusals by the server. High latency alone does
/// not lower it, because a server whose own dependencies are slow does less work with fewer
/// concurrent requests. While latency is high, a lower limit is tried, and kept only if latency
/// falls with it. A limit that was lowered is tried at a higher value, and kept there unless
/// latency rises with it.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    announced: f64,
    limit: f64,
    phase: Phase,
    window: Window,
    normal_us: Option<f64>,
    refused_limit: Option<(f64, MonotonicTime)>,
    next_trial_at: MonotonicTime,
    trial_pause: Duration,
    raise_next: bool,
}

impl AdaptiveLimit {
    /// Minimum time over which latency is averaged.
    const WINDOW: Duration = Duration::from_millis(100);

    /// Fraction of the announced slots that a cold server starts with.
    const COLD_FRACTION: f64 = 0.1;

    /// Factor by which the limit grows in one window while latency is normal.
    const GROWTH_FACTOR: f64 = 1.25;

    /// Factor by which a trial lowers the limit; a trial that raises it applies the inverse.
    const TRIAL_FACTOR: f64 = 0.75;

    /// Ratio of the latency at the lower limit to that at the higher limit, at or below which
    /// latency depends on the limit.
    const TRIAL_LATENCY_RATIO_MAX: f64 = 0.88;

    /// Complete responses over which latency is averaged before and during a trial.
    const TRIAL_SAMPLES: f64 = 64.0;

    /// Maximum number of responses that a window outside trials waits for.
    const WINDOW_SAMPLES_MAX: f64 = 20.0;

    /// Time for which latency must be high before the first trial.
    const TRIAL_DELAY: Duration = Duration::from_secs(3);

    /// Ratio to the normal latency from which latency counts as high.
    const HIGH_LATENCY_RATIO: f64 = 2.0;

    /// Ratio to the normal latency below which the limit grows.
    const GROWTH_LATENCY_RATIO: f64 = 1.5;

    /// Factor by which the normal latency rises in a window with a higher latency.
    const NORMAL_RISE: f64 = 1.001;

    /// Maximum fraction by which refusals lower the limit in one window.
    const REFUSAL_CUT_MAX: f64 = 0.5;

    /// Minimum fraction by which refusals lower the limit in one window.
    const REFUSAL_CUT_MIN: f64 = 0.05;

    /// Fraction of the concurrency at which the server refused, up to which the limit may grow
    /// before [`Self::REFUSED_HOLD`] has passed.
    const REFUSED_MARGIN: f64 = 0.95;

    /// Time after a refusal before the limit may exceed the concurrency at which it occurred.
    const REFUSED_HOLD: Duration = Duration::from_secs(1);

    /// Pause after a failed trial; it doubles with each further failure.
    const TRIAL_PAUSE: Duration = Duration::from_secs(6);

    /// Maximum pause between trials.
    const TRIAL_PAUSE_MAX: Duration = Duration::from_secs(48);

    /// Creates the limit of a server that has just announced itself.
    pub fn cold(announced: SlotCount, now: MonotonicTime) -> Self {
        let announced = f64::from(announced.0.max(1));
        Self {
            announced,
            limit: (announced * Self::COLD_FRACTION).max(1.0),
            phase: Phase::Ramping,
            window: Window {
                started_at: now,
                ..Window::default()
            },
            normal_us: None,
            refused_limit: None,
            next_trial_at: now,
            trial_pause: Self::TRIAL_PAUSE,
            raise_next: false,
        }
    }

    /// Creates the limit of a server that is known to be warm.
    pub fn warm(announced: SlotCount, now: MonotonicTime) -> Self {
        let cold = Self::cold(announced, now);
        Self {
            limit: cold.announced,
            phase: Phase::Steady,
            ..cold
        }
    }

    /// Creates a limit that always equals the announced slots.
    ///
    /// For a server whose announced slots are exact and that gets all its requests through this
    /// gate.
    pub fn fixed(announced: SlotCount, now: MonotonicTime) -> Self {
        let cold = Self::cold(announced, now);
        Self {
            limit: cold.announced,
            phase: Phase::Fixed,
            ..cold
        }
    }

    /// Returns how many requests may run at the same time.
    pub fn slots(&self) -> u32 {
        self.limit.floor().max(1.0) as u32
    }

    /// Returns how many concurrent requests the server announced.
    pub fn announced(&self) -> SlotCount {
        SlotCount(self.announced as u32)
    }

    /// Returns whether the server is cold and its limit still rises.
    pub fn is_ramping(&self) -> bool {
        self.phase == Phase::Ramping
    }

    /// Applies a new announcement of a server that is still running.
    pub fn set_announced_slots(&mut self, announced: SlotCount) {
        self.announced = f64::from(announced.0.max(1));
        self.limit = match self.phase {
            Phase::Fixed => self.announced,
            _ => self.limit.min(self.announced),
        };
    }

    /// Counts a request that starts; `in_flight` includes it.
    pub fn record_start(&mut self, in_flight: u32) {
        self.window.peak_in_flight = self.window.peak_in_flight.max(in_flight);
    }

    /// Records the end of a request, and adapts the limit if the window is complete.
    pub fn record_end(&mut self, completion: &Completion, now: MonotonicTime) {
        match completion.outcome {
            CompletionOutcome::Answered => {
                self.window.answered += 1;
                self.window.own_us += completion.own_time().as_micros() as f64;
            }
            CompletionOutcome::ServerRefused => self.window.refused += 1,
            CompletionOutcome::Failed
            | CompletionOutcome::Cancelled
            | CompletionOutcome::NotSent => {}
        }
        if self.phase != Phase::Fixed && self.window_is_over(now) {
            self.close_window(now);
        }
    }

    fn window_is_over(&self, now: MonotonicTime) -> bool {
        let seen = f64::from(self.window.answered + self.window.refused);
        let needed = match self.phase {
            Phase::Measuring | Phase::Comparing { .. } => Self::TRIAL_SAMPLES,
            _ => self.limit.min(Self::WINDOW_SAMPLES_MAX),
        };
        now.since(self.window.started_at) >= Self::WINDOW && seen >= needed
    }

    fn close_window(&mut self, now: MonotonicTime) {
        let window = std::mem::take(&mut self.window);
        self.window.started_at = now;
        match window.refused {
            0 => self.adjust_to_latency(&window, now),
            _ => self.adjust_to_refusals(&window, now),
        }
        self.limit = self.limit.clamp(1.0, self.announced);
    }

    fn adjust_to_refusals(&mut self, window: &Window, now: MonotonicTime) {
        let cut = window
            .refused_fraction()
            .clamp(Self::REFUSAL_CUT_MIN, Self::REFUSAL_CUT_MAX);
        let used = f64::from(window.peak_in_flight.max(1)).min(self.limit);
        self.refused_limit = Some((used, now));
        self.limit = used * (1.0 - cut);
        self.phase = Phase::Steady;
    }

    fn adjust_to_latency(&mut self, window: &Window, now: MonotonicTime) {
        let mean_us = window.mean_us();
        let ratio = mean_us / self.update_normal_us(mean_us);
        let saturated = f64::from(window.peak_in_flight) >= self.limit.floor();
        match self.phase {
            Phase::Fixed => {}
            Phase::Measuring => self.begin_trial(mean_us),
            Phase::Settling { baseline } => self.phase = Phase::Comparing { baseline },
            Phase::Comparing { baseline } => self.end_trial(baseline, mean_us, now),
            Phase::Ramping if self.limit >= self.announced => self.phase = Phase::Steady,
            Phase::Ramping => self.limit *= 2.0,
            Phase::Steady if ratio < Self::GROWTH_LATENCY_RATIO => self.grow(now),
            Phase::Steady if ratio < Self::HIGH_LATENCY_RATIO => self.postpone_trial(now),
            Phase::Steady if saturated && now >= self.next_trial_at => {
                self.phase = Phase::Measuring;
            }
            Phase::Steady => {}
        }
    }

    /// Tracks the lowest latency observed, which rises slowly so that an old minimum expires.
    fn update_normal_us(&mut self, mean_us: f64) -> f64 {
        let normal_us = match self.normal_us {
            Some(normal_us) if normal_us < mean_us => (normal_us * Self::NORMAL_RISE).min(mean_us),
            _ => mean_us.max(1.0),
        };
        self.normal_us = Some(normal_us);
        normal_us
    }

    fn grow(&mut self, now: MonotonicTime) {
        let grown = (self.limit * Self::GROWTH_FACTOR).max(self.limit + 1.0);
        self.limit = match self.refused_limit {
            Some((refused, at)) if now.since(at) < Self::REFUSED_HOLD => {
                grown.min((refused * Self::REFUSED_MARGIN).max(self.limit))
            }
            _ => grown,
        };
        self.trial_pause = Self::TRIAL_PAUSE;
        self.raise_next = false;
        self.postpone_trial(now);
    }

    fn postpone_trial(&mut self, now: MonotonicTime) {
        self.next_trial_at = self.next_trial_at.max(now.after(Self::TRIAL_DELAY));
    }

    /// Tries a higher limit if the limit was lowered before, and a lower one otherwise.
    fn begin_trial(&mut self, mean_us: f64) {
        let baseline = Baseline {
            limit: self.limit,
            mean_us,
        };
        self.limit = match self.raise_next {
            true => (self.limit / Self::TRIAL_FACTOR).max(self.limit + 1.0),
            false => self.limit * Self::TRIAL_FACTOR,
        };
        self.phase = Phase::Settling { baseline };
    }

    fn end_trial(&mut self, baseline: Baseline, mean_us: f64, now: MonotonicTime) {
        self.phase = Phase::Steady;
        let raised = self.limit > baseline.limit;
        let latency_changed = match raised {
            true => baseline.mean_us <= mean_us * Self::TRIAL_LATENCY_RATIO_MAX,
            false => mean_us <= baseline.mean_us * Self::TRIAL_LATENCY_RATIO_MAX,
        };
        let keeps = raised != latency_changed;
        if keeps {
            self.raise_next = raised && self.limit < self.announced;
            return;
        }
        self.limit = baseline.limit;
        self.raise_next = !raised && self.limit < self.announced;
        self.next_trial_at = now.after(self.trial_pause);
        self.trial_pause = (self.trial_pause * 2).min(Self::TRIAL_PAUSE_MAX);
    }
}
