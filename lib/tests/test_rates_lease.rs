//! The lease on the role of a zone's holder.

use balsamfold::process::rates::HolderLease;
use balsamfold::process::rates::HolderRecord;
use balsamfold::process::rates::LEASE_HOLD;
use balsamfold::process::rates::LEASE_TAKEOVER;
use balsamfold::process::rates::LeaseAction;
use balsamfold::process::rates::PeerStanding;
use balsamfold::process::rates::PlatformStanding;
use balsamfold::process::rates::RecordWrite;
use balsamfold::values::Epoch;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn lease(node: &str) -> HolderLease {
    let node = node.parse().expect("the name is valid");
    HolderLease::new(node, Incarnation(1))
}

fn write_of(action: LeaseAction) -> RecordWrite {
    match action {
        LeaseAction::Write(write) => write,
        other => panic!("expected a write, got {other:?}"),
    }
}

/// Gives the role to `lease` by a write sent at `ms`.
fn take(lease: &mut HolderLease, ms: u64) -> HolderRecord {
    lease.record_read(None, at(ms));
    let write = write_of(lease.next_action(true, at(ms)));
    lease.write_succeeded(at(ms + 3));
    write.record
}

fn standing(epoch: u64, platform: PlatformStanding) -> Option<PeerStanding> {
    Some(PeerStanding {
        epoch: Epoch(epoch),
        platform,
    })
}

#[test]
fn the_lease_is_counted_from_when_the_write_was_sent() {
    let mut first = lease("n1");
    first.record_read(None, at(0));
    first.next_action(true, at(0));
    first.write_succeeded(at(2_900));
    assert_eq!(first.held_epoch(at(2_950)), Some(Epoch(1)));
    assert_eq!(first.held_epoch(at(0).after(LEASE_HOLD)), None);
}

#[test]
fn a_live_holder_is_not_replaced() {
    let mut first = lease("n1");
    let mut second = lease("n2");
    let mut record = take(&mut first, 0);
    for ms in (1_000..20_000).step_by(1_000) {
        second.record_read(Some(record.clone()), at(ms));
        let write = write_of(first.next_action(true, at(ms + 10)));
        first.write_succeeded(at(ms + 20));
        record = write.record;
        assert_eq!(second.next_action(true, at(ms + 30)), LeaseAction::Read);
    }
    assert_eq!(first.held_epoch(at(20_000)), Some(Epoch(1)));
}

#[test]
fn a_silent_holder_is_replaced_after_its_lease_and_with_a_higher_epoch() {
    let mut first = lease("n1");
    let mut second = lease("n2");
    let record = take(&mut first, 0);
    second.record_read(Some(record.clone()), at(1));
    let takeover = at(1).after(LEASE_TAKEOVER);
    let write = write_of(second.next_action(true, takeover));
    assert_eq!(write.expected, Some(record));
    assert_eq!(write.record.epoch, Epoch(2));
    assert_eq!(first.held_epoch(takeover), None);
}

#[test]
fn a_lost_answer_is_settled_by_reading() {
    let mut first = lease("n1");
    first.record_read(None, at(0));
    let write = write_of(first.next_action(true, at(0)));
    first.platform_unreachable();
    assert_eq!(first.next_action(true, at(1_000)), LeaseAction::Read);
    first.record_read(Some(write.record), at(1_003));
    assert_eq!(first.held_epoch(at(1_003)), Some(Epoch(1)));
    assert_eq!(first.held_until(), Some(at(0).after(LEASE_HOLD)));
}

#[test]
fn a_restarted_node_does_not_take_its_old_role_at_once() {
    let mut first = lease("n1");
    let record = take(&mut first, 0);
    let node = "n1".parse().expect("the name is valid");
    let mut restarted = HolderLease::new(node, Incarnation(2));
    restarted.record_read(Some(record), at(500));
    assert_eq!(restarted.held_epoch(at(500)), None);
    assert_eq!(restarted.next_action(true, at(1_600)), LeaseAction::Read);
}

#[test]
fn the_holder_goes_on_in_an_outage_with_the_promises_of_all_nodes() {
    let mut first = lease("n1");
    take(&mut first, 0);
    first.platform_unreachable();
    assert!(first.needs_promises(at(2_000)));
    let unreachable = standing(1, PlatformStanding::Unreachable);
    first.promises_answered(&[unreachable.clone(), unreachable], at(2_000));
    assert_eq!(first.held_epoch(at(4_900)), Some(Epoch(1)));
}

#[test]
fn the_holder_stops_if_one_node_reaches_the_platform_or_does_not_answer() {
    let unreachable = standing(1, PlatformStanding::Unreachable);
    for other in [standing(1, PlatformStanding::Reachable), None] {
        let mut first = lease("n1");
        take(&mut first, 0);
        first.platform_unreachable();
        first.promises_answered(&[unreachable.clone(), other], at(2_000));
        assert_eq!(first.held_epoch(at(3_000)), None);
    }
}

#[test]
fn a_promise_keeps_a_node_from_taking_over() {
    let mut second = lease("n2");
    let mut first = lease("n1");
    let record = take(&mut first, 0);
    second.record_read(Some(record.clone()), at(1));
    second.platform_unreachable();
    let promise = second.standing(at(3_900));
    assert_eq!(promise.platform, PlatformStanding::Unreachable);
    assert_eq!(second.next_action(true, at(7_800)), LeaseAction::Read);
    second.record_read(Some(record), at(7_801));
    assert!(matches!(
        second.next_action(true, at(8_900)),
        LeaseAction::Write(_)
    ));
}

#[test]
fn a_node_with_a_write_in_doubt_promises_nothing() {
    let mut second = lease("n2");
    second.record_read(None, at(0));
    second.next_action(true, at(0));
    second.platform_unreachable();
    assert_eq!(
        second.standing(at(10)).platform,
        PlatformStanding::Reachable
    );
}

#[test]
fn a_higher_epoch_ends_the_lease() {
    let mut first = lease("n1");
    take(&mut first, 0);
    first.epoch_seen(Epoch(2));
    assert_eq!(first.held_epoch(at(10)), None);
}
