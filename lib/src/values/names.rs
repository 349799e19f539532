//! Checked names of organisations, services, zones, nodes and keys.

use snafu::Snafu;
use snafu::ensure;

/// Most characters that a name may have.
pub const NAME_MAX_CHARS: usize = 64;

/// The reason why a text is no valid name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidNameError {
    /// The text is empty or too long.
    #[snafu(display("name has {count} characters, allowed are 1 to {NAME_MAX_CHARS}"))]
    Length {
        /// Number of characters found.
        count: usize,
    },
    /// The text holds a character that no name may have.
    #[snafu(display("name holds {found:?}, allowed are a-z, 0-9, '-', '.' and '_'"))]
    Character {
        /// The first such character.
        found: char,
    },
}

/// Checks that `text` can be used as a name.
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
    /// Names a node. It stays the same over restarts of the same instance address.
    NodeId
}

name_type! {
    /// Names a key in configuration files, logs and dumps. It is not secret.
    KeyId
}

name_type! {
    /// Names an importance class, which gives routes their rank.
    ClassId
}
