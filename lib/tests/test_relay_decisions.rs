//! Decisions of the relay, without sockets and timers.

use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::Outcome;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::relay::AllowanceDecision;
use balsamfold::process::relay::Allowances;
use balsamfold::process::relay::Confirmation;
use balsamfold::process::relay::Fleet;
use balsamfold::process::relay::Frame;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::Registration;
use balsamfold::process::relay::RelaySettings;
use balsamfold::process::relay::ReportEffect;
use balsamfold::process::relay::ServerReport;
use balsamfold::process::relay::SplitState;
use balsamfold::process::relay::StoreRevision;
use balsamfold::process::relay::Voucher;
use balsamfold::process::relay::VoucherUse;
use balsamfold::process::relay::encode_frame;
use balsamfold::request::RetryRatio;
use balsamfold::values::ConfigVersion;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::OrganisationId;
use balsamfold::values::RatePerSecond;
use balsamfold::values::SlotCount;
use balsamfold::values::TokenCount;
use balsamfold::values::WallTime;
use balsamfold::version::CallerKey;
use balsamfold::version::HostRoutes;
use balsamfold::version::OrganisationTerms;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Priority;
use balsamfold::version::Repeatability;
use balsamfold::version::TrafficPlan;
use balsamfold::version::WeightedService;
use bytes::BytesMut;
use proptest::prelude::*;

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn organisation() -> OrganisationId {
    "org-a".parse().expect("valid name")
}

fn terms(rate: u32, burst: u64) -> OrganisationTerms {
    OrganisationTerms {
        id: organisation(),
        rate_per_s: Some(RatePerSecond(rate)),
        burst: TokenCount(burst),
        priority: Priority(1),
    }
}

fn plan_with(terms: OrganisationTerms) -> TrafficPlan {
    let mut plan = TrafficPlan::new(ConfigVersion(1));
    plan.add_organisation(terms, [CallerKey::new("secret")]);
    plan
}

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

fn granted(allowances: &mut Allowances, now: MonotonicTime) -> bool {
    allowances.take(&organisation(), now) == AllowanceDecision::Granted
}

#[test]
fn confirmation_counts_from_the_question_not_from_the_answer() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(ConfigVersion(3), at_ms(1_000));
    assert_eq!(
        confirmation.age(at_ms(1_700)),
        Some(Duration::from_millis(700))
    );
}

#[test]
fn version_that_a_watch_brought_is_not_confirmed_by_that() {
    let mut confirmation = Confirmation::default();
    confirmation.adopt(ConfigVersion(3));
    assert_eq!(confirmation.age(at_ms(1)), None);
}

#[test]
fn voucher_counts_its_age_back_from_the_question() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(ConfigVersion(3), at_ms(0));
    let voucher = Voucher {
        version: ConfigVersion(3),
        age_us: Some(400_000),
    };
    let used = confirmation.take_voucher(voucher, at_ms(5_000));
    assert_eq!(used, VoucherUse::Taken);
    assert_eq!(
        confirmation.age(at_ms(5_000)),
        Some(Duration::from_millis(400))
    );
}

#[test]
fn voucher_for_another_version_confirms_nothing() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(ConfigVersion(3), at_ms(0));
    let voucher = |version| Voucher {
        version: ConfigVersion(version),
        age_us: Some(0),
    };
    assert_eq!(
        confirmation.take_voucher(voucher(4), at_ms(9_000)),
        VoucherUse::NewerVersion
    );
    assert_eq!(
        confirmation.take_voucher(voucher(2), at_ms(9_000)),
        VoucherUse::Taken
    );
    assert_eq!(confirmation.age(at_ms(9_000)), Some(Duration::from_secs(9)));
}

#[test]
fn shares_of_all_nodes_stay_within_the_allowance() {
    let plan = plan_with(terms(100, 50));
    let mut nodes: Vec<Allowances> = (0..5).map(|_| Allowances::default()).collect();
    for node in &mut nodes {
        node.set_plan(&plan, 5, at_ms(0));
    }
    let mut run = 0;
    for ms in 0..10_000 {
        for node in &mut nodes {
            run += u32::from(granted(node, at_ms(ms)));
        }
    }
    assert!((900..=1_050).contains(&run), "{run} requests ran");
}

#[test]
fn node_starts_without_tokens_and_without_limit_every_request_runs() {
    let mut limited = Allowances::default();
    limited.set_plan(&plan_with(terms(100, 50)), 5, at_ms(0));
    assert!(!granted(&mut limited, at_ms(0)));
    let mut unlimited = Allowances::default();
    let no_limit = OrganisationTerms {
        rate_per_s: None,
        ..terms(0, 0)
    };
    unlimited.set_plan(&plan_with(no_limit), 5, at_ms(0));
    assert!(granted(&mut unlimited, at_ms(0)));
}

#[test]
fn lowered_limit_takes_away_what_was_saved() {
    let mut allowances = Allowances::default();
    allowances.set_plan(&plan_with(terms(100, 100)), 1, at_ms(0));
    allowances.set_plan(&plan_with(terms(5, 5)), 1, at_ms(5_000));
    let run = (0..100)
        .filter(|_| granted(&mut allowances, at_ms(5_000)))
        .count();
    assert_eq!(run, 5);
}

#[test]
fn borrowing_pauses_after_nothing_was_lent() {
    let mut allowances = Allowances::default();
    allowances.set_plan(&plan_with(terms(10, 10)), 5, at_ms(0));
    assert!(allowances.begin_borrowing(&organisation(), at_ms(0)));
    assert!(!allowances.begin_borrowing(&organisation(), at_ms(1)));
    allowances.end_borrowing(&organisation(), TokenCount(0), at_ms(2));
    assert!(!allowances.begin_borrowing(&organisation(), at_ms(3)));
    assert!(allowances.begin_borrowing(&organisation(), at_ms(400)));
}

proptest! {
    #[test]
    fn lending_makes_no_tokens(steps in prop::collection::vec((0_usize..4, 0_usize..4), 1..60)) {
        let plan = plan_with(terms(40, 40));
        let mut nodes: Vec<Allowances> = (0..4).map(|_| Allowances::default()).collect();
        for node in &mut nodes {
            node.set_plan(&plan, 4, at_ms(0));
        }
        let now = at_ms(60_000);
        for (borrower, lender) in steps {
            if borrower != lender && nodes[borrower].begin_borrowing(&organisation(), now) {
                let lent = nodes[lender].lend(&organisation(), now);
                nodes[borrower].end_borrowing(&organisation(), lent, now);
            }
        }
        let run = nodes
            .iter_mut()
            .map(|node| (0..100).filter(|_| granted(node, now)).count())
            .sum::<usize>();
        prop_assert!(run <= 40, "{} requests ran", run);
    }
}

fn report(id: &str, born_ms: u64, sequence: u64, is_draining: bool) -> ServerReport {
    ServerReport {
        server_id: id.to_owned(),
        born_ms,
        sequence,
        service: "stock".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        slots: SlotCount(8),
        is_draining,
    }
}

#[test]
fn late_report_does_not_undo_draining() {
    let mut registration = Registration::default();
    assert_eq!(
        registration.report(&report("a", 1, 1, false)),
        ReportEffect::NewLife
    );
    assert_eq!(
        registration.report(&report("a", 1, 3, true)),
        ReportEffect::BeganDraining
    );
    assert_eq!(
        registration.report(&report("a", 1, 2, false)),
        ReportEffect::Outdated
    );
}

#[test]
fn report_of_a_former_life_changes_nothing() {
    let mut registration = Registration::default();
    registration.report(&report("b", 20, 1, false));
    assert_eq!(
        registration.report(&report("a", 10, 9, false)),
        ReportEffect::Outdated
    );
}

#[test]
fn same_id_born_again_is_a_new_life() {
    let mut registration = Registration::default();
    registration.report(&report("a", 10, 9, true));
    assert_eq!(
        registration.report(&report("a", 20, 1, false)),
        ReportEffect::NewLife
    );
}

#[test]
fn server_that_left_does_not_come_back_by_a_late_report() {
    let mut registration = Registration::default();
    registration.report(&report("a", 10, 1, false));
    assert!(registration.leave("a", WallTime(15)));
    assert_eq!(
        registration.report(&report("a", 10, 2, false)),
        ReportEffect::Outdated
    );
}

#[test]
fn departure_is_remembered_though_no_report_came_before_it() {
    let mut registration = Registration::default();
    assert!(!registration.leave("a", WallTime(15)));
    assert_eq!(
        registration.report(&report("a", 10, 2, false)),
        ReportEffect::Outdated
    );
    assert_eq!(
        registration.report(&report("a", 20, 1, false)),
        ReportEffect::NewLife
    );
}

fn record(name: &str, condition: NodeCondition) -> NodeRecord {
    let unused = "127.0.0.1:0".parse().expect("valid address");
    NodeRecord {
        id: name.parse().expect("valid name"),
        zone: "zone-a".parse().expect("valid name"),
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

fn node(name: &str) -> NodeId {
    name.parse().expect("valid name")
}

#[test]
fn lapsed_entry_is_kept_until_a_living_node_could_write_it_again() {
    let mut fleet = Fleet::default();
    fleet.write(record("a", NodeCondition::Alive), StoreRevision(1));
    fleet.remove(&node("a"), StoreRevision(2), at_ms(0));
    assert!(!fleet.forget_missing(at_ms(2_000)));
    fleet.write(record("a", NodeCondition::Alive), StoreRevision(3));
    assert!(!fleet.forget_missing(at_ms(9_000)));
    fleet.remove(&node("a"), StoreRevision(4), at_ms(9_000));
    assert!(fleet.forget_missing(at_ms(11_600)));
}

#[test]
fn node_that_left_as_planned_is_forgotten_with_its_entry() {
    let mut fleet = Fleet::default();
    fleet.write(record("a", NodeCondition::Leaving), StoreRevision(1));
    fleet.remove(&node("a"), StoreRevision(2), at_ms(0));
    assert!(fleet.forget_missing(at_ms(1)));
}

#[test]
fn older_event_does_not_undo_a_newer_one() {
    let mut fleet = Fleet::default();
    fleet.write(record("a", NodeCondition::Alive), StoreRevision(5));
    fleet.remove(&node("a"), StoreRevision(4), at_ms(0));
    fleet.list(&[], StoreRevision(4), at_ms(0));
    assert!(!fleet.forget_missing(at_ms(10_000)));
    assert!(!fleet.write(record("a", NodeCondition::Leaving), StoreRevision(4)));
    assert!(
        fleet
            .table()
            .node(&node("a"))
            .is_some_and(NodeRecord::takes_work)
    );
}

#[test]
fn number_of_nodes_falls_only_after_cut_off_ones_have_stopped() {
    let mut fleet = Fleet::default();
    for name in ["a", "b", "c"] {
        fleet.write(record(name, NodeCondition::Alive), StoreRevision(1));
    }
    assert_eq!(fleet.largest_count(at_ms(0)), 3);
    fleet.remove(&node("a"), StoreRevision(2), at_ms(0));
    fleet.forget_missing(at_ms(3_000));
    assert_eq!(fleet.largest_count(at_ms(3_000)), 3);
    assert_eq!(fleet.largest_count(at_ms(20_000)), 2);
}

#[test]
fn split_follows_its_weights_exactly() {
    let route = route("r", &[("a", 90), ("b", 10)]);
    let mut split = SplitState::default();
    let chosen: Vec<_> = (0..200).filter_map(|_| split.choose(&route)).collect();
    let of_b = chosen.iter().filter(|service| service.as_str() == "b");
    let count = of_b.count();
    assert!((19..=21).contains(&count), "{count} of 200");
}

#[test]
fn split_follows_changed_weights_at_once() {
    let mut split = SplitState::default();
    split.choose(&route("r", &[("a", 90), ("b", 10)]));
    let changed = route("r", &[("b", 1)]);
    let chosen = split.choose(&changed);
    assert_eq!(chosen.map(|service| service.to_string()), Some("b".into()));
}

#[test]
fn longest_prefix_that_begins_the_path_wins() {
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
fn rank_of_the_organisation_goes_before_that_of_the_route() {
    let urgent = PlannedRoute {
        priority: Priority(0),
        ..route("urgent", &[("s", 1)])
    };
    let common = route("common", &[("s", 1)]);
    let low = terms(1, 1);
    let high = OrganisationTerms {
        priority: Priority(0),
        ..terms(1, 1)
    };
    assert!(urgent.importance_for(Some(&low)) > common.importance_for(Some(&low)));
    assert!(common.importance_for(Some(&high)) > urgent.importance_for(Some(&low)));
    assert_eq!(
        common.importance_for(None),
        common.importance_for(Some(&high))
    );
}

#[test]
fn fixed_limit_stays_at_what_was_announced() {
    let mut limit = AdaptiveLimit::fixed(SlotCount(10), at_ms(0));
    for step in 0..200 {
        let refused = Completion {
            outcome: Outcome::ServerRefused,
            held: Duration::from_millis(50),
            onward: Duration::ZERO,
        };
        limit.finished(&refused, at_ms(step * 20));
    }
    assert_eq!(limit.slots(), 10);
    limit.announce(SlotCount(20));
    assert_eq!(limit.slots(), 20);
}

#[test]
fn repeats_made_anyway_use_up_the_retries() {
    let mut ratio = RetryRatio::new(100, 2);
    ratio.take_anyway();
    ratio.take_anyway();
    ratio.take_anyway();
    assert!(!ratio.try_retry());
}

#[test]
fn frames_survive_any_division_of_the_stream() {
    let head = Head::Ping {
        exchange: balsamfold::process::relay::ExchangeId(7),
    };
    let encoded = encode_frame(&head, b"body").expect("frame fits");
    let two = [encoded.as_ref(), encoded.as_ref()].concat();
    for cut in 0..two.len() {
        let mut received = BytesMut::from(&two[..cut]);
        let mut frames = 0;
        while Frame::split_from(&mut received).expect("valid").is_some() {
            frames += 1;
        }
        received.extend_from_slice(&two[cut..]);
        while let Some(frame) = Frame::split_from(&mut received).expect("valid") {
            assert_eq!(frame.body.as_ref(), b"body");
            frames += 1;
        }
        assert_eq!(frames, 2, "cut at {cut}");
    }
}

proptest! {
    #[test]
    fn no_bytes_make_a_frame_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut received = BytesMut::from(&bytes[..]);
        while let Ok(Some(frame)) = Frame::split_from(&mut received) {
            let _ = frame.head();
        }
    }
}

const SETTINGS: &str = r#"
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
"#;

#[test]
fn settings_are_read() {
    let settings = RelaySettings::parse(SETTINGS).expect("valid settings");
    assert_eq!(
        settings.raw.bounds.key_confirmation_max(),
        Some(Duration::from_secs(5))
    );
}

#[test]
fn all_faults_of_the_settings_are_reported_at_once() {
    let text = SETTINGS
        .replace("zone = \"zone-a\"", "zone = \"zone-b\"")
        .replace("retry_ratio = 0.2", "retry_ratio = 2.0")
        .replace("stop_grace_s = 6", "stop_grace_s = 0.1");
    let error = RelaySettings::parse(&text).expect_err("three faults");
    insta::assert_snapshot!(error, @r#"zone: "zone-b" is none of `zones`; bounds.stop_grace_s: must be at least 1; bounds.retry_ratio: must be from 0 to 1"#);
}

#[test]
fn unknown_setting_is_a_fault() {
    let text = format!("{SETTINGS}unknown = 1\n");
    assert!(RelaySettings::parse(&text).is_err());
}
