//! Floors of services from the loads of their servers, and the services that routes need.

use std::time::Duration;

use balsamfold::process::gate::AdmissionFloor;
use balsamfold::process::gate::CallTree;
use balsamfold::process::gate::DownstreamFloors;
use balsamfold::process::gate::FloorNotice;
use balsamfold::process::gate::OrganisationFloor;
use balsamfold::process::gate::RouteTrees;
use balsamfold::process::gate::ServerLoad;
use balsamfold::process::gate::ServiceFloor;
use balsamfold::process::load::LoadReport;
use balsamfold::process::load::LoadTable;
use balsamfold::process::load::NodeKey;
use balsamfold::values::Importance;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::OrganisationId;
use balsamfold::values::RequestId;
use balsamfold::values::ServiceId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const IMPORTANCE: Importance = Importance(100);

fn keeping(kept_fraction: f64) -> FloorNotice {
    FloorNotice::new(AdmissionFloor::keeping(IMPORTANCE, kept_fraction), 0)
}

fn server(capacity: f64, free_fraction: f64, floor: Option<&FloorNotice>) -> ServerLoad<'_> {
    ServerLoad {
        capacity,
        free_fraction,
        floor,
    }
}

fn kept(servers: &[ServerLoad<'_>], importance: Importance) -> f64 {
    let floor = ServiceFloor::of(servers.iter().copied()).expect("servers are known");
    floor.floor.kept_fraction(importance)
}

/// The share of the requests of a route that one door passes, where the floors of 23 servers say to
/// keep `kept_fraction`, each with its own error.
fn passed_share(per_s: f64, kept_fraction: f64) -> f64 {
    let mut random = SmallRng::seed_from_u64(1);
    let ids: Vec<NodeId> = (0..23)
        .map(|at| format!("server-{at}").parse().unwrap())
        .collect();
    let mut loads = LoadTable::default();
    loads.set_nodes(&"door".parse().unwrap(), &ids);
    let mut door = DownstreamFloors::default();
    let (mut sent, mut passed) = (0, 0);
    let mut next_ms = 0.0;
    for now_ms in (10_000..130_000_u64).step_by(10) {
        let now = MonotonicTime(now_ms * 1_000);
        if now_ms % 100 == 0 {
            let reports = (0..4).map(|_| {
                let error = random.random_range(-0.15..0.15);
                LoadReport {
                    node: NodeKey::from(&ids[random.random_range(0..23)]),
                    age_ms: random.random_range(0..300),
                    slots: 22,
                    in_flight: 22,
                    waiting: 5,
                    held_us: 33_000,
                    failed_percent: 0,
                    takes_per_s: None,
                    floor: Some(keeping(kept_fraction + error)),
                }
            });
            loads.merge(reports.collect(), now);
        }
        while next_ms < now_ms as f64 {
            next_ms = f64::max(next_ms, now_ms as f64 - 10.0);
            next_ms -= random.random::<f64>().ln() / per_s * 1e3;
            let servers: Vec<_> = loads
                .known(now)
                .map(|known| ServerLoad::from(known.report()))
                .collect();
            let floor = ServiceFloor::of(servers.into_iter()).unwrap_or_default();
            let root = RequestId(random.random());
            let admission = door.check_known("route", floor.floor, IMPORTANCE, root, now);
            sent += 1;
            passed += u32::from(admission.into_result().is_ok());
        }
    }
    f64::from(passed) / f64::from(sent)
}

/// A door with few requests of a route forgot the floor in between: at 2.4 requests a second it
/// passed 0.87 where the floor said to keep 0.5, and 0.73 for 0.05.
#[test]
fn doors_with_little_traffic_keep_what_the_floor_says() {
    for per_s in [2.4, 10.0, 26.0, 100.0] {
        for kept_fraction in [0.5, 0.2, 0.15] {
            let passed = passed_share(per_s, kept_fraction);
            let error = (passed - kept_fraction).abs();
            assert!(
                error < 0.1,
                "{passed} of {kept_fraction} at {per_s} a second"
            );
        }
    }
}

#[test]
fn floor_of_a_service_is_the_mean_by_capacity() {
    let (half, none) = (keeping(0.5), keeping(0.0));
    let servers = [server(3.0, 0.0, Some(&half)), server(1.0, 0.0, Some(&none))];
    assert!((kept(&servers, IMPORTANCE) - 0.375).abs() < 0.01);
}

/// Its requests have room elsewhere.
#[test]
fn one_overloaded_server_beside_idle_ones_refuses_nothing() {
    let none = keeping(0.0);
    let servers = [
        server(1.0, 0.0, Some(&none)),
        server(1.0, 0.7, None),
        server(1.0, 0.7, None),
    ];
    assert_eq!(kept(&servers, IMPORTANCE), 1.0);
}

#[test]
fn floors_of_several_importances_are_taken_on_one_line() {
    let low = FloorNotice::new(AdmissionFloor::keeping(Importance(50), 0.4), 0);
    let high = keeping(0.8);
    let servers = [server(1.0, 0.0, Some(&low)), server(1.0, 0.0, Some(&high))];
    assert_eq!(kept(&servers, IMPORTANCE), 1.0);
    assert!((kept(&servers, Importance(50)) - 0.1).abs() < 0.01);
}

/// A hot organisation is over its share at all servers; one that only one server names is not.
#[test]
fn organisations_get_the_mean_of_their_own_floors() {
    let named = |organisation: &str| OrganisationFloor {
        organisation: organisation.parse().unwrap(),
        floor: AdmissionFloor::keeping(IMPORTANCE, 0.0),
    };
    let notices: Vec<_> = (0..10)
        .map(|at| FloorNotice {
            named: vec![named("hot"), named(&format!("other-{at}"))],
            ..keeping(0.8)
        })
        .collect();
    let servers = notices.iter().map(|notice| server(1.0, 0.0, Some(notice)));
    let floor = ServiceFloor::of(servers).expect("servers are known");
    let kept = |organisation: &str| {
        let organisation: OrganisationId = organisation.parse().unwrap();
        floor
            .floor_for(Some(&organisation))
            .kept_fraction(IMPORTANCE)
    };
    assert!(kept("hot") < 0.01, "{}", kept("hot"));
    assert!((kept("other-3") - 0.72).abs() < 0.01, "{}", kept("other-3"));
    assert!((kept("unnamed") - 0.8).abs() < 0.01);
}

fn services(trees: &RouteTrees, route: &str, now: MonotonicTime) -> Vec<String> {
    let services = trees.services(route, now);
    services.map(ToString::to_string).collect()
}

#[test]
fn route_needs_the_services_that_its_runs_called() {
    let mut trees = RouteTrees::default();
    let now = MonotonicTime(1);
    let (front, last): (ServiceId, ServiceId) = ("front".parse().unwrap(), "last".parse().unwrap());
    let mut tree = CallTree::default();
    tree.add(&last, 8.0);
    tree.add(&front, 1.0);
    trees.learn("lookup", &tree, now);
    assert_eq!(services(&trees, "lookup", now), ["last", "front"]);
    assert!(services(&trees, "other", now).is_empty());
    let mut alone = CallTree::default();
    alone.add(&front, 1.0);
    (0..60).for_each(|_| trees.learn("lookup", &alone, now));
    assert_eq!(services(&trees, "lookup", now), ["front"]);
    let late = now.after(RouteTrees::TTL + Duration::from_secs(1));
    assert!(services(&trees, "lookup", late).is_empty());
}

/// Names of routes and services come from other nodes.
#[test]
fn trees_are_bounded() {
    let mut tree = CallTree::default();
    for number in 0..100 {
        let service = format!("service-{number}").parse().unwrap();
        tree.add(&service, 1.0);
    }
    assert_eq!(tree.0.len(), CallTree::SERVICES_MAX);
    let mut trees = RouteTrees::default();
    let now = MonotonicTime(1);
    (0..1_000).for_each(|route| trees.learn(&route.to_string(), &tree, now));
    let known = (0..1_000).filter(|route| !services(&trees, &route.to_string(), now).is_empty());
    assert_eq!(known.count(), RouteTrees::ROUTES_MAX);
}
