//! Checks the results of the overload experiment against their targets, at a fixed seed.

use std::time::Duration;

use testutils::overload::Control;
use testutils::overload::Deployment;
use testutils::overload::Report;
use testutils::overload::run;

const SEED: u64 = 1;

const TRIGGER: Duration = Duration::from_secs(4);

fn check_targets(deployment: &Deployment) -> Report {
    let report = run(deployment, Control::All, SEED);
    let important = deployment.routes[0].importance;
    let served = report.served_keeping_rate[&important];
    assert!(served >= 0.99, "important requests served: {served}");
    let goodput = report.goodput_of_capacity;
    assert!(goodput >= 0.9, "goodput of capacity: {goodput}");
    let recovery = report.recovery;
    assert!(recovery.is_some_and(|recovery| recovery < Duration::from_secs(5)));
    let refused = report.refused_outside_overload;
    assert!(refused < 0.001, "refused outside overload: {refused}");
    let largest = report.served_by_organisation[1];
    let smallest = report.served_by_organisation.last().copied();
    assert!(smallest.is_some_and(|smallest| smallest >= largest * 0.9));
    report
}

#[test]
fn slowed_stock_meets_the_targets() {
    check_targets(&Deployment::botonera().shortened(TRIGGER));
}

#[test]
fn slowed_delivery_slots_meet_the_targets() {
    check_targets(&Deployment::cap_bon().shortened(TRIGGER));
}

/// No organisation exceeds its rate, so that capacity suffices for all important requests.
#[test]
fn all_important_requests_are_served_while_capacity_for_them_exists() {
    for deployment in [Deployment::botonera(), Deployment::cap_bon()] {
        let report = check_targets(&deployment.without_excess().shortened(TRIGGER));
        let served = report.served_within_rate[&200];
        assert!(served >= 0.99, "important requests served: {served}");
    }
}

#[test]
fn equal_seeds_give_equal_reports() {
    let deployment = Deployment::botonera().shortened(Duration::from_millis(500));
    let report = || run(&deployment, Control::All, SEED);
    assert_eq!(report(), report());
}
