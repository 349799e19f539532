//! Which part of a call tree a request to a gate is.

number_type! {
    /// Time that a call tree has run before a request of it, in milliseconds; zero for the request
    /// that begins it.
    SpentTime(u32)
}

impl SpentTime {
    /// Largest rank. All trees that have run for longer are equal.
    const RANK_MAX: u32 = 14;

    /// Returns the rank among waiting requests of equal importance: zero for a request that begins,
    /// and one more each time that the spent time doubles.
    pub fn rank(self) -> u8 {
        (u32::BITS - self.0.leading_zeros()).min(Self::RANK_MAX) as u8
    }

    /// Returns whether the request begins its tree, so that nothing is lost if it is refused.
    pub fn is_none(self) -> bool {
        self.0 == 0
    }
}

/// Which part of a call tree a request to a gate is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TreePart<'a> {
    /// The route of the request, of which the gate learns the work.
    pub route: &'a str,
    /// Time that the tree has run before.
    pub spent: SpentTime,
}
