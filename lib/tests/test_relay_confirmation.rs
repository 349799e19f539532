//! How the age of a configuration is confirmed.

use std::time::Duration;

use balsamfold::process::relay::Confirmation;
use balsamfold::process::relay::ConfirmationReport;
use balsamfold::process::relay::ConfirmationUse;
use balsamfold::values::ConfigVersion;
use testutils::relay::at_ms;

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
fn report_counts_its_age_back_from_the_question() {
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
