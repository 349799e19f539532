//! Settings of the relay.

use std::time::Duration;

use balsamfold::process::relay::RelaySettings;
use testutils::relay::SAMPLE_SETTINGS;

#[test]
fn valid_settings_are_parsed() {
    let settings = RelaySettings::parse(SAMPLE_SETTINGS).expect("valid settings");
    assert_eq!(
        settings.raw.bounds.key_confirmation_max(),
        Some(Duration::from_secs(5))
    );
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
    let text = SAMPLE_SETTINGS
        .replace("zone = \"zone-a\"", "zone = \"zone-b\"")
        .replace("retry_ratio = 0.2", "retry_ratio = 2.0")
        .replace("retry_window_s = 10", "retry_window_s = nan")
        .replace("stop_grace_s = 6", "stop_grace_s = 0.1");
    let error = RelaySettings::parse(&text).expect_err("four faults");
    insta::assert_snapshot!(error, @r#"zone: "zone-b" is none of `zones`; bounds.stop_grace_s: must be at least 1; bounds.retry_ratio: must be from 0 to 1; bounds.retry_window_s: must be from 1 to 3600"#);
}

#[test]
fn unknown_setting_is_rejected() {
    let text = format!("{SAMPLE_SETTINGS}unknown = 1\n");
    assert!(RelaySettings::parse(&text).is_err());
}

#[test]
fn memory_limit_is_that_of_the_settings_or_the_least_one() {
    let settings = RelaySettings::parse(SAMPLE_SETTINGS).expect("valid settings");
    assert_eq!(settings.memory_limit_bytes(), 160_000_000);
    let text = format!("memory_limit_mb = 260\n{SAMPLE_SETTINGS}");
    let settings = RelaySettings::parse(&text).expect("valid settings");
    assert_eq!(settings.memory_limit_bytes(), 260_000_000);
    for wrong in ["0", "-1", "nan", "63.9", "inf"] {
        let text = format!("memory_limit_mb = {wrong}\n{SAMPLE_SETTINGS}");
        let error = RelaySettings::parse(&text).expect_err("a fault");
        let expected = "memory_limit_mb: must be from 64 to 1048576";
        assert_eq!(error.to_string(), expected);
    }
}
