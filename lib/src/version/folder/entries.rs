//! Checks of single entries, by section.

use std::ops::RangeInclusive;

use super::FolderError;
use super::raw_entry::Located;
use super::raw_entry::RawEntry;
use crate::values::ClassId;
use crate::values::Importance;
use crate::values::RatePerSecond;
use crate::values::ServiceId;
use crate::values::TokenCount;
use crate::version::Access;
use crate::version::ImportanceClass;
use crate::version::KeyRecord;
use crate::version::KeyState;
use crate::version::Organisation;
use crate::version::Repeatability;
use crate::version::Route;
use crate::version::ZoneRecord;

/// Allowed weights of a zone in the division of rates.
const RATE_WEIGHTS: RangeInclusive<u32> = 1..=1_000;

/// Allowed rates of an organisation, in requests per second.
const RATES_PER_S: RangeInclusive<RatePerSecond> = RatePerSecond(1)..=RatePerSecond(1_000_000);

/// Allowed bursts of an organisation.
const BURSTS_TOKENS: RangeInclusive<TokenCount> = TokenCount(1)..=TokenCount(10_000_000);

/// Allowed deadlines of a route.
const DEADLINES_MS: RangeInclusive<u64> = 1..=600_000;

/// Allowed numbers of extra attempts of a whole call tree.
const EXTRA_ATTEMPTS: RangeInclusive<u32> = 0..=16;

/// Extra attempts of a route that does not set `extra_attempts`.
const EXTRA_ATTEMPTS_DEFAULT: u32 = 3;

/// Maximum length of the path of a route.
const PATH_MAX_BYTES: usize = 1_024;

/// A route with the name of its importance class, which may be defined in another file.
#[derive(Clone, Debug)]
pub(super) struct ClassedRoute {
    pub(super) class: ClassId,
    pub(super) route: Route,
}

impl TryFrom<RawEntry<'_>> for Located<ZoneRecord> {
    type Error = FolderError;

    fn try_from(mut entry: RawEntry<'_>) -> Result<Self, FolderError> {
        let id = entry.name();
        let region = entry.required("region");
        let rate_weight = entry.optional("rate_weight", 1);
        entry.check_range("rate_weight", rate_weight, RATE_WEIGHTS);
        entry.finish(|| {
            Some(ZoneRecord {
                id: id?,
                region: region?,
                rate_weight: rate_weight?,
            })
        })
    }
}

impl TryFrom<RawEntry<'_>> for Located<ImportanceClass> {
    type Error = FolderError;

    fn try_from(mut entry: RawEntry<'_>) -> Result<Self, FolderError> {
        let id = entry.name();
        let rank = entry.required("rank");
        entry.finish(|| {
            Some(ImportanceClass {
                id: id?,
                rank: rank?,
            })
        })
    }
}

impl TryFrom<RawEntry<'_>> for Located<Organisation> {
    type Error = FolderError;

    fn try_from(mut entry: RawEntry<'_>) -> Result<Self, FolderError> {
        let id = entry.name();
        let rate_per_s = entry.required("rate_per_s");
        let burst_tokens = entry.required("burst_tokens");
        entry.check_range("rate_per_s", rate_per_s, RATES_PER_S);
        entry.check_range("burst_tokens", burst_tokens, BURSTS_TOKENS);
        entry.finish(|| {
            Some(Organisation {
                id: id?,
                rate_per_s: rate_per_s?,
                burst_tokens: burst_tokens?,
            })
        })
    }
}

impl TryFrom<RawEntry<'_>> for Located<KeyRecord> {
    type Error = FolderError;

    fn try_from(mut entry: RawEntry<'_>) -> Result<Self, FolderError> {
        let id = entry.name();
        let hash = entry.required("hash");
        let organisation = entry.required("organisation");
        let withdrawn = entry.optional("withdrawn", false);
        entry.finish(|| {
            let state = match withdrawn? {
                true => KeyState::Withdrawn,
                false => KeyState::Active,
            };
            Some(KeyRecord {
                id: id?,
                hash: hash?,
                organisation: organisation?,
                state,
            })
        })
    }
}

impl TryFrom<RawEntry<'_>> for Located<ClassedRoute> {
    type Error = FolderError;

    fn try_from(mut entry: RawEntry<'_>) -> Result<Self, FolderError> {
        let path = checked_path(&mut entry);
        let service: Option<ServiceId> = entry.required("service");
        let class = entry.required("class");
        let repeatability: Option<Repeatability> = entry.required("repeatability");
        let access = entry.optional("access", Access::Keyed);
        let deadline_ms = entry.required("deadline_ms");
        let extra_attempts = entry.optional("extra_attempts", EXTRA_ATTEMPTS_DEFAULT);
        entry.check_range("deadline_ms", deadline_ms, DEADLINES_MS);
        entry.check_range("extra_attempts", extra_attempts, EXTRA_ATTEMPTS);
        entry.finish(|| {
            let route = Route {
                path: path?,
                service: service?,
                importance: Importance::default(),
                repeatability: repeatability?,
                access: access?,
                deadline_ms: deadline_ms?,
                extra_attempts: extra_attempts?,
            };
            let class = class?;
            Some(ClassedRoute { class, route })
        })
    }
}

/// Checks that the name of a route is an absolute path without query, escapes or trailing slash.
fn checked_path(entry: &mut RawEntry<'_>) -> Option<String> {
    let path: String = entry.name()?;
    let problem = match path.as_str() {
        "/" => None,
        text if !text.starts_with('/') => Some("path does not start with '/'"),
        text if text.ends_with('/') => Some("path ends with '/'"),
        text if text.contains("//") => Some("path has an empty segment"),
        text if text.len() > PATH_MAX_BYTES => Some("path is longer than 1024 bytes"),
        text if !text.chars().all(is_path_char) => {
            Some("path contains a character other than letters, digits and /-._~")
        }
        _ => None,
    };
    match problem {
        Some(problem) => {
            entry.record_problem("", problem.to_owned());
            None
        }
        None => Some(path),
    }
}

fn is_path_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '/' | '-' | '.' | '_' | '~')
}
