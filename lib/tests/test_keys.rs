//! Callers' keys and their hashes.

use balsamfold::version::CallerKey;
use balsamfold::version::KeyHash;

#[test]
fn debug_text_hides_the_key() {
    let key = CallerKey::new("secret-key");
    assert_eq!(format!("{key:?}"), "CallerKey(..)");
}

#[test]
fn hash_text_round_trips() {
    let hash = KeyHash::of(&CallerKey::new("secret-key"));
    assert_eq!(hash.to_string().parse(), Ok(hash));
}

#[test]
fn different_keys_do_not_match() {
    let first = KeyHash::of(&CallerKey::new("first"));
    let second = KeyHash::of(&CallerKey::new("second"));
    assert!(!first.matches(&second));
    assert!(first.matches(&first));
}
