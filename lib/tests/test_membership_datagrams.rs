//! Valid datagrams, damaged ones, and those from unauthenticated peers.

use balsamfold::process::membership::DATAGRAM_MAX_BYTES;
use balsamfold::process::membership::Datagram;
use balsamfold::process::membership::DatagramBuilder;
use balsamfold::process::membership::DatagramError;
use balsamfold::process::membership::Envelope;
use balsamfold::process::membership::MEMBERS_MAX;
use balsamfold::process::membership::MembershipState;
use balsamfold::process::membership::Message;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::ProbeSequence;
use balsamfold::process::membership::TableDigest;
use balsamfold::process::membership::decode;
use balsamfold::process::secret::DerivedKey;
use balsamfold::process::secret::FleetSecret;
use balsamfold::process::secret::KeyPurpose;
use balsamfold::values::ConfigVersion;
use balsamfold::values::MonotonicTime;
use balsamfold::values::WallTime;
use proptest::prelude::*;

use crate::fleet::address;
use crate::fleet::node_id;
use crate::fleet::options;
use crate::fleet::record;
use crate::fleet::secret;

fn key() -> DerivedKey {
    secret().derive(KeyPurpose::Membership)
}

fn envelope(message: Message) -> Envelope {
    Envelope {
        sender: node_id(2),
        config: ConfigVersion(3),
        digest: TableDigest(4),
        message,
    }
}

fn ping() -> Envelope {
    let sequence = ProbeSequence(5);
    envelope(Message::Ping { sequence })
}

fn state() -> MembershipState {
    MembershipState::new(options(1, 10), WallTime(1_000), MonotonicTime(0))
}

/// Signs any content with the fleet's key, which only nodes of the fleet know.
fn sign(content: &[u8]) -> Vec<u8> {
    let code = key().mac(content);
    [content, &code[..16]].concat()
}

#[test]
fn datagram_round_trips() {
    let records = vec![
        record(1, 2, NodeCondition::Alive),
        record(7, 2, NodeCondition::Dead),
    ];
    let mut builder = DatagramBuilder::new(&ping());
    assert!(records.iter().all(|record| builder.add(record)));
    let expected = Datagram {
        envelope: ping(),
        records,
    };
    assert_eq!(decode(&builder.seal(&key()), &key()), Ok(expected));
}

#[test]
fn ping_without_records_is_small() {
    let bytes = DatagramBuilder::new(&ping()).seal(&key());
    assert!(bytes.len() <= 48, "{} bytes", bytes.len());
}

#[test]
fn full_datagram_stays_within_the_limit() {
    let mut builder = DatagramBuilder::new(&ping());
    let added = (0..100)
        .take_while(|index| builder.add(&record(*index, 2, NodeCondition::Alive)))
        .count();
    let bytes = builder.seal(&key());
    assert!(added >= 12, "{added} records");
    assert!(bytes.len() <= DATAGRAM_MAX_BYTES);
    let decoded = decode(&bytes, &key()).expect("valid datagram");
    assert_eq!(decoded.records.len(), added);
}

#[test]
fn datagram_from_another_fleet_is_dropped() {
    let other_secret: FleetSecret = "another fleet's secret".parse().expect("long enough");
    let bytes = DatagramBuilder::new(&ping()).seal(&other_secret.derive(KeyPurpose::Membership));
    let mut state = state();
    let received = state.receive(&bytes, address(2), MonotonicTime(1));
    assert_eq!(received, Err(DatagramError::WrongCode));
    assert_eq!(state.take_outgoing(), []);
    assert_eq!(state.counters().dropped, 1);
}

#[test]
fn table_of_a_node_is_bounded() {
    let mut state = state();
    for first in (0..2 * MEMBERS_MAX).step_by(8) {
        let mut builder = DatagramBuilder::new(&envelope(Message::Records));
        for index in first..first + 8 {
            let mut record = record(0, 1 << 16, NodeCondition::Alive);
            record.id = node_id(index);
            builder.add(&record);
        }
        let bytes = builder.seal(&key());
        let received = state.receive(&bytes, address(2), MonotonicTime(1));
        assert_eq!(received, Ok(()));
    }
    assert_eq!(state.table().nodes().count(), MEMBERS_MAX);
}

proptest! {
    #[test]
    fn garbage_is_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(decode(&bytes, &key()).is_err());
    }

    #[test]
    fn truncated_datagram_is_dropped(length in 0..200_usize) {
        let mut builder = DatagramBuilder::new(&ping());
        builder.add(&record(1, 2, NodeCondition::Alive));
        builder.add(&record(2, 2, NodeCondition::Alive));
        let bytes = builder.seal(&key());
        prop_assume!(length < bytes.len());
        prop_assert_eq!(decode(&bytes[..length], &key()).is_err(), true);
    }

    #[test]
    fn signed_garbage_has_bounded_effects(content in proptest::collection::vec(any::<u8>(), 0..1_384)) {
        let mut state = state();
        let _ = state.receive(&sign(&content), address(2), MonotonicTime(1));
        state.tick(MonotonicTime(2));
        prop_assert!(state.table().nodes().count() <= MEMBERS_MAX);
        prop_assert!(state.take_outgoing().len() < 100);
    }

    #[test]
    fn damaged_signed_datagram_has_bounded_effects(position in 1..120_usize, value in any::<u8>()) {
        let mut builder = DatagramBuilder::new(&envelope(Message::SyncRequest {
            buckets: vec![TableDigest(9); 128],
        }));
        builder.add(&record(1, 2, NodeCondition::Alive));
        let sealed = builder.seal(&key());
        let mut content = sealed[..sealed.len() - 16].to_vec();
        content[position] = value;
        let mut state = state();
        let _ = state.receive(&sign(&content), address(2), MonotonicTime(1));
        state.tick(MonotonicTime(2));
        prop_assert!(state.take_outgoing().len() < 100);
    }
}
