//! Age of the confirmation that a configuration is the newest.

use std::time::Duration;

use balsamfold::process::relay::Confirmation;
use balsamfold::process::relay::ConfirmationReport;
use balsamfold::process::relay::ConfirmationUse;
use balsamfold::process::relay::StoreEra;
use balsamfold::values::ConfigVersion;
use testutils::relay::at_ms;

const ERA: StoreEra = StoreEra(0);
const NEXT_ERA: StoreEra = StoreEra(1);

/// Returns a confirmation of a node that another node replied to.
fn backed() -> Confirmation {
    let mut confirmation = Confirmation::default();
    confirmation.others_asked(ERA, true);
    confirmation
}

fn report_of(version: u64) -> ConfirmationReport {
    ConfirmationReport {
        version: ConfigVersion(version),
        age_us: Some(0),
    }
}

#[test]
fn confirmation_age_counts_from_the_request_time() {
    let mut confirmation = backed();
    confirmation.confirm(ConfigVersion(3), at_ms(1_000), ERA);
    assert_eq!(
        confirmation.age(at_ms(1_700)),
        Some(Duration::from_millis(700))
    );
}

#[test]
fn adopting_a_watched_version_does_not_confirm_it() {
    let mut confirmation = Confirmation::default();
    confirmation.adopt(ConfigVersion(3));
    assert_eq!(confirmation.age(at_ms(1)), None);
}

#[test]
fn report_age_is_subtracted_from_the_request_time() {
    let mut confirmation = backed();
    confirmation.confirm(ConfigVersion(3), at_ms(0), ERA);
    let report = ConfirmationReport {
        version: ConfigVersion(3),
        age_us: Some(400_000),
    };
    let used = confirmation.apply_report(report, at_ms(5_000), at_ms(5_001));
    assert_eq!(used, ConfirmationUse::Applied);
    assert_eq!(
        confirmation.age(at_ms(5_000)),
        Some(Duration::from_millis(400))
    );
}

#[test]
fn report_for_another_version_confirms_nothing() {
    let mut confirmation = backed();
    confirmation.confirm(ConfigVersion(3), at_ms(0), ERA);
    let report = |version| ConfirmationReport {
        version: ConfigVersion(version),
        age_us: Some(0),
    };
    assert_eq!(
        confirmation.apply_report(report(4), at_ms(9_000), at_ms(9_001)),
        ConfirmationUse::NewerVersion
    );
    assert_eq!(
        confirmation.apply_report(report(2), at_ms(9_000), at_ms(9_001)),
        ConfirmationUse::Applied
    );
    assert_eq!(confirmation.age(at_ms(9_000)), Some(Duration::from_secs(9)));
}

// Guards against a starting node that takes an older version from the store as the newest.
#[test]
fn read_counts_once_other_nodes_were_asked() {
    let mut confirmation = Confirmation::default();
    assert!(confirmation.confirm(ConfigVersion(3), at_ms(100), ERA));
    assert_eq!(confirmation.age(at_ms(200)), None);
    assert!(!confirmation.is_settled());
    confirmation.others_asked(ERA, true);
    assert_eq!(
        confirmation.age(at_ms(200)),
        Some(Duration::from_millis(100))
    );
    assert!(confirmation.is_settled());
}

#[test]
fn read_does_not_count_if_another_node_names_a_newer_version() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(ConfigVersion(3), at_ms(100), ERA);
    confirmation.apply_report(report_of(4), at_ms(110), at_ms(120));
    confirmation.others_asked(ERA, true);
    assert_eq!(confirmation.age(at_ms(200)), None);
    assert!(!confirmation.is_settled());
    confirmation.apply_report(report_of(3), at_ms(210), at_ms(220));
    assert_eq!(confirmation.age(at_ms(300)), None);
}

// Guards against a read after the store went back that counts before other nodes were asked.
#[test]
fn reads_of_a_new_era_count_once_other_nodes_were_asked_again() {
    let mut confirmation = backed();
    confirmation.confirm(ConfigVersion(3), at_ms(0), ERA);
    assert!(!confirmation.must_ask(ERA));
    assert!(confirmation.must_ask(NEXT_ERA));
    assert!(confirmation.confirm(ConfigVersion(3), at_ms(1_000), NEXT_ERA));
    assert_eq!(confirmation.age(at_ms(1_000)), Some(Duration::from_secs(1)));
    confirmation.others_asked(NEXT_ERA, true);
    assert_eq!(confirmation.age(at_ms(1_000)), Some(Duration::ZERO));
}

#[test]
fn late_read_of_an_earlier_era_confirms_nothing() {
    let mut confirmation = backed();
    confirmation.confirm(ConfigVersion(3), at_ms(0), ERA);
    confirmation.others_asked(NEXT_ERA, true);
    confirmation.confirm(ConfigVersion(3), at_ms(1_000), ERA);
    assert_eq!(confirmation.age(at_ms(1_000)), Some(Duration::from_secs(1)));
}

// Guards against keys refused with each change of the configuration: until the newer version arrives, the
// confirmation of the version before ages as usual.
#[test]
fn newer_version_keeps_the_earlier_confirmation_until_a_read_lacks_it() {
    let mut confirmation = backed();
    confirmation.confirm(ConfigVersion(3), at_ms(0), ERA);
    confirmation.apply_report(report_of(4), at_ms(90), at_ms(100));
    assert_eq!(
        confirmation.age(at_ms(100)),
        Some(Duration::from_millis(100))
    );
    // This read may have been answered before the newer version was written.
    confirmation.confirm(ConfigVersion(3), at_ms(99), ERA);
    assert_eq!(
        confirmation.age(at_ms(100)),
        Some(Duration::from_millis(100))
    );
    confirmation.confirm(ConfigVersion(3), at_ms(101), ERA);
    assert_eq!(confirmation.age(at_ms(200)), None);
    confirmation.confirm(ConfigVersion(4), at_ms(300), ERA);
    assert_eq!(confirmation.age(at_ms(300)), Some(Duration::ZERO));
}

// Guards against a node that started while it could not reach the others, and that relies on the store alone
// after one of them names a newer version.
#[test]
fn newer_version_ends_a_confirmation_that_no_other_node_backed() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(ConfigVersion(3), at_ms(0), ERA);
    confirmation.others_asked(ERA, false);
    assert_eq!(confirmation.age(at_ms(0)), Some(Duration::ZERO));
    confirmation.apply_report(report_of(4), at_ms(90), at_ms(100));
    assert_eq!(confirmation.age(at_ms(100)), None);
}

// Guards against a starting node that refuses requests with keys until it has run for as long as the
// confirmations of the other nodes are old.
#[test]
fn report_of_a_confirmation_from_before_the_start_counts() {
    let mut confirmation = backed();
    confirmation.adopt(ConfigVersion(3));
    let report = ConfirmationReport {
        version: ConfigVersion(3),
        age_us: Some(400_000),
    };
    confirmation.apply_report(report, at_ms(100), at_ms(101));
    assert_eq!(
        confirmation.age(at_ms(100)),
        Some(Duration::from_millis(400))
    );
}
