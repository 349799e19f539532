//! Sample values for tests of relays.

use std::ops::Range;

use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::OrganisationId;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::version::OrganisationLimits;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Priority;
use balsamfold::version::Repeatability;
use balsamfold::version::WeightedService;

use super::fleet::StoredPlan;

/// Valid settings of a relay; nothing listens at the addresses of its server and store.
pub const SAMPLE_SETTINGS: &str = r#"
node = "node-1"
zone = "zone-a"
service = "stock"
server_address = "127.0.0.1:1"
store_address = "127.0.0.1:2"

[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
ready = "127.0.0.1:0"
reports = "127.0.0.1:0"

[zones]
zone-a = "north"

[bounds]
configuration_apply_ms = 2000
key_withdrawal_ms = 5000
key_withdrawal_is_strict = true
stop_grace_s = 6
retry_ratio = 0.2
retry_slack = 48
retry_window_s = 10
"#;

/// Returns the monotonic time `ms` milliseconds after zero.
pub fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

/// Returns the organisation `org-a`.
pub fn sample_organisation() -> OrganisationId {
    "org-a".parse().expect("valid name")
}

/// Returns the limits of `org-a` with the given rate and burst, and priority 1.
pub fn organisation_limits(rate_per_s: u32, burst: u64) -> OrganisationLimits {
    OrganisationLimits {
        id: sample_organisation(),
        rate_per_s: Some(RatePerSecond(rate_per_s)),
        burst: TokenCount(burst),
        priority: Priority(1),
    }
}

/// Returns a configuration with an open route at `/stock/` to the service `stock`.
pub fn sample_open_plan() -> StoredPlan {
    let route = PlannedRoute {
        is_open: true,
        ..sample_route("stock", "stock", Repeatability::Idempotent)
    };
    StoredPlan {
        version: 1,
        routes: vec![("shop".to_owned(), "/stock/".to_owned(), route)],
        organisations: Vec::new(),
    }
}

/// Returns a configuration with a route at `/stock/` to the service `stock`, for an organisation with
/// these keys.
pub fn sample_keyed_plan(version: u64, keys: &[&str]) -> StoredPlan {
    let route = sample_route("stock", "stock", Repeatability::Idempotent);
    let keys = keys.iter().map(|key| (*key).to_owned());
    StoredPlan {
        version,
        routes: vec![("shop".to_owned(), "/stock/".to_owned(), route)],
        organisations: vec![(organisation_limits(10_000, 10_000), keys.collect())],
    }
}

/// Returns a route with three attempts to one service.
pub fn sample_route(name: &str, service: &str, repeatability: Repeatability) -> PlannedRoute {
    PlannedRoute {
        name: name.to_owned(),
        targets: vec![WeightedService {
            service: service.parse().expect("valid name"),
            weight: 1,
        }],
        repeatability,
        timeout_ms: 5_000,
        latency_objective_ms: 100,
        attempts_max: 3,
        priority: Priority(1),
        is_open: false,
    }
}

/// Returns the record of a node without a backend server.
pub fn sample_node_record(name: &str, zone: &str, condition: NodeCondition) -> NodeRecord {
    let unused = "127.0.0.1:0".parse().expect("valid address");
    NodeRecord {
        id: name.parse().expect("valid name"),
        zone: zone.parse().expect("valid name"),
        addresses: NodeAddresses {
            peer: unused,
            control: unused,
            probe: unused,
        },
        incarnation: Incarnation(1),
        condition,
        server: None,
    }
}

/// Returns the seeds of `SOAK_SEEDS`, a count or a range such as `3..5`, or else `default`.
pub fn soak_seeds(default: Range<u64>) -> Range<u64> {
    let Ok(given) = std::env::var("SOAK_SEEDS") else {
        return default;
    };
    let (first, end) = given.split_once("..").unwrap_or(("0", &given));
    let number = |text: &str| text.parse::<u64>().expect("a number of seeds");
    number(first)..number(end)
}
