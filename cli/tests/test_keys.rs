//! The commands key new and key withdraw.

use balsamfold::process::configuration::ConfigurationStore;
use balsamfold::process::platform::PlatformClient;
use balsamfold::process::platform::PlatformSettings;
use balsamfold::version::CallerKey;
use balsamfold::version::Configuration;
use balsamfold::version::KeyHash;
use insta::assert_snapshot;
use testutils::platform::Faults;

use crate::environment::TestEnvironment;
use crate::environment::acme_folder;

const NEW: [&str; 5] = ["key", "new", "k", "--organisation", "acme"];

async fn configured_environment(name: &str) -> TestEnvironment {
    let test_env = TestEnvironment::new(name).await;
    let folder = test_env.write("one", "10.toml", &acme_folder(1));
    assert_eq!(test_env.run(&["apply", &folder]).await.exit, Some(0));
    test_env
}

async fn stored(test_env: &TestEnvironment) -> Configuration {
    let client = PlatformClient::new(&PlatformSettings::new(test_env.platform.address()));
    let store = ConfigurationStore::new(&client, 1);
    store.read().await.unwrap().unwrap().configuration
}

#[tokio::test(flavor = "multi_thread")]
async fn new_key_is_printed_once_and_stored_as_a_hash() {
    let test_env = configured_environment("key-new").await;
    let created = test_env.run(&NEW).await;
    let key = CallerKey::new(created.stdout.lines().last().unwrap());
    assert_snapshot!(created.text().replace(key.reveal(), "KEY"), @r"
    exit 0
    key k of organisation acme is in force with version 2
    it is printed only now, since only its hash is stored:
    KEY
    ");
    let configuration = stored(&test_env).await;
    let record = configuration.keys.values().next().unwrap();
    assert!(record.hash.matches(&KeyHash::of(&key)));
    assert!(configuration.organisation_of(&key).is_some());
    let text = serde_json::to_string(&configuration).unwrap();
    assert!(!text.contains(key.reveal()));
    for args in [["show", "--output", "text"], ["show", "--output", "json"]] {
        assert!(!test_env.run(&args).await.text().contains(key.reveal()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn key_is_kept_if_the_folder_does_not_name_it() {
    let test_env = configured_environment("key-kept").await;
    assert_eq!(test_env.run(&NEW).await.exit, Some(0));
    let folder = test_env.write("two", "10.toml", &acme_folder(2));
    assert_snapshot!(test_env.run(&["apply", &folder]).await.text(), @r"
    exit 0
    version 2 -> 3
    ~ organisation acme: rate_per_s 1 -> 2
    note: key k is not in the folder and stays unchanged
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn older_folder_does_not_reactivate_a_withdrawn_key() {
    let test_env = configured_environment("key-withdrawn").await;
    let key = CallerKey::new("key-in-the-folder");
    let hash = KeyHash::of(&key);
    let text = format!(
        "{}[key.k]\nhash = '{hash}'\norganisation = 'acme'\n",
        acme_folder(1)
    );
    let older = test_env.write("older", "10.toml", &text);
    assert_eq!(test_env.run(&["apply", &older]).await.exit, Some(0));
    assert!(stored(&test_env).await.organisation_of(&key).is_some());
    assert_snapshot!(test_env.run(&["key", "withdraw", "k"]).await.text(), @r"
    exit 0
    key k is permanently withdrawn as of version 3
    ");
    assert_snapshot!(test_env.run(&["apply", &older]).await.text(), @r"
    exit 0
    version 3: nothing to change
    note: key k was withdrawn earlier and stays withdrawn
    ");
    assert!(stored(&test_env).await.organisation_of(&key).is_none());
    let renamed = text.replace("[key.k]", "[key.other]");
    let renamed = test_env.write("renamed", "10.toml", &renamed);
    assert_snapshot!(test_env.run(&["apply", &renamed]).await.text(), @r"
    exit 2
    error: the folder cannot replace the configuration in force:
    key other has the hash of key k
    hint: `balsamfold show` lists what is in force; withdraw keys before removing organisations
    ");
    assert_snapshot!(test_env.run(&NEW).await.text(), @r"
    exit 1
    error: key k exists already
    hint: names and keys cannot be reused; choose another name
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_commands_create_one_key_with_a_name() {
    let test_env = configured_environment("key-race").await;
    test_env.platform.set_faults(Faults {
        change_barrier: 2,
        ..Faults::default()
    });
    let (first, second) = tokio::join!(test_env.run(&NEW), test_env.run(&NEW));
    let loser = match first.exit {
        Some(0) => second,
        _ => first,
    };
    assert_snapshot!(loser.text(), @r"
    exit 3
    error: another operator's change ID was accepted first; version 2 is in force
      + key k
    hint: this command changed nothing; review the changes above and run it again
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_is_retried_after_a_concurrent_change() {
    let test_env = configured_environment("withdraw-race").await;
    assert_eq!(test_env.run(&NEW).await.exit, Some(0));
    test_env.platform.set_faults(Faults {
        change_barrier: 2,
        ..Faults::default()
    });
    let other = ["key", "new", "other", "--organisation", "acme"];
    let withdraw = ["key", "withdraw", "k"];
    let (created, withdrawn) = tokio::join!(test_env.run(&other), test_env.run(&withdraw));
    assert_eq!((created.exit, withdrawn.exit), (Some(0), Some(0)));
    assert_eq!(stored(&test_env).await.version.0, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_with_a_lost_reply_succeeds() {
    let test_env = configured_environment("withdraw-lost").await;
    assert_eq!(test_env.run(&NEW).await.exit, Some(0));
    test_env.platform.set_faults(Faults {
        lost_swap_replies: 1,
        ..Faults::default()
    });
    let output = test_env.run(&["key", "withdraw", "k"]).await;
    assert_eq!(output.exit, Some(0));
    assert_eq!(stored(&test_env).await.version.0, 3);
}
