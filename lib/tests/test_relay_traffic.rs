//! Traffic splits, routes and priorities of a traffic plan.

use balsamfold::process::relay::SplitState;
use balsamfold::values::ConfigVersion;
use balsamfold::version::HostRoutes;
use balsamfold::version::OrganisationLimits;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Priority;
use balsamfold::version::Repeatability;
use balsamfold::version::TrafficPlan;
use balsamfold::version::WeightedService;
use testutils::relay::organisation_limits;

fn route(name: &str, targets: &[(&str, u32)]) -> PlannedRoute {
    let targets = targets.iter().map(|(service, weight)| WeightedService {
        service: service.parse().expect("valid name"),
        weight: *weight,
    });
    PlannedRoute {
        name: name.to_owned(),
        targets: targets.collect(),
        repeatability: Repeatability::Idempotent,
        timeout_ms: 1_000,
        latency_objective_ms: 100,
        attempts_max: 2,
        priority: Priority(2),
        is_open: false,
    }
}

#[test]
fn split_matches_its_weights() {
    let route = route("r", &[("a", 90), ("b", 10)]);
    let mut split = SplitState::default();
    let chosen: Vec<_> = (0..200).filter_map(|_| split.choose(&route)).collect();
    let of_b = chosen.iter().filter(|service| service.as_str() == "b");
    let count = of_b.count();
    assert!(
        (19..=21).contains(&count),
        "{count} of 200 requests went to b"
    );
}

#[test]
fn split_applies_changed_weights_immediately() {
    let mut split = SplitState::default();
    split.choose(&route("r", &[("a", 90), ("b", 10)]));
    let changed = route("r", &[("b", 1)]);
    let chosen = split.choose(&changed);
    assert_eq!(chosen.map(|service| service.to_string()), Some("b".into()));
}

#[test]
fn longest_matching_prefix_is_chosen() {
    let mut plan = TrafficPlan::new(ConfigVersion(1));
    let routes = [
        ("/a/".to_owned(), route("short", &[("s", 1)])),
        ("/a/b/".to_owned(), route("long", &[("s", 1)])),
    ];
    plan.hosts
        .insert("shop".to_owned(), HostRoutes::new(routes));
    let name = |path| plan.route_of("shop", path).map(|route| route.name.clone());
    assert_eq!(name("/a/x"), Some("short".to_owned()));
    assert_eq!(name("/a/b/c/d"), Some("long".to_owned()));
    assert_eq!(name("/a/bc"), Some("short".to_owned()));
    assert_eq!(name("/a"), None);
    assert_eq!(name("/"), None);
    assert!(plan.route_of("other", "/a/x").is_none());
}

#[test]
fn organisation_priority_outranks_route_priority() {
    let urgent = PlannedRoute {
        priority: Priority(0),
        ..route("urgent", &[("s", 1)])
    };
    let common = route("common", &[("s", 1)]);
    let low = organisation_limits(1, 1);
    let high = OrganisationLimits {
        priority: Priority(0),
        ..organisation_limits(1, 1)
    };
    assert!(urgent.importance_for(Some(&low)) > common.importance_for(Some(&low)));
    assert!(common.importance_for(Some(&high)) > urgent.importance_for(Some(&low)));
    assert_eq!(
        common.importance_for(None),
        common.importance_for(Some(&high))
    );
}
