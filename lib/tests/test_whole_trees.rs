//! Call trees under load: a request that enters finds room for all of its calls, or is refused at the
//! door before anything is spent on it.

use crate::whole_trees::Control;
use crate::whole_trees::Counts;
use crate::whole_trees::Kind;
use crate::whole_trees::Loop;

/// Runs for `seconds` and returns the lookups and reads sent from the second `from` on.
fn run(control: Control, load: fn(f64) -> f64, from: f64, seconds: f64) -> (Counts, Counts) {
    let counts = Loop::new(control, load, 1).run(from, seconds);
    let of = |kind| counts.get(&kind).copied().unwrap_or_default();
    let (lookups, reads) = (of(Kind::Lookup), of(Kind::Read));
    println!(
        "{control:?}: lookups served {:.3} failed {:.3}; reads served {:.3}; whole {} ms",
        lookups.served_share(),
        lookups.failed_share(),
        reads.served_share(),
        lookups.work_ms + reads.work_ms,
    );
    (lookups, reads)
}

/// More is offered than fits for as long as it lasts: what the floors let in must be what fits, and
/// the front of a chain must not work for trees that end at its last call.
#[test]
fn steady_load_of_1_4_times_the_capacity() {
    let load = |_| 1.4;
    let (before, reads_before) = run(Control::Answers, load, 1.0, 7.0);
    let (lookups, reads) = run(Control::WholeTrees, load, 1.0, 7.0);
    assert!(lookups.failed_share() < 0.08, "{lookups:?}");
    let whole_ms = lookups.work_ms + reads.work_ms;
    let before_ms = before.work_ms + reads_before.work_ms;
    assert!(whole_ms >= before_ms, "{whole_ms} of {before_ms} ms");
    assert!(reads.served_share() > 0.5, "{reads:?}");
    let apart = lookups.served_share() - reads.served_share();
    assert!(apart.abs() < 0.2, "kinds are {apart} apart");
}

/// The offered work rises within 0.3 s to 1.5 times the capacity, stays for 3 s and falls.
#[test]
fn burst_for_three_seconds() {
    let load = |at: f64| match at {
        at if at < 2.0 => 0.8,
        at if at < 2.3 => 0.8 + 0.7 * (at - 2.0) / 0.3,
        at if at < 5.0 => 1.5,
        _ => 0.8,
    };
    let (before, reads_before) = run(Control::Answers, load, 1.0, 8.0);
    let (lookups, reads) = run(Control::WholeTrees, load, 1.0, 8.0);
    assert!(lookups.failed_share() < 0.08, "{lookups:?}");
    let whole_ms = lookups.work_ms + reads.work_ms;
    let before_ms = before.work_ms + reads_before.work_ms;
    assert!(whole_ms >= before_ms, "{whole_ms} of {before_ms} ms");
    let (lookups, reads) = run(Control::WholeTrees, load, 6.5, 8.0);
    let (sent, served) = (lookups.sent + reads.sent, lookups.served + reads.served);
    assert!(
        f64::from(served) > 0.9 * f64::from(sent),
        "{served} of {sent} after it"
    );
}

/// The load of the waves: 0.55 around the capacity, with a period of 11 s.
#[test]
fn wave_around_the_capacity() {
    let load = |at: f64| 1.0 + 0.55 * (at / 11.0 * std::f64::consts::TAU).sin();
    let (before, reads_before) = run(Control::Answers, load, 1.0, 12.0);
    let (lookups, reads) = run(Control::WholeTrees, load, 1.0, 12.0);
    assert!(lookups.failed_share() < 0.08, "{lookups:?}");
    let whole_ms = lookups.work_ms + reads.work_ms;
    let before_ms = before.work_ms + reads_before.work_ms;
    assert!(whole_ms >= before_ms, "{whole_ms} of {before_ms} ms");
    assert!(reads.served_share() > 0.6, "{reads:?}");
}
