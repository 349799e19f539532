//! Choice of a node's incarnation, without persistent storage.

use crate::values::Incarnation;
use crate::values::WallTime;

/// Number of low bits of an incarnation, which count changes within one run of the process.
const CHANGE_BITS: u32 = 16;

/// Highest generation of a plausible incarnation, which leaves room for a higher one.
const GENERATION_MAX: u64 = (1 << (u64::BITS - CHANGE_BITS)) - 2;

impl Incarnation {
    /// Returns the incarnation of a process that starts at `wall`.
    pub fn at_start(wall: WallTime) -> Self {
        Self(wall.0.min(GENERATION_MAX) << CHANGE_BITS)
    }

    /// Returns the part that identifies one run of the process. It differs after a restart, and is
    /// the same after a refutation or a new announcement.
    pub fn generation(self) -> u64 {
        self.0 >> CHANGE_BITS
    }

    /// Returns whether the incarnation leaves room for a higher one.
    pub fn is_plausible(self) -> bool {
        self.generation() <= GENERATION_MAX
    }

    /// Returns the next incarnation of the same node.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns an incarnation above both this one and `observed`.
    ///
    /// If `observed` has a higher generation, the clock stepped back during the restart. The result
    /// then has a generation of its own.
    pub fn raised_over(self, observed: Self) -> Self {
        match observed.generation() > self.generation() {
            true => Self((observed.generation() + 1) << CHANGE_BITS),
            false => self.max(observed).next(),
        }
    }
}
