//! Reports of the backend server beside a node, in any order.

use balsamfold::process::relay::Registration;
use balsamfold::process::relay::ReportEffect;
use balsamfold::process::relay::ServerReport;
use balsamfold::values::SlotCount;
use balsamfold::values::WallTime;

fn report(id: &str, born_ms: u64, sequence: u64, is_draining: bool) -> ServerReport {
    ServerReport {
        server_id: id.to_owned(),
        born_ms,
        sequence,
        service: "stock".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        slots: SlotCount(8),
        is_draining,
        cold_left_ms: 0,
    }
}

#[test]
fn late_report_does_not_undo_draining() {
    let mut registration = Registration::default();
    assert_eq!(
        registration.apply_report(&report("a", 1, 1, false)),
        ReportEffect::NewLife
    );
    assert_eq!(
        registration.apply_report(&report("a", 1, 3, true)),
        ReportEffect::BeganDraining
    );
    assert_eq!(
        registration.apply_report(&report("a", 1, 2, false)),
        ReportEffect::Outdated
    );
}

#[test]
fn report_of_an_earlier_incarnation_is_outdated() {
    let mut registration = Registration::default();
    registration.apply_report(&report("b", 20, 1, false));
    assert_eq!(
        registration.apply_report(&report("a", 10, 9, false)),
        ReportEffect::Outdated
    );
}

#[test]
fn same_id_with_a_later_start_is_a_new_incarnation() {
    let mut registration = Registration::default();
    registration.apply_report(&report("a", 10, 9, true));
    assert_eq!(
        registration.apply_report(&report("a", 20, 1, false)),
        ReportEffect::NewLife
    );
}

#[test]
fn late_report_after_a_departure_is_outdated() {
    let mut registration = Registration::default();
    registration.apply_report(&report("a", 10, 1, false));
    assert!(registration.apply_departure("a", WallTime(15)));
    assert_eq!(
        registration.apply_report(&report("a", 10, 2, false)),
        ReportEffect::Outdated
    );
}

#[test]
fn departure_without_an_earlier_report_is_recorded() {
    let mut registration = Registration::default();
    assert!(!registration.apply_departure("a", WallTime(15)));
    assert_eq!(
        registration.apply_report(&report("a", 10, 2, false)),
        ReportEffect::Outdated
    );
    assert_eq!(
        registration.apply_report(&report("a", 20, 1, false)),
        ReportEffect::NewLife
    );
}

#[test]
fn announced_leaving_lasts_until_the_server_wants_work_again() {
    let mut registration = Registration::default();
    registration.apply_report(&report("a", 1, 1, false));
    assert!(!registration.announce_leaving("b"));
    assert!(registration.announce_leaving("a"));
    assert!(!registration.announce_leaving("a"));
    registration.apply_report(&report("a", 1, 2, false));
    assert!(registration.is_leaving());
    registration.apply_report(&report("a", 1, 3, true));
    let effect = registration.apply_report(&report("a", 1, 4, false));
    assert_eq!(effect, ReportEffect::WantsWork);
    assert!(!registration.is_leaving());
    registration.announce_leaving("a");
    registration.apply_report(&report("b", 2, 1, false));
    assert!(!registration.is_leaving());
}
