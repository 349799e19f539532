//! The notice that a gate sends to upstream nodes: its floor, and higher floors for organisations
//! that use more than their share.

use std::cmp::Ordering;
use std::fmt;
use std::str::FromStr;

use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use super::AdmissionFloor;
use super::InvalidFloorError;
use crate::values::Importance;
use crate::values::InvalidNameError;
use crate::values::OrganisationId;
use crate::values::RequestId;

plain_data! {
    /// The floor for the requests of one organisation.
    #[derive(Eq)]
    pub struct OrganisationFloor {
        /// The organisation, which uses more than its share.
        pub organisation: OrganisationId,
        /// Its floor, which is higher than the general floor.
        pub floor: AdmissionFloor,
    }
}

plain_data! {
    /// An admission floor with its age, counted from its computation by the gate that set it.
    ///
    /// The age grows along the path, so that a floor that nodes pass on in a cycle expires. The
    /// text form, used in the `balsamfold-floor` header, is the floor, a colon and the age in
    /// milliseconds, and for each organisation a comma, its name, an equals sign and its floor.
    #[derive(Eq, Default)]
    pub struct FloorNotice {
        /// The floor for all but the named organisations.
        pub floor: AdmissionFloor,
        /// Time since the floor was computed.
        pub age_ms: u32,
        /// Organisations that use more than their share, at most [`FloorNotice::NAMED_MAX`].
        pub named: Vec<OrganisationFloor>,
    }
}

impl FloorNotice {
    /// Maximum number of organisations that a notice names.
    pub const NAMED_MAX: usize = 4;

    /// Creates a notice that names no organisation.
    pub fn new(floor: AdmissionFloor, age_ms: u32) -> Self {
        Self {
            floor,
            age_ms,
            named: Vec::new(),
        }
    }

    /// Returns the floor for an organisation, or for requests without one.
    pub fn floor_for(&self, organisation: Option<&OrganisationId>) -> AdmissionFloor {
        self.named
            .iter()
            .find(|named| Some(&named.organisation) == organisation)
            .map_or(self.floor, |named| named.floor.max(self.floor))
    }

    /// Returns whether a request passes.
    pub fn admits(
        &self,
        importance: Importance,
        organisation: Option<&OrganisationId>,
        root: RequestId,
    ) -> bool {
        self.floor_for(organisation).admits(importance, root)
    }

    /// Returns whether every request passes.
    pub fn is_open(&self) -> bool {
        self.floor == AdmissionFloor::OPEN && self.named.is_empty()
    }

    /// Merges two notices into one that refuses what either of them refuses.
    ///
    /// If there are more than [`Self::NAMED_MAX`] names, those with the lowest floors are dropped.
    pub fn merge(mut self, other: Self) -> Self {
        (self.floor, self.age_ms) = match self.floor.cmp(&other.floor) {
            Ordering::Less => (other.floor, other.age_ms),
            Ordering::Equal => (self.floor, self.age_ms.min(other.age_ms)),
            Ordering::Greater => (self.floor, self.age_ms),
        };
        for named in other.named {
            match self.position_of(&named.organisation) {
                Some(at) => self.named[at].floor = self.named[at].floor.max(named.floor),
                None => self.named.push(named),
            }
        }
        self.keep_highest_names()
    }

    /// Removes names whose floor is not above the general floor, and those beyond the maximum.
    pub(super) fn keep_highest_names(mut self) -> Self {
        let floor = self.floor;
        self.named.retain(|named| named.floor > floor);
        self.named
            .sort_by_key(|named| std::cmp::Reverse(named.floor));
        self.named.truncate(Self::NAMED_MAX);
        self
    }

    fn position_of(&self, organisation: &OrganisationId) -> Option<usize> {
        let mut names = self.named.iter().map(|named| &named.organisation);
        names.position(|name| name == organisation)
    }
}

impl fmt::Display for FloorNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.floor, self.age_ms)?;
        for named in &self.named {
            write!(f, ",{}={}", named.organisation, named.floor)?;
        }
        Ok(())
    }
}

/// An error from parsing a floor notice.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidNoticeError {
    /// A separator is missing.
    #[snafu(display("missing separator in floor notice"))]
    Separator,
    /// A floor is invalid.
    #[snafu(display("invalid floor in floor notice"))]
    Floor {
        /// Why the floor was rejected.
        source: InvalidFloorError,
    },
    /// The age is not a number of milliseconds.
    #[snafu(display("age in floor notice is not a number of milliseconds"))]
    Age {
        /// Why the number was rejected.
        source: std::num::ParseIntError,
    },
    /// The name of an organisation is invalid.
    #[snafu(display("invalid organisation name in floor notice"))]
    Organisation {
        /// Why the name was rejected.
        source: InvalidNameError,
    },
    /// The text names more organisations than a notice may hold.
    #[snafu(display(
        "floor notice names more than {} organisations",
        FloorNotice::NAMED_MAX
    ))]
    TooMany,
}

impl FromStr for FloorNotice {
    type Err = InvalidNoticeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(',');
        let general = parts.next().unwrap_or_default();
        let (floor, age_ms) = general.rsplit_once(':').context(SeparatorSnafu)?;
        let named = parts.map(parse_named).collect::<Result<Vec<_>, _>>()?;
        snafu::ensure!(named.len() <= Self::NAMED_MAX, TooManySnafu);
        Ok(Self {
            floor: floor.parse().context(FloorSnafu)?,
            age_ms: age_ms.parse().context(AgeSnafu)?,
            named,
        })
    }
}

fn parse_named(text: &str) -> Result<OrganisationFloor, InvalidNoticeError> {
    let (organisation, floor) = text.split_once('=').context(SeparatorSnafu)?;
    Ok(OrganisationFloor {
        organisation: organisation.parse().context(OrganisationSnafu)?,
        floor: floor.parse().context(FloorSnafu)?,
    })
}
