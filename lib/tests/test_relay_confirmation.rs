//! Age of the confirmation that a configuration is the newest.

use std::time::Duration;

use balsamfold::process::relay::Confirmation;
use balsamfold::process::relay::ConfirmationReport;
use balsamfold::process::relay::ConfirmationUse;
use balsamfold::values::ConfigVersion;
use testutils::relay::at_ms;

#[test]
fn confirmation_age_counts_from_the_request_time() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(ConfigVersion(3), at_ms(1_000));
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
    let mut confirmation = Confirmation::default();
    confirmation.confirm(ConfigVersion(3), at_ms(0));
    let report = ConfirmationReport {
        version: ConfigVersion(3),
        age_us: Some(400_000),
    };
    let used = confirmation.apply_report(report, at_ms(5_000));
    assert_eq!(used, ConfirmationUse::Applied);
    assert_eq!(
        confirmation.age(at_ms(5_000)),
        Some(Duration::from_millis(400))
    );
}

#[test]
fn report_for_another_version_confirms_nothing() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(ConfigVersion(3), at_ms(0));
    let report = |version| ConfirmationReport {
        version: ConfigVersion(version),
        age_us: Some(0),
    };
    assert_eq!(
        confirmation.apply_report(report(4), at_ms(9_000)),
        ConfirmationUse::NewerVersion
    );
    assert_eq!(
        confirmation.apply_report(report(2), at_ms(9_000)),
        ConfirmationUse::Applied
    );
    assert_eq!(confirmation.age(at_ms(9_000)), Some(Duration::from_secs(9)));
}
