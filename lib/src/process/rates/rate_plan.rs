//! The limits that are in force, and the zones that share them.

use std::collections::BTreeMap;

use super::ZoneLayout;
use crate::values::OrganisationId;
use crate::version::Configuration;
use crate::version::Organisation;

/// The limits of organisations that are in force, and the zones that share them.
#[derive(Clone, Debug, PartialEq)]
pub struct RatePlan {
    /// Weights by which the zones share the limits.
    pub layout: ZoneLayout,
    /// Organisations that have a limit.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
}

impl From<&Configuration> for RatePlan {
    fn from(configuration: &Configuration) -> Self {
        Self {
            layout: ZoneLayout::of(configuration),
            organisations: configuration.organisations.clone(),
        }
    }
}
