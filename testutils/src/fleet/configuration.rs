//! Small configurations for tests.

use std::collections::BTreeMap;

use balsamfold::values::ConfigVersion;
use balsamfold::values::Importance;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::version::Access;
use balsamfold::version::CallerKey;
use balsamfold::version::ChangeId;
use balsamfold::version::Configuration;
use balsamfold::version::KeyHash;
use balsamfold::version::KeyRecord;
use balsamfold::version::KeyState;
use balsamfold::version::Organisation;
use balsamfold::version::Repeatability;
use balsamfold::version::Route;
use balsamfold::version::ZoneRecord;
use uuid::Uuid;

use super::test_fleet::parse;

const RATE_PER_S: u32 = 10_000;
const BURST_TOKENS: u64 = 10_000;
const DEADLINE_MS: u64 = 5_000;
const EXTRA_ATTEMPTS: u32 = 6;

/// Returns the key of a sample organisation.
pub fn sample_key(organisation: &str) -> CallerKey {
    CallerKey::new(&format!("sample-key-of-{organisation}"))
}

/// Returns an idempotent, keyed route with the path `/SERVICE` to a service.
pub fn sample_route(service: &str) -> Route {
    Route {
        path: format!("/{service}"),
        service: parse(service),
        importance: Importance(5),
        repeatability: Repeatability::Idempotent,
        access: Access::Keyed,
        deadline_ms: DEADLINE_MS,
        extra_attempts: EXTRA_ATTEMPTS,
    }
}

/// Returns version 1 with one key for each organisation and one route for each service.
pub fn sample_configuration(
    zones: &[&str],
    organisations: &[&str],
    services: &[&str],
) -> Configuration {
    let zones = zones.iter().map(|zone| ZoneRecord {
        id: parse(zone),
        region: parse("region"),
        rate_weight: 1,
    });
    let keys = organisations.iter().map(|organisation| KeyRecord {
        id: parse(organisation),
        hash: KeyHash::of(&sample_key(organisation)),
        organisation: parse(organisation),
        state: KeyState::Active,
    });
    let organisations = organisations.iter().map(|organisation| Organisation {
        id: parse(organisation),
        rate_per_s: RatePerSecond(RATE_PER_S),
        burst_tokens: TokenCount(BURST_TOKENS),
    });
    Configuration {
        version: ConfigVersion(1),
        change_id: ChangeId(Uuid::nil()),
        recent_changes: Vec::new(),
        zones: zones.map(|zone| (zone.id.clone(), zone)).collect(),
        organisations: organisations
            .map(|organisation| (organisation.id.clone(), organisation))
            .collect(),
        keys: keys.map(|key| (key.id.clone(), key)).collect(),
        classes: BTreeMap::new(),
        routes: services
            .iter()
            .map(|service| sample_route(service))
            .collect(),
    }
}
