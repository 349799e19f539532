//! Changes of the configuration over time.

use std::thread;

use balsamfold::values::ConfigVersion;
use balsamfold::values::KeyId;
use balsamfold::version::CallerKey;
use balsamfold::version::ChangeId;
use balsamfold::version::Configuration;
use balsamfold::version::ConfigurationHolder;
use balsamfold::version::KeyHash;
use balsamfold::version::KeyRecord;
use balsamfold::version::KeyState;
use balsamfold::version::OfferOutcome;
use balsamfold::version::change::ConfigurationDiff;
use balsamfold::version::change::KeyChangeError;
use balsamfold::version::change::PlanError;
use balsamfold::version::change::PlanProblem;
use balsamfold::version::change::add_key;
use balsamfold::version::change::plan_folder;
use balsamfold::version::change::withdraw_key;
use balsamfold::version::folder::Folder;
use balsamfold::version::folder::SourceFile;
use proptest::prelude::*;
use uuid::Uuid;

fn folder(text: &str) -> Folder {
    let name = "all.toml".to_owned();
    let text = format!("[zone.bello]\nregion = 'antioquia'\n{text}");
    Folder::merge(&[SourceFile { name, text }]).unwrap()
}

fn organisation(name: &str, rate_per_s: u32) -> String {
    format!("[organisation.{name}]\nrate_per_s = {rate_per_s}\nburst_tokens = 5\n")
}

fn key(id: &str, organisation: &str) -> String {
    let hash = KeyHash::of(&secret(id));
    format!("[key.{id}]\nhash = '{hash}'\norganisation = '{organisation}'\n")
}

fn record(id: &str, organisation: &str) -> KeyRecord {
    KeyRecord {
        id: id.parse().unwrap(),
        hash: KeyHash::of(&secret(id)),
        organisation: organisation.parse().unwrap(),
        state: KeyState::Active,
    }
}

fn secret(id: &str) -> CallerKey {
    CallerKey::new(&format!("secret-{id}"))
}

fn change(number: u128) -> ChangeId {
    ChangeId(Uuid::from_u128(number))
}

fn id(text: &str) -> KeyId {
    text.parse().unwrap()
}

fn applied(current: Option<&Configuration>, folder: &Folder, number: u128) -> Configuration {
    plan_folder(current, folder, change(number)).unwrap().next
}

#[test]
fn plan_lists_changes() {
    let first = folder(&[organisation("acme", 1), organisation("old", 1)].concat());
    let current = applied(None, &first, 1);
    let texts = [
        organisation("acme", 2),
        organisation("new", 1),
        key("k", "new"),
    ];
    let plan = plan_folder(Some(&current), &folder(&texts.concat()), change(2)).unwrap();
    insta::assert_snapshot!(plan.diff);
    assert_eq!(plan.next.version, ConfigVersion(2));
    assert!(plan.next.contains_change(change(1)));
}

#[test]
fn older_folder_does_not_reactivate_withdrawn_key() {
    let older = folder(&[organisation("acme", 1), key("k", "acme")].concat());
    let first = applied(None, &older, 1);
    let withdrawn = withdraw_key(&first, &id("k"), change(2)).unwrap().unwrap();
    let plan = plan_folder(Some(&withdrawn), &older, change(3)).unwrap();
    assert_eq!(plan.next.keys[&id("k")].state, KeyState::Withdrawn);
    assert_eq!(plan.keys_kept_withdrawn, [id("k")]);
    assert!(plan.next.organisation_of(&secret("k")).is_none());
}

#[test]
fn withdrawn_hash_is_rejected_under_another_id() {
    let older = folder(&[organisation("acme", 1), key("k", "acme")].concat());
    let first = applied(None, &older, 1);
    let withdrawn = withdraw_key(&first, &id("k"), change(2)).unwrap().unwrap();
    let renamed = key("k", "acme").replace("[key.k]", "[key.other]");
    let renamed = folder(&[organisation("acme", 1), renamed].concat());
    let error = plan_folder(Some(&withdrawn), &renamed, change(3)).unwrap_err();
    let problem = PlanProblem::HashInUse {
        id: id("other"),
        existing: id("k"),
    };
    assert_eq!(
        error,
        PlanError {
            problems: vec![problem]
        }
    );
    let same_hash = KeyRecord {
        id: id("other"),
        ..record("k", "acme")
    };
    let error = add_key(&withdrawn, same_hash, change(3)).unwrap_err();
    assert!(matches!(error, KeyChangeError::HashInUse { .. }));
}

#[test]
fn key_added_by_command_is_kept_when_folder_omits_it() {
    let acme = folder(&organisation("acme", 1));
    let first = applied(None, &acme, 1);
    let second = add_key(&first, record("k", "acme"), change(2)).unwrap();
    let plan = plan_folder(Some(&second), &acme, change(3)).unwrap();
    assert!(plan.diff.is_empty());
    assert_eq!(plan.keys_not_named, [id("k")]);
    assert!(plan.next.organisation_of(&secret("k")).is_some());
}

#[test]
fn organisation_with_active_key_cannot_be_removed() {
    let first = folder(&[organisation("acme", 1), key("k", "acme")].concat());
    let current = applied(None, &first, 1);
    let error = plan_folder(Some(&current), &folder(""), change(2)).unwrap_err();
    insta::assert_snapshot!(error, @"cannot remove organisation acme: its key k is active");
    let withdrawn = withdraw_key(&current, &id("k"), change(2))
        .unwrap()
        .unwrap();
    assert!(plan_folder(Some(&withdrawn), &folder(""), change(3)).is_ok());
}

#[test]
fn withdrawing_twice_changes_nothing() {
    let first = folder(&[organisation("acme", 1), key("k", "acme")].concat());
    let current = applied(None, &first, 1);
    let once = withdraw_key(&current, &id("k"), change(2))
        .unwrap()
        .unwrap();
    assert_eq!(withdraw_key(&once, &id("k"), change(3)), Ok(None));
}

#[test]
fn diff_without_configurations_is_empty() {
    assert!(ConfigurationDiff::between(None, None).is_empty());
}

#[test]
fn holder_version_never_decreases() {
    let acme = folder(&[organisation("acme", 1), key("k", "acme")].concat());
    let first = applied(None, &acme, 1);
    let second = withdraw_key(&first, &id("k"), change(2)).unwrap().unwrap();
    let holder = ConfigurationHolder::new();
    assert!(holder.current().is_none());
    assert_eq!(holder.offer(first.clone()), OfferOutcome::Accepted);
    let before = holder.current().unwrap();
    assert!(before.organisation_of(&secret("k")).is_some());
    assert_eq!(holder.offer(second), OfferOutcome::Accepted);
    assert_eq!(holder.offer(first), OfferOutcome::NotNewer);
    let after = holder.current().unwrap();
    assert_eq!(after.version(), ConfigVersion(2));
    assert!(after.organisation_of(&secret("k")).is_none());
    assert_eq!(*holder.subscribe().borrow(), ConfigVersion(2));
}

#[test]
fn readers_never_observe_version_decrease() {
    const VERSIONS: u64 = 2_000;
    let holder = ConfigurationHolder::new();
    let first = applied(None, &folder(&organisation("acme", 1)), 1);
    let offer_every_second = |start: u64| {
        for version in (start..=VERSIONS).step_by(2) {
            let version = ConfigVersion(version);
            holder.offer(Configuration {
                version,
                ..first.clone()
            });
        }
    };
    thread::scope(|scope| {
        scope.spawn(|| offer_every_second(1));
        scope.spawn(|| offer_every_second(2));
        scope.spawn(|| {
            let mut seen = ConfigVersion(0);
            while seen < ConfigVersion(VERSIONS) {
                let version = holder.version();
                assert!(version >= seen);
                seen = version;
            }
        });
    });
}

/// One action of an operator in the property test.
#[derive(Clone, Debug)]
enum Step {
    Apply { keys: Vec<u8> },
    Add { key: u8 },
    Withdraw { key: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        prop::collection::vec(0..6_u8, 0..6).prop_map(|keys| Step::Apply { keys }),
        (0..6_u8).prop_map(|key| Step::Add { key }),
        (0..6_u8).prop_map(|key| Step::Withdraw { key }),
    ]
}

fn apply_step(current: &Configuration, step: &Step, number: u128) -> Option<Configuration> {
    match step {
        Step::Apply { keys } => {
            let mut names: Vec<_> = keys.iter().map(|key| format!("k{key}")).collect();
            names.sort();
            names.dedup();
            let texts: String = names.iter().map(|name| key(name, "acme")).collect();
            let wanted = folder(&[organisation("acme", 1), texts].concat());
            let plan = plan_folder(Some(current), &wanted, change(number)).ok()?;
            Some(plan.next)
        }
        Step::Add { key } => {
            add_key(current, record(&format!("k{key}"), "acme"), change(number)).ok()
        }
        Step::Withdraw { key } => {
            withdraw_key(current, &id(&format!("k{key}")), change(number)).ok()?
        }
    }
}

fn withdrawn_keys(configuration: &Configuration) -> Vec<KeyId> {
    let keys = configuration.keys.values();
    let withdrawn = keys.filter(|key| key.state == KeyState::Withdrawn);
    withdrawn.map(|key| key.id.clone()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn holder_has_the_highest_version_offered_so_far(offers in prop::collection::vec(1..9_u64, 0..30)) {
        let holder = ConfigurationHolder::new();
        let first = applied(None, &folder(&organisation("acme", 1)), 1);
        let mut highest = 0;
        for offered in offers {
            let version = ConfigVersion(offered);
            let outcome = holder.offer(Configuration { version, ..first.clone() });
            prop_assert_eq!(outcome == OfferOutcome::Accepted, offered > highest);
            highest = highest.max(offered);
            prop_assert_eq!(holder.version(), ConfigVersion(highest));
        }
    }

    #[test]
    fn versions_increase_and_withdrawn_keys_stay_withdrawn(steps in prop::collection::vec(step(), 0..40)) {
        let mut current = applied(None, &folder(&organisation("acme", 1)), 1);
        for (number, step) in steps.iter().enumerate() {
            let Some(next) = apply_step(&current, step, number as u128 + 2) else {
                continue;
            };
            prop_assert_eq!(next.version.0, current.version.0 + 1);
            prop_assert!(next.contains_change(current.change_id));
            for withdrawn in withdrawn_keys(&current) {
                prop_assert_eq!(next.keys[&withdrawn].state, KeyState::Withdrawn);
            }
            for id in current.keys.keys() {
                prop_assert!(next.keys.contains_key(id));
            }
            current = next;
        }
    }
}
