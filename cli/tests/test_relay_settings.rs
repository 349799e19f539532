//! The command check with the settings of a relay.

use insta::assert_snapshot;
use testutils::relay::SAMPLE_SETTINGS;

use crate::environment::TestEnvironment;
use crate::environment::run;

async fn check(name: &str, text: &str) -> String {
    let test_env = TestEnvironment::new(name).await;
    let folder = test_env.write("settings", "relay.toml", text);
    let file = format!("{folder}/relay.toml");
    run(&["check", "--relay", &file]).await.text()
}

#[tokio::test(flavor = "multi_thread")]
async fn valid_settings_are_summarised() {
    assert_snapshot!(check("relay-good", SAMPLE_SETTINGS).await, @r#"
    exit 0
    the settings are valid: node node-1 for a server of stock in zone-a
    "#);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_invalid_values_are_reported_at_once() {
    let wrong = SAMPLE_SETTINGS
        .replace("zone = \"zone-a\"", "zone = \"zone-b\"")
        .replace("stop_grace_s = 6", "stop_grace_s = 0.5")
        .replace("retry_ratio = 0.2", "retry_ratio = 2");
    assert_snapshot!(check("relay-values", &wrong).await, @r#"
    exit 2
    error: the settings have 3 problem(s)
      relay.toml: zone: "zone-b" is none of `zones`
      relay.toml: bounds.stop_grace_s: must be at least 1
      relay.toml: bounds.retry_ratio: must be from 0 to 1
    hint: correct the named settings; docs/relay-settings.md lists what is allowed
    "#);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_settings_are_reported_with_their_line() {
    let wrong = SAMPLE_SETTINGS.replace("stop_grace_s", "stop_grace");
    assert_snapshot!(check("relay-syntax", &wrong).await, @r#"
    exit 2
    error: the settings have 1 problem(s)
      relay.toml: TOML parse error at line 21, column 1
       |
    21 | stop_grace = 6
       | ^^^^^^^^^^
    unknown field `stop_grace`, expected one of `configuration_apply_ms`, `key_withdrawal_ms`, `key_withdrawal_is_strict`, `stop_grace_s`, `retry_ratio`, `retry_slack`, `retry_window_s`, `cold_ratio`, `cold_slack`, `evacuation_ms`
    hint: correct the named settings; docs/relay-settings.md lists what is allowed
    "#);
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_file_is_reported() {
    let output = run(&["check", "--relay", "/nonexistent/relay.toml"]).await;
    assert_snapshot!(output.text(), @r#"
    exit 2
    error: /nonexistent/relay.toml: No such file or directory (os error 2)
    hint: give the path of a relay's settings file
    "#);
}
