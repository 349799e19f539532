//! The commands check, plan, apply and show.

use insta::assert_snapshot;
use testutils::platform::Faults;

use crate::environment::TestEnvironment;
use crate::environment::acme_folder;
use crate::environment::run;

#[tokio::test(flavor = "multi_thread")]
async fn invalid_folder_reports_all_fields_and_changes_nothing() {
    let test_env = TestEnvironment::new("bad-folder").await;
    test_env.write(
        "bad",
        "10.toml",
        "[organisation.acme]\nrate_per_s = 0\ncolour = 1\n",
    );
    let folder = test_env.write(
        "bad",
        "20.toml",
        "[key.k]\nhash = 'x'\norganisation = 'other'\n",
    );
    let output = test_env.run(&["apply", &folder]).await;
    assert_snapshot!(output.text(), @r"
    exit 2
    error: the folder has 5 problem(s)
      the folder has no zone; at least one is needed
      10.toml:1: organisation.acme.burst_tokens: field is missing
      10.toml:2: organisation.acme.rate_per_s: 0 is not in 1 to 1000000
      10.toml:3: organisation.acme.colour: unknown field
      20.toml:2: key.k.hash: key hash is not 64 hexadecimal digits
    hint: correct the named fields; docs/configuration.md lists what is allowed
    ");
    assert_eq!(test_env.platform.status().calls.total(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_error_has_its_exit_code() {
    let test_env = TestEnvironment::new("usage").await;
    let folder = test_env.write("good", "10.toml", &acme_folder(1));
    assert_snapshot!(run(&["apply", &folder]).await.text(), @r"
    exit 2
    error: the address of the platform's service is missing
    hint: give --platform IP:PORT or set BALSAMFOLD_PLATFORM
    ");
    assert_eq!(run(&[]).await.exit, Some(2));
    assert_eq!(run(&["show", "--output", "yaml"]).await.exit, Some(2));
    let missing = run(&["check", "/nonexistent-folder"]).await;
    assert_eq!(missing.exit, Some(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn applied_folder_is_in_force() {
    let test_env = TestEnvironment::new("in-force").await;
    let folder = test_env.write("one", "10.toml", &acme_folder(1));
    assert_snapshot!(test_env.run(&["show"]).await.text(), @r"
    exit 1
    error: there is no configuration yet
    hint: apply a folder with `balsamfold apply DIR`
    ");
    assert_snapshot!(test_env.run(&["check", &folder, "--output", "json"]).await.text(), @r#"
    exit 0
    {
      "zones": 1,
      "classes": 0,
      "organisations": 1,
      "keys": 0,
      "routes": 0
    }
    "#);
    assert_snapshot!(test_env.run(&["plan", &folder]).await.text(), @r"
    exit 0
    version 0 -> 1
    + zone bello
    + organisation acme
    ");
    assert_snapshot!(test_env.run(&["apply", &folder]).await.text(), @r"
    exit 0
    version 0 -> 1
    + zone bello
    + organisation acme
    ");
    assert_snapshot!(test_env.run(&["apply", &folder]).await.text(), @r"
    exit 0
    version 1: nothing to change
    ");
    let folder = test_env.write(
        "one",
        "20.toml",
        "[organisation.acme]\nrate_per_s = 9\nburst_tokens = 5\n",
    );
    assert_snapshot!(test_env.run(&["plan", &folder, "--output", "json"]).await.text(), @r#"
    exit 0
    {
      "from_version": 1,
      "to_version": 2,
      "diff": {
        "entries": [
          {
            "kind": "organisation",
            "name": "acme",
            "action": {
              "changed": [
                {
                  "field": "rate_per_s",
                  "before": 1,
                  "after": 9
                }
              ]
            }
          }
        ]
      },
      "keys_kept_withdrawn": [],
      "keys_not_named": []
    }
    "#);
    assert_snapshot!(test_env.run(&["apply", &folder]).await.text(), @r"
    exit 0
    version 1 -> 2
    ~ organisation acme: rate_per_s 1 -> 9
    ");
    assert_snapshot!(test_env.run(&["show"]).await.text(), @r"
    exit 0
    version 2, change ID
    zone bello: region antioquia, rate weight 1
    organisation acme: 9 per second, burst 5
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn example_folders_are_accepted() {
    let test_env = TestEnvironment::new("examples").await;
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/examples");
    for example in ["botonera", "cap-bon"] {
        let folder = format!("{examples}/{example}");
        assert_eq!(test_env.run(&["check", &folder]).await.exit, Some(0));
    }
    let folder = format!("{examples}/botonera");
    assert_eq!(test_env.run(&["apply", &folder]).await.exit, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_is_accepted() {
    let test_env = TestEnvironment::new("race").await;
    let base = test_env.write("base", "10.toml", &acme_folder(1));
    assert_eq!(test_env.run(&["apply", &base]).await.exit, Some(0));
    let twos = test_env.write("twos", "10.toml", &acme_folder(2));
    let threes = test_env.write("threes", "10.toml", &acme_folder(3));
    test_env.platform.set_faults(Faults {
        change_barrier: 2,
        ..Faults::default()
    });
    let first = ["apply", twos.as_str()];
    let second = ["apply", threes.as_str()];
    let (first, second) = tokio::join!(test_env.run(&first), test_env.run(&second));
    let (loser, winner_rate) = match first.exit {
        Some(0) => (second, "2"),
        _ => (first, "3"),
    };
    let text = loser
        .text()
        .replace(&format!("1 -> {winner_rate}"), "1 -> WINNER");
    assert_snapshot!(text, @r"
    exit 3
    error: another operator's change ID was accepted first; version 2 is in force
      ~ organisation acme: rate_per_s 1 -> WINNER
    hint: this command changed nothing; review the changes above and run it again
    ");
    let shown = test_env.run(&["show"]).await;
    assert!(
        shown
            .stdout
            .contains(&format!("acme: {winner_rate} per second"))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_with_a_lost_reply_succeeds() {
    let test_env = TestEnvironment::new("lost-reply").await;
    let folder = test_env.write("one", "10.toml", &acme_folder(1));
    test_env.platform.set_faults(Faults {
        lost_swap_replies: 1,
        ..Faults::default()
    });
    assert_snapshot!(test_env.run(&["apply", &folder]).await.text(), @r"
    exit 0
    version 0 -> 1
    + zone bello
    + organisation acme
    ");
    let calls = test_env.platform.status().calls;
    assert_eq!((calls.gets, calls.swaps), (2, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn outcome_is_unknown_if_the_service_fails_before_the_reply() {
    let test_env = TestEnvironment::new("unknown").await;
    let folder = test_env.write("one", "10.toml", &acme_folder(1));
    test_env.platform.set_faults(Faults {
        lost_swap_replies: 1,
        goes_down_with_change: true,
        ..Faults::default()
    });
    assert_snapshot!(test_env.run(&["apply", &folder]).await.text(), @r"
    exit 4
    error: the platform's service did not reply; the change may have been accepted
    hint: run `balsamfold show` when the service is up; the id of this change is ID
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_changes_nothing() {
    let test_env = TestEnvironment::new("outage").await;
    let folder = test_env.write("one", "10.toml", &acme_folder(1));
    test_env.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    assert_eq!(test_env.run(&["apply", &folder]).await.exit, Some(1));
    test_env.platform.set_faults(Faults::default());
    assert_eq!(test_env.run(&["show"]).await.exit, Some(1));
    assert_eq!(test_env.platform.status().calls.swaps, 0);
}
