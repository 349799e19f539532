//! Lease on the role of a zone's holder.

use balsamfold::process::rates::Bucket;
use balsamfold::process::rates::BucketHandover;
use balsamfold::process::rates::HolderLease;
use balsamfold::process::rates::HolderRecord;
use balsamfold::process::rates::LEASE_HOLD;
use balsamfold::process::rates::LEASE_TAKEOVER;
use balsamfold::process::rates::LeaseAction;
use balsamfold::process::rates::MAX_BATCH_LIFETIME;
use balsamfold::process::rates::MicroRate;
use balsamfold::process::rates::PeerStatus;
use balsamfold::process::rates::PlatformReachability;
use balsamfold::process::rates::RecordWrite;
use balsamfold::process::rates::ZoneLayout;
use balsamfold::process::rates::ZoneShare;
use balsamfold::values::Epoch;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::values::ZoneId;
use balsamfold::version::Organisation;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn layout(weight: u32) -> ZoneLayout {
    let other = "z1".parse().expect("the name is valid");
    ZoneLayout {
        weights: [(zone(), weight), (other, 1)].into(),
    }
}

fn zone() -> ZoneId {
    "z0".parse().expect("the name is valid")
}

fn lease(node: &str) -> HolderLease {
    let node = node.parse().expect("the name is valid");
    let mut lease = HolderLease::new(node, Incarnation(1));
    lease.set_layout(layout(1), at(0));
    lease
}

fn write_of(action: LeaseAction) -> RecordWrite {
    match action {
        LeaseAction::Write(write) => *write,
        other => panic!("expected a write, got {other:?}"),
    }
}

/// Acquires the role for `lease` by a write sent at `ms`.
fn acquire(lease: &mut HolderLease, ms: u64) -> HolderRecord {
    lease.record_read(None, at(ms));
    let write = write_of(lease.next_action(true, at(ms)));
    lease.write_succeeded(at(ms + 3));
    write.record
}

fn status(epoch: u64, platform: PlatformReachability) -> Option<PeerStatus> {
    Some(PeerStatus {
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
    let mut record = acquire(&mut first, 0);
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
fn an_unresponsive_holder_is_replaced_after_its_lease_and_with_a_higher_epoch() {
    let mut first = lease("n1");
    let mut second = lease("n2");
    let record = acquire(&mut first, 0);
    second.record_read(Some(record.clone()), at(1));
    let takeover = at(1).after(LEASE_TAKEOVER);
    let write = write_of(second.next_action(true, takeover));
    assert_eq!(write.expected, Some(record));
    assert_eq!(write.record.epoch, Epoch(2));
    assert_eq!(first.held_epoch(takeover), None);
}

#[test]
fn a_lost_response_is_resolved_by_reading() {
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
    let record = acquire(&mut first, 0);
    let node = "n1".parse().expect("the name is valid");
    let mut restarted = HolderLease::new(node, Incarnation(2));
    restarted.set_layout(layout(1), at(400));
    restarted.record_read(Some(record), at(500));
    assert_eq!(restarted.held_epoch(at(500)), None);
    assert_eq!(restarted.next_action(true, at(1_600)), LeaseAction::Read);
}

/// Guards against seconds without a holder in every zone after all processes were killed at once and
/// started again: each waited for the lease of its own earlier process.
#[test]
fn a_process_that_bound_the_address_of_an_ended_holder_takes_over_at_once() {
    let address = "127.0.0.1:7000".parse().expect("valid address");
    let other_address = "127.0.0.1:7001".parse().expect("valid address");
    let mut first = lease("n1").bound_to(address, at(0));
    let record = acquire(&mut first, 0);
    let next = |node: &str, address| {
        let node = node.parse().expect("the name is valid");
        let mut next = HolderLease::new(node, Incarnation(2)).bound_to(address, at(300));
        next.set_layout(layout(1), at(400));
        assert_eq!(next.next_action(false, at(400)), LeaseAction::Read);
        next.record_read(Some(record.clone()), at(500));
        let action = next.next_action(false, at(500));
        (next, action)
    };
    let (mut next_process, action) = next("n1", address);
    let write = write_of(action);
    assert_eq!(write.record.epoch, Epoch(2));
    assert_eq!(write.expected, Some(record.clone()));
    next_process.write_succeeded(at(600));
    assert_eq!(next_process.held_epoch(at(600)), Some(Epoch(2)));
    // The earlier process granted its last batch before this one bound the address.
    let ended_at = at(300).after(MAX_BATCH_LIFETIME);
    assert_eq!(next_process.previous_grants_end(at(600)), ended_at);
    assert_eq!(next("n1", other_address).1, LeaseAction::Wait);
    assert_eq!(next("n2", address).1, LeaseAction::Wait);
}

#[test]
fn the_holder_keeps_its_lease_in_an_outage_with_the_promises_of_all_nodes() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    first.platform_unreachable();
    assert!(first.needs_promises(at(2_000)));
    let unreachable = status(1, PlatformReachability::Unreachable);
    first.apply_promises(&[unreachable.clone(), unreachable], at(2_000));
    assert_eq!(first.held_epoch(at(4_900)), Some(Epoch(1)));
}

#[test]
fn the_holder_stops_if_one_node_reaches_the_platform_or_does_not_reply() {
    let unreachable = status(1, PlatformReachability::Unreachable);
    for other in [status(1, PlatformReachability::Reachable), None] {
        let mut first = lease("n1");
        acquire(&mut first, 0);
        first.platform_unreachable();
        first.apply_promises(&[unreachable.clone(), other], at(2_000));
        assert_eq!(first.held_epoch(at(3_000)), None);
    }
}

#[test]
fn a_promise_prevents_a_takeover() {
    let mut second = lease("n2");
    let mut first = lease("n1");
    let record = acquire(&mut first, 0);
    second.record_read(Some(record.clone()), at(1));
    second.platform_unreachable();
    let promise = second.peer_status(at(3_900));
    assert_eq!(promise.platform, PlatformReachability::Unreachable);
    assert_eq!(second.next_action(true, at(7_800)), LeaseAction::Read);
    second.record_read(Some(record), at(7_801));
    assert!(matches!(
        second.next_action(true, at(8_900)),
        LeaseAction::Write(_)
    ));
}

#[test]
fn a_node_without_recent_platform_calls_promises_as_well() {
    let mut second = lease("n2");
    second.record_read(None, at(0));
    assert_eq!(
        second.peer_status(at(100)).platform,
        PlatformReachability::Reachable
    );
    assert_eq!(
        second.peer_status(at(2_000)).platform,
        PlatformReachability::Unreachable
    );
}

#[test]
fn a_node_with_a_pending_write_promises_nothing() {
    let mut second = lease("n2");
    second.record_read(None, at(0));
    second.next_action(true, at(0));
    second.platform_unreachable();
    assert_eq!(
        second.peer_status(at(10)).platform,
        PlatformReachability::Reachable
    );
}

#[test]
fn a_higher_epoch_ends_the_lease() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    first.epoch_seen(Epoch(2));
    assert_eq!(first.held_epoch(at(10)), None);
}

/// Returns the record of another zone, bound by layouts with these weights, the newest last.
fn record_of_other_zone(weights: &[u32]) -> Option<HolderRecord> {
    Some(HolderRecord {
        holder: "n9".parse().expect("the name is valid"),
        incarnation: Incarnation(1),
        address: None,
        epoch: Epoch(1),
        renewals: 0,
        released: false,
        handovers: Vec::new(),
        layouts: weights.iter().map(|weight| layout(*weight)).collect(),
    })
}

fn share_tokens(lease: &HolderLease) -> u64 {
    let organisation = Organisation {
        id: "workshop".parse().expect("the name is valid"),
        rate_per_s: RatePerSecond(80),
        burst_tokens: TokenCount(80),
    };
    lease.layouts().share(&organisation, &zone()).burst_tokens.0
}

/// Renews the lease at `ms` and returns the written record.
fn renew(lease: &mut HolderLease, ms: u64) -> HolderRecord {
    let write = write_of(lease.next_action(true, at(ms)));
    lease.write_succeeded(at(ms + 3));
    write.record
}

#[test]
fn the_first_holder_has_no_share_before_it_has_read_the_other_zones() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    assert_eq!(share_tokens(&first), 0);
    assert_eq!(
        first.zones_to_read(&zone()).map(|zones| zones.len()),
        Some(1)
    );
    first.zones_read(&[None]);
    assert_eq!(share_tokens(&first), 40);
}

#[test]
fn a_single_zone_settles_without_reading_any_record() {
    let mut lease = lease("n1");
    let alone = ZoneLayout {
        weights: std::iter::once((zone(), 1)).collect(),
    };
    lease.set_layout(alone, at(0));
    acquire(&mut lease, 0);
    assert_eq!(
        lease.zones_to_read(&zone()).map(|zones| zones.len()),
        Some(0)
    );
    lease.zones_read(&[]);
    assert_eq!(lease.zones_to_read(&zone()), None);
    assert!(share_tokens(&lease) > 0);
}

#[test]
fn a_larger_share_waits_until_the_other_zone_has_the_smaller_one() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    first.zones_read(&[record_of_other_zone(&[1])]);
    first.set_layout(layout(3), at(10));
    assert_eq!(share_tokens(&first), 40);
    assert_eq!(renew(&mut first, 1_000).layouts.len(), 1);
    assert_eq!(renew(&mut first, 2_000).layouts.len(), 1);
    assert_eq!(renew(&mut first, 3_000).layouts.len(), 2);
    first.zones_read(&[record_of_other_zone(&[1])]);
    assert_eq!(share_tokens(&first), 40);
    first.zones_read(&[record_of_other_zone(&[1, 3])]);
    assert_eq!(share_tokens(&first), 60);
}

#[test]
fn a_smaller_share_is_in_force_at_once_and_published_when_old_batches_have_ended() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    first.set_layout(layout(3), at(10));
    renew(&mut first, 1_050);
    renew(&mut first, 2_100);
    first.zones_read(&[record_of_other_zone(&[1, 3])]);
    assert_eq!(share_tokens(&first), 60);
    first.set_layout(layout(1), at(2_200));
    assert_eq!(share_tokens(&first), 40);
    let newest = |record: HolderRecord| record.layouts.last().cloned();
    assert_eq!(newest(renew(&mut first, 3_150)), Some(layout(3)));
    assert_eq!(newest(renew(&mut first, 4_180)), Some(layout(3)));
    assert_eq!(newest(renew(&mut first, 5_200)), Some(layout(1)));
}

#[test]
fn a_new_holder_inherits_the_layouts_of_its_predecessor() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    first.zones_read(&[None]);
    renew(&mut first, 1_100);
    first.set_layout(layout(3), at(1_200));
    let record = renew(&mut first, 2_300);
    let mut second = lease("n2");
    second.set_layout(layout(3), at(0));
    second.record_read(Some(record), at(2_400));
    second.next_action(true, at(2_400).after(LEASE_TAKEOVER));
    second.write_succeeded(at(2_410).after(LEASE_TAKEOVER));
    assert_eq!(share_tokens(&second), 40);
}

#[test]
fn a_released_role_is_taken_over_at_once() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    let write = first
        .release(Vec::new(), at(100))
        .expect("the role is released");
    assert_eq!(first.held_epoch(at(100)), None);
    let mut second = lease("n2");
    second.record_read(Some(write.record), at(110));
    let takeover = write_of(second.next_action(true, at(120)));
    assert_eq!(takeover.record.epoch, Epoch(2));
    assert!(!takeover.record.released);
}

// Guards against two holders at once: the store went back to the moment at which an earlier holder had released the
// role, or to one before the first holder, while a later holder still grants.
#[test]
fn a_free_record_of_an_earlier_term_is_not_taken_over_at_once() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    let released = first.release(Vec::new(), at(500));
    let released = released.expect("the role is released").record;
    let mut second = lease("n2");
    second.record_read(Some(released.clone()), at(600));
    let taken = write_of(second.next_action(true, at(600))).record;
    second.write_succeeded(at(603));
    for earlier in [Some(released), None] {
        let mut third = lease("n3");
        third.record_read(Some(taken.clone()), at(700));
        third.record_read(earlier, at(800));
        assert_eq!(third.next_action(true, at(800)), LeaseAction::Read);
        let expired_at = at(800).after(LEASE_TAKEOVER);
        assert!(second.held_epoch(expired_at).is_none());
        let takeover = write_of(third.next_action(true, expired_at));
        assert!(takeover.record.epoch > taken.epoch);
    }
}

#[test]
fn a_role_with_a_pending_write_is_not_released() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    first.next_action(true, at(1_100));
    first.platform_unreachable();
    assert_eq!(first.release(Vec::new(), at(1_200)), None);
    assert_eq!(first.held_epoch(at(1_200)), None);
}

#[test]
fn a_handover_is_applied_once_by_one_successor() {
    let mut first = lease("n1");
    acquire(&mut first, 0);
    let handovers = vec![BucketHandover {
        organisation: "workshop".parse().expect("the name is valid"),
        level_tokens: TokenCount(7),
        outstanding_tokens: TokenCount(3),
    }];
    let write = first
        .release(handovers.clone(), at(100))
        .expect("the role is released");
    let mut second = lease("n2");
    second.record_read(Some(write.record.clone()), at(200));
    let takeover = write_of(second.next_action(true, at(1_300)));
    assert_eq!(takeover.expected, Some(write.record));
    assert_eq!(takeover.record.handovers, Vec::new());
    second.write_succeeded(at(1_301));
    assert_eq!(second.take_handovers(), handovers);
    assert_eq!(second.take_handovers(), Vec::new());
}

#[test]
fn a_handed_over_bucket_mints_only_beside_outstanding_tokens() {
    let share = ZoneShare {
        rate_micro_per_s: MicroRate(10_000_000),
        burst_tokens: TokenCount(10),
        batch_lifetime_us: 500_000,
    };
    let handover = BucketHandover {
        organisation: "workshop".parse().expect("the name is valid"),
        level_tokens: TokenCount(9),
        outstanding_tokens: TokenCount(4),
    };
    let mut bucket = Bucket::from_handover(share, &handover, at(0));
    assert_eq!(bucket.level(), TokenCount(6));
    bucket.advance(at(999));
    assert_eq!(bucket.level(), TokenCount(6));
    bucket.advance(at(1_300));
    assert!(bucket.level() > TokenCount(6));
    assert!(bucket.level() <= TokenCount(10));
}
