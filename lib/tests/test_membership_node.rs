//! Datagrams and records of a single node whose peers are simulated by the test.

use std::time::Duration;

use balsamfold::process::membership::Datagram;
use balsamfold::process::membership::MembershipState;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::membership::decode;
use balsamfold::process::membership::send_limit;
use balsamfold::process::secret::KeyPurpose;
use balsamfold::values::MonotonicTime;
use balsamfold::values::WallTime;

use crate::fleet::address;
use crate::fleet::announcement;
use crate::fleet::node_id;
use crate::fleet::options;
use crate::fleet::record;
use crate::fleet::secret;

/// Returns a node that knows nodes 7 and 8, neither of which ever responds.
fn node_with_unresponsive_peers(now: MonotonicTime) -> MembershipState {
    let mut state = MembershipState::new(options(5, 10), WallTime(1_000), now);
    let others = [7, 8].map(|index| record(index, 1 << 16, NodeCondition::Alive));
    receive_records(&mut state, &others, now);
    state
}

fn receive_records(state: &mut MembershipState, records: &[NodeRecord], now: MonotonicTime) {
    let received = state.receive(&announcement(records), address(7), now);
    assert_eq!(received, Ok(()));
}

/// Ticks every 100 ms from `start` on, and returns the datagrams sent.
fn run_for(state: &mut MembershipState, start: MonotonicTime, time: Duration) -> Vec<Datagram> {
    for tenth in 0..time.as_millis() as u64 / 100 {
        state.tick(start.after(Duration::from_millis(100 * tenth)));
    }
    sent_datagrams(state)
}

fn condition(state: &MembershipState, index: usize) -> Option<NodeCondition> {
    state.node(&node_id(index)).map(|record| record.condition)
}

fn sent_datagrams(state: &mut MembershipState) -> Vec<Datagram> {
    let key = secret().derive(KeyPurpose::Membership);
    let outgoing = state.take_outgoing().into_iter();
    outgoing
        .map(|outgoing| decode(&outgoing.bytes, &key).expect("valid datagram"))
        .collect()
}

#[test]
fn probe_interrupted_by_a_pause_causes_no_suspicion() {
    let start = MonotonicTime(0);
    let mut state = node_with_unresponsive_peers(start);
    let before = state.own_record().incarnation;
    state.tick(start);
    let resumed = start.after(Duration::from_secs(60));
    state.tick(resumed);
    assert!(state.own_record().incarnation > before);
    let conditions: Vec<_> = state.table().nodes().map(|node| node.condition).collect();
    assert_eq!(conditions, [NodeCondition::Alive; 3]);
}

#[test]
fn probe_of_a_lost_node_carries_its_record_at_any_age() {
    let start = MonotonicTime(0);
    let mut state = node_with_unresponsive_peers(start);
    let lost = record(8, 1 << 16, NodeCondition::Suspect);
    receive_records(&mut state, std::slice::from_ref(&lost), start);
    run_for(&mut state, start, Duration::from_secs(60));
    let later = start.after(Duration::from_secs(60));
    let sent = run_for(&mut state, later, Duration::from_secs(2));
    let is_sent = sent.iter().any(|datagram| datagram.records.contains(&lost));
    assert!(is_sent, "{sent:?}");
}

#[test]
fn record_is_disseminated_a_bounded_number_of_times() {
    let start = MonotonicTime(0);
    let mut state = node_with_unresponsive_peers(start);
    let leaving = record(8, 1 << 16, NodeCondition::Leaving);
    receive_records(&mut state, std::slice::from_ref(&leaving), start);
    let sent = run_for(&mut state, start, Duration::from_secs(60));
    let carrying = sent
        .iter()
        .filter(|datagram| datagram.records.contains(&leaving));
    assert_eq!(carrying.count() as u32, send_limit(3));
}

#[test]
fn record_announced_by_its_node_is_disseminated_less_often() {
    let start = MonotonicTime(0);
    let mut state = node_with_unresponsive_peers(start);
    let announced = record(7, 2 << 16, NodeCondition::Alive);
    receive_records(&mut state, std::slice::from_ref(&announced), start);
    let sent = run_for(&mut state, start, Duration::from_secs(60));
    let carrying = sent
        .iter()
        .filter(|datagram| datagram.records.contains(&announced));
    assert_eq!(carrying.count() as u32, send_limit(3) - 1);
}

#[test]
fn leaving_node_that_sends_again_is_not_dead() {
    let start = MonotonicTime(0);
    let mut state = node_with_unresponsive_peers(start);
    let leaving = record(7, 2 << 16, NodeCondition::Leaving);
    receive_records(&mut state, &[leaving], start);
    for second in 0..30 {
        let now = start.after(Duration::from_secs(second));
        if second % 3 == 0 {
            receive_records(&mut state, &[], now);
        }
        run_for(&mut state, now, Duration::from_secs(1));
        assert_eq!(condition(&state, 7), Some(NodeCondition::Leaving));
    }
}

#[test]
fn dead_node_that_left_is_not_probed() {
    let start = MonotonicTime(0);
    let mut state = node_with_unresponsive_peers(start);
    receive_records(
        &mut state,
        &[record(8, 1 << 16, NodeCondition::Leaving)],
        start,
    );
    receive_records(
        &mut state,
        &[record(8, 1 << 16, NodeCondition::Dead)],
        start,
    );
    for tenth in 0..300 {
        state.tick(start.after(Duration::from_millis(100 * tenth)));
    }
    let sent = state.take_outgoing();
    let is_probed = sent.iter().any(|outgoing| outgoing.to == address(8));
    assert!(!is_probed);
}

#[test]
fn record_with_the_highest_incarnation_is_ignored() {
    let start = MonotonicTime(0);
    let mut state = node_with_unresponsive_peers(start);
    let before = state.own_record().incarnation;
    let claims = [5, 8].map(|index| record(index, u64::MAX, NodeCondition::Dead));
    receive_records(&mut state, &claims, start);
    assert_eq!(state.own_record().incarnation, before);
    assert_eq!(condition(&state, 8), Some(NodeCondition::Alive));
}
