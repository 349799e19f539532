//! Determines the outcome of a compare-and-swap whose reply may be lost.

use super::PlatformError;
use super::Revision;
use super::StoredValue;
use super::SwapReply;

/// Whether a value shows that a change took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSeen {
    /// The value holds the change or was made from one that did.
    Yes,
    /// The change took no effect.
    No,
    /// The value does not show whether the change took effect: too many changes followed.
    Unknown,
}

/// The next step of a compare-and-swap.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the compare-and-swap.
    Swap,
    /// Read the current value.
    Read,
    /// The change took effect.
    Done,
    /// Another change took effect first; the key now has this value.
    Conflict(Option<StoredValue>),
    /// The change may or may not have taken effect, now or later.
    Unknown,
    /// The change did not take effect and will not.
    NothingChanged(PlatformError),
}

/// The state of one compare-and-swap over several tries.
///
/// After a lost reply, the value is read back. If it shows the change, the change is done; if it
/// shows another one, there is a conflict. If the key is unchanged, the lost call may still arrive,
/// so the same call is sent again: at most one of them can take effect, since both expect the same
/// revision.
#[derive(Clone, Debug)]
pub struct SwapRetry {
    expected: Option<Revision>,
    tries_left: u32,
    reply_lost: bool,
}

impl SwapRetry {
    /// Allows at most `tries` calls, reads included, on a key with the revision `expected`.
    pub fn new(expected: Option<Revision>, tries: u32) -> Self {
        Self {
            expected,
            tries_left: tries,
            reply_lost: false,
        }
    }

    /// Returns the step after the reply to a compare-and-swap.
    pub fn after_swap(
        &mut self,
        reply: Result<SwapReply, PlatformError>,
        seen: impl Fn(Option<&StoredValue>) -> ChangeSeen,
    ) -> Step {
        match reply {
            Ok(SwapReply::Done(_)) => Step::Done,
            Ok(SwapReply::Conflict(current)) => self.step_for_value(current, seen),
            Err(error) if error.may_have_run() => {
                self.reply_lost = true;
                self.try_again(Step::Read, error)
            }
            Err(error) => self.try_again(Step::Swap, error),
        }
    }

    /// Returns the step after the reply to a read.
    pub fn after_read(
        &mut self,
        reply: Result<Option<StoredValue>, PlatformError>,
        seen: impl Fn(Option<&StoredValue>) -> ChangeSeen,
    ) -> Step {
        match reply {
            Ok(current) if self.is_unchanged(current.as_ref()) => self.send_again(),
            Ok(current) => self.step_for_value(current, seen),
            Err(error) => self.try_again(Step::Read, error),
        }
    }

    fn is_unchanged(&self, current: Option<&StoredValue>) -> bool {
        current.map(|stored| stored.revision) == self.expected
    }

    fn step_for_value(
        &self,
        current: Option<StoredValue>,
        seen: impl Fn(Option<&StoredValue>) -> ChangeSeen,
    ) -> Step {
        match seen(current.as_ref()) {
            ChangeSeen::Yes => Step::Done,
            ChangeSeen::Unknown if self.reply_lost => Step::Unknown,
            ChangeSeen::No | ChangeSeen::Unknown => Step::Conflict(current),
        }
    }

    fn send_again(&mut self) -> Step {
        match self.take_try() {
            true => Step::Swap,
            false => Step::Unknown,
        }
    }

    fn try_again(&mut self, step: Step, error: PlatformError) -> Step {
        match self.take_try() {
            true => step,
            false if self.reply_lost => Step::Unknown,
            false => Step::NothingChanged(error),
        }
    }

    fn take_try(&mut self) -> bool {
        self.tries_left = self.tries_left.saturating_sub(1);
        self.tries_left > 0
    }
}
