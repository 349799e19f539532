//! The admission floor: which requests a gate refuses at present.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::values::Importance;
use crate::values::RequestId;

plain_value! {
    /// Which requests a gate refuses at present: all below an importance, and a part of those at
    /// that importance, chosen by a hash of the root request's id.
    ///
    /// All gates use the same hash and so keep or drop the same whole requests. Floors are ordered:
    /// a higher floor refuses all that a lower one refuses. The text form is the importance, a colon
    /// and the cut in hexadecimal digits.
    #[derive(Default)]
    pub struct AdmissionFloor {
        /// Requests of lower importance are refused.
        pub importance: Importance,
        /// Parts of 65536 of the hash space that are refused at `importance`.
        pub cut: u16,
    }
}

impl AdmissionFloor {
    /// The floor that refuses nothing.
    pub const OPEN: Self = Self {
        importance: Importance(0),
        cut: 0,
    };

    /// Number of parts into which the hash space is divided.
    pub const PARTS: f64 = 65536.0;

    /// Returns whether a request passes.
    pub fn admits(&self, importance: Importance, root: RequestId) -> bool {
        (importance, hash_part(root)) >= (self.importance, self.cut)
    }

    /// Returns the fraction of the requests of an importance that pass.
    pub fn kept_fraction(&self, importance: Importance) -> f64 {
        match importance.cmp(&self.importance) {
            std::cmp::Ordering::Less => 0.0,
            std::cmp::Ordering::Equal => 1.0 - f64::from(self.cut) / Self::PARTS,
            std::cmp::Ordering::Greater => 1.0,
        }
    }

    /// Makes the floor that keeps a fraction of the requests of an importance.
    pub fn keeping(importance: Importance, kept_fraction: f64) -> Self {
        let refused = (1.0 - kept_fraction.clamp(0.0, 1.0)) * Self::PARTS;
        Self {
            importance,
            cut: refused.min(f64::from(u16::MAX)) as u16,
        }
    }
}

/// Returns the part of the hash space in which a root request lies.
fn hash_part(root: RequestId) -> u16 {
    (mix(root) >> 48) as u16
}

/// Mixes the bits of a root request's id (the finalizer of SplitMix64).
pub(super) fn mix(root: RequestId) -> u64 {
    let mut z = (root.0 as u64) ^ ((root.0 >> 64) as u64).rotate_left(32);
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl fmt::Display for AdmissionFloor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:x}", self.importance, self.cut)
    }
}

/// The reason why a text is no admission floor.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidFloorError {
    /// A colon is missing.
    #[snafu(display("admission floor lacks a colon"))]
    Colon,
    /// The importance is no number from 0 to 255.
    #[snafu(display("importance of the admission floor is no number from 0 to 255"))]
    Importance {
        /// Why the number was rejected.
        source: std::num::ParseIntError,
    },
    /// The cut is no hexadecimal number of up to four digits.
    #[snafu(display("cut of the admission floor is no hexadecimal number up to ffff"))]
    Cut {
        /// Why the number was rejected.
        source: std::num::ParseIntError,
    },
}

impl FromStr for AdmissionFloor {
    type Err = InvalidFloorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (importance, cut) = text.split_once(':').context(ColonSnafu)?;
        Ok(Self {
            importance: importance.parse().context(ImportanceSnafu)?,
            cut: u16::from_str_radix(cut, 16).context(CutSnafu)?,
        })
    }
}
