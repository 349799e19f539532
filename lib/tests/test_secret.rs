//! Tests of the fleet secret and its derived keys.

use balsamfold::process::secret::FleetSecret;
use balsamfold::process::secret::InvalidFleetSecretError;
use balsamfold::process::secret::KeyPurpose;

fn secret(text: &str) -> FleetSecret {
    text.parse().expect("long enough")
}

#[test]
fn short_secret_is_refused() {
    let refused = "fifteen bytes!!".parse::<FleetSecret>();
    assert_eq!(
        refused.err(),
        Some(InvalidFleetSecretError::TooShort { bytes: 15 })
    );
}

#[test]
fn debug_text_hides_the_secret() {
    let secret = secret("sixteen bytes!!!");
    assert_eq!(format!("{secret:?}"), "FleetSecret(..)");
    let key = secret.derive(KeyPurpose::Membership);
    assert_eq!(format!("{key:?}"), "DerivedKey(..)");
}

#[test]
fn mac_is_valid_for_one_message_secret_and_purpose() {
    let key = secret("sixteen bytes!!!").derive(KeyPurpose::Membership);
    let mac = key.mac(b"message");
    assert!(key.verify(b"message", &mac));
    assert!(key.verify(b"message", &mac[..16]));
    assert!(!key.verify(b"massage", &mac));

    let other_purpose = secret("sixteen bytes!!!").derive(KeyPurpose::PeerRequest);
    assert!(!other_purpose.verify(b"message", &mac));
    let other_fleet = secret("another sixteen bytes").derive(KeyPurpose::Membership);
    assert!(!other_fleet.verify(b"message", &mac));
}

#[test]
fn empty_and_overlong_macs_never_match() {
    let key = secret("sixteen bytes!!!").derive(KeyPurpose::Control);
    assert!(!key.verify(b"message", b""));
    let overlong = [key.mac(b"message").as_slice(), b"x"].concat();
    assert!(!key.verify(b"message", &overlong));
}
