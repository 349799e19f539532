//! Checked names of organisations, services, zones, regions, nodes, keys and importance classes.

use snafu::Snafu;
use snafu::ensure;

/// Maximum number of characters in a name.
pub const NAME_MAX_CHARS: usize = 64;

/// The reason why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidNameError {
    /// The text is empty or too long.
    #[snafu(display("name has {count} characters, expected 1 to {NAME_MAX_CHARS}"))]
    Length {
        /// Number of characters found.
        count: usize,
    },
    /// The text contains a character that is not allowed in names.
    #[snafu(display("name contains {found:?}, expected a-z, 0-9, '-', '.' or '_'"))]
    Character {
        /// The first such character.
        found: char,
    },
}

/// Checks that `text` is a valid name.
pub(crate) fn check_name(text: &str) -> Result<(), InvalidNameError> {
    let count = text.chars().count();
    ensure!((1..=NAME_MAX_CHARS).contains(&count), LengthSnafu { count });
    match text.chars().find(|c| !is_name_char(*c)) {
        Some(found) => CharacterSnafu { found }.fail(),
        None => Ok(()),
    }
}

fn is_name_char(c: char) -> bool {
    matches!(c, 'a'..='z' | '0'..='9' | '-' | '.' | '_')
}

name_type! {
    /// Names an organisation: a tenant whose keys callers present.
    OrganisationId
}

name_type! {
    /// Names a service: all backend servers that run the same program.
    ServiceId
}

name_type! {
    /// Names an availability zone.
    ZoneId
}

name_type! {
    /// Names a region: availability zones that are close to each other.
    RegionId
}

name_type! {
    /// Names a node. It stays the same across restarts of the same instance address.
    NodeId
}

name_type! {
    /// Names a key in configuration files, logs and dumps. It is not secret.
    KeyId
}

name_type! {
    /// Names an importance class, which determines the importance of its routes.
    ClassId
}
