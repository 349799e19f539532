//! The admission floor: which requests a gate currently refuses.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::values::Importance;
use crate::values::RequestId;

plain_value! {
    /// Specifies which requests a gate currently refuses: all below an importance, and a fraction
    /// of those at that importance, selected by a hash of the root request's id.
    ///
    /// All gates use the same hash, and so admit or refuse all calls of a root request alike.
    /// Floors are ordered: a higher floor refuses everything that a lower one refuses. The text
    /// form is the importance, a colon and the cut in hexadecimal digits.
    #[derive(Default)]
    pub struct AdmissionFloor {
        /// Requests of lower importance are refused.
        pub importance: Importance,
        /// Parts of the hash space, out of 65536, that are refused at `importance`.
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

    /// Returns whether a request passes this floor.
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

    /// Creates the floor that admits a fraction of the requests of an importance.
    pub fn keeping(importance: Importance, kept_fraction: f64) -> Self {
        let refused = (1.0 - kept_fraction.clamp(0.0, 1.0)) * Self::PARTS;
        Self {
            importance,
            cut: refused.min(f64::from(u16::MAX)) as u16,
        }
    }
}

/// Returns the part of the hash space to which a root request belongs.
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

/// An error from parsing an admission floor.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidFloorError {
    /// The colon is missing.
    #[snafu(display("missing colon in admission floor"))]
    Colon,
    /// The importance is not a number from 0 to 255.
    #[snafu(display("importance in admission floor is not a number from 0 to 255"))]
    Importance {
        /// Why the number was rejected.
        source: std::num::ParseIntError,
    },
    /// The cut is not a hexadecimal number of up to four digits.
    #[snafu(display("cut in admission floor is not a hexadecimal number up to ffff"))]
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
