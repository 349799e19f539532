//! The commands key new and key withdraw.

use balsamfold::process::configuration::ConfigurationStore;
use balsamfold::process::platform::PlatformClient;
use balsamfold::process::platform::PlatformSettings;
use balsamfold::version::CallerKey;
use balsamfold::version::Configuration;
use balsamfold::version::KeyHash;
use insta::assert_snapshot;
use testutils::platform::Faults;

use crate::desk::Desk;
use crate::desk::acme;

const NEW: [&str; 5] = ["key", "new", "k", "--organisation", "acme"];

async fn desk(name: &str) -> Desk {
    let desk = Desk::new(name).await;
    let folder = desk.write("one", "10.toml", &acme(1));
    assert_eq!(desk.run(&["apply", &folder]).await.exit, Some(0));
    desk
}

async fn stored(desk: &Desk) -> Configuration {
    let client = PlatformClient::new(&PlatformSettings::new(desk.platform.address()));
    let store = ConfigurationStore::new(&client, 1);
    store.read().await.unwrap().unwrap().configuration
}

#[tokio::test(flavor = "multi_thread")]
async fn new_key_is_printed_once_and_kept_as_a_hash() {
    let desk = desk("key-new").await;
    let made = desk.run(&NEW).await;
    let key = CallerKey::new(made.stdout.lines().last().unwrap());
    assert_snapshot!(made.text().replace(key.reveal(), "KEY"), @r"
    exit 0
    key k of organisation acme is in force with version 2
    it is printed only now, since only its hash is kept:
    KEY
    ");
    let configuration = stored(&desk).await;
    let record = configuration.keys.values().next().unwrap();
    assert!(record.hash.matches(&KeyHash::of(&key)));
    assert!(configuration.organisation_of(&key).is_some());
    let text = serde_json::to_string(&configuration).unwrap();
    assert!(!text.contains(key.reveal()));
    for args in [["show", "--output", "text"], ["show", "--output", "json"]] {
        assert!(!desk.run(&args).await.text().contains(key.reveal()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn key_outlives_a_folder_that_does_not_name_it() {
    let desk = desk("key-outlives").await;
    assert_eq!(desk.run(&NEW).await.exit, Some(0));
    let folder = desk.write("two", "10.toml", &acme(2));
    assert_snapshot!(desk.run(&["apply", &folder]).await.text(), @r"
    exit 0
    version 2 -> 3
    ~ organisation acme: rate_per_s 1 -> 2
    note: key k is not in the folder and stays as it is
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_cannot_come_back_through_an_older_folder() {
    let desk = desk("key-withdrawn").await;
    let key = CallerKey::new("key-in-the-folder");
    let hash = KeyHash::of(&key);
    let text = format!(
        "{}[key.k]\nhash = '{hash}'\norganisation = 'acme'\n",
        acme(1)
    );
    let older = desk.write("older", "10.toml", &text);
    assert_eq!(desk.run(&["apply", &older]).await.exit, Some(0));
    assert!(stored(&desk).await.organisation_of(&key).is_some());
    assert_snapshot!(desk.run(&["key", "withdraw", "k"]).await.text(), @r"
    exit 0
    key k is withdrawn for good as of version 3
    ");
    assert_snapshot!(desk.run(&["apply", &older]).await.text(), @r"
    exit 0
    version 3: nothing to change
    note: key k was withdrawn and stays so
    ");
    assert!(stored(&desk).await.organisation_of(&key).is_none());
    let renamed = text.replace("[key.k]", "[key.other]");
    let renamed = desk.write("renamed", "10.toml", &renamed);
    assert_snapshot!(desk.run(&["apply", &renamed]).await.text(), @r"
    exit 2
    error: the folder does not go with the configuration in force:
    key other has the hash of key k
    hint: `balsamfold show` prints what is in force; withdraw keys before their organisation
    ");
    assert_snapshot!(desk.run(&NEW).await.text(), @r"
    exit 1
    error: key k exists already
    hint: names and keys are never used again; take another name
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_make_one_key_of_a_name() {
    let desk = desk("key-race").await;
    desk.platform.set_faults(Faults {
        change_barrier: 2,
        ..Faults::default()
    });
    let (first, second) = tokio::join!(desk.run(&NEW), desk.run(&NEW));
    let loser = match first.exit {
        Some(0) => second,
        _ => first,
    };
    assert_snapshot!(loser.text(), @r"
    exit 3
    error: another operator's change ID came first; version 2 is in force
      + key k
    hint: nothing changed by this command; look at the changes above and run it again
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_goes_on_top_of_a_racing_change() {
    let desk = desk("withdraw-race").await;
    assert_eq!(desk.run(&NEW).await.exit, Some(0));
    desk.platform.set_faults(Faults {
        change_barrier: 2,
        ..Faults::default()
    });
    let other = ["key", "new", "other", "--organisation", "acme"];
    let withdraw = ["key", "withdraw", "k"];
    let (made, withdrawn) = tokio::join!(desk.run(&other), desk.run(&withdraw));
    assert_eq!((made.exit, withdrawn.exit), (Some(0), Some(0)));
    assert_eq!(stored(&desk).await.version.0, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_with_a_lost_reply_is_done() {
    let desk = desk("withdraw-lost").await;
    assert_eq!(desk.run(&NEW).await.exit, Some(0));
    desk.platform.set_faults(Faults {
        lost_swap_replies: 1,
        ..Faults::default()
    });
    let ended = desk.run(&["key", "withdraw", "k"]).await;
    assert_eq!(ended.exit, Some(0));
    assert_eq!(stored(&desk).await.version.0, 3);
}
