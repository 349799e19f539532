//! Organisations with small bursts through cuts: burst with a cut, and a zone that comes back.

use balsamfold::process::rates::ZoneLayout;
use balsamfold::process::rates::pool_zone;
use balsamfold::values::OrganisationId;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::version::Organisation;
use testutils::rate_fleet::Counting;
use testutils::rate_fleet::Fault;
use testutils::rate_fleet::FleetSettings;
use testutils::rate_fleet::Lending;
use testutils::rate_fleet::Link;
use testutils::rate_fleet::NewHolder;
use testutils::rate_fleet::RateFleet;

const SECOND_US: u64 = 1_000_000;
const ZONES: usize = 4;
const NODES_PER_ZONE: usize = 4;
const RATE_PER_S: u32 = 8;
const BURST: u64 = 8;
/// By this time holders are chosen and buckets are full.
const LOAD_STARTS_US: u64 = 12 * SECOND_US;
const CUT_US: u64 = 20 * SECOND_US;
const HEAL_US: u64 = 40 * SECOND_US;
const END_US: u64 = 60 * SECOND_US;
/// Time after a cut or its end in which zones find what they have: a lease of a share, the batches granted of
/// it, and the first token.
const SETTLE_US: u64 = 3 * SECOND_US;

fn id() -> OrganisationId {
    "workshop".parse().expect("the name is valid")
}

fn organisation() -> Organisation {
    Organisation {
        id: id(),
        rate_per_s: RatePerSecond(RATE_PER_S),
        burst_tokens: TokenCount(BURST),
    }
}

fn fleet(seed: u64) -> RateFleet {
    RateFleet::new(FleetSettings {
        seed,
        zone_count: ZONES,
        nodes_per_zone: NODES_PER_ZONE,
        link: Link::default(),
        drift_ppm: 0,
        counting: Counting::Messages,
        new_holder: NewHolder::Empty,
        lending: Lending::On,
        organisations: vec![organisation()],
    })
}

/// Returns the index of the zone where the organisation's tokens are pooled.
fn pool_index(layout: &ZoneLayout) -> usize {
    let zone = pool_zone(&organisation(), layout).expect("the burst is small");
    let index = layout.weights.keys().position(|known| *known == zone);
    index.expect("the pool is in a zone of the layout")
}

/// Sends the whole rate into one zone, which is cut off from the others for 20 s. Returns how many requests
/// it admitted a second before the cut, in it and after it, each without the first seconds.
fn admitted_in_a_cut(is_pool: bool, seed: u64) -> [f64; 3] {
    let mut fleet = fleet(seed);
    let pool = pool_index(&fleet.equal_layout());
    let zone = match is_pool {
        true => pool,
        false => (pool + 1) % ZONES,
    };
    for other in (0..ZONES).filter(|other| *other != zone) {
        fleet.plan_fault(CUT_US, Fault::Cut(zone, other));
        fleet.plan_fault(HEAL_US, Fault::Heal(zone, other));
    }
    let gap_us = SECOND_US / u64::from(RATE_PER_S);
    for (number, at_us) in (LOAD_STARTS_US..END_US)
        .step_by(gap_us as usize)
        .enumerate()
    {
        let node = zone * NODES_PER_ZONE + number % NODES_PER_ZONE;
        fleet.plan_arrival(at_us, node, &id());
    }
    fleet.run_until(END_US);
    let admitted_us = fleet.tally.admitted_us.remove(&id()).unwrap_or_default();
    let per_s = |from_us: u64, until_us: u64| {
        let span = from_us + SETTLE_US..until_us;
        let count = admitted_us.iter().filter(|at| span.contains(at)).count();
        count as f64 * SECOND_US as f64 / (span.end - span.start) as f64
    };
    [
        per_s(LOAD_STARTS_US, CUT_US),
        per_s(CUT_US, HEAL_US),
        per_s(HEAL_US, END_US),
    ]
}

// A zone that is cut off has lent its share, or borrowed those of the others. It must have its own again soon,
// no more, and the whole soon after the cut.
#[test]
fn zone_that_is_cut_off_serves_its_share_and_the_whole_after_the_cut() {
    let whole = f64::from(RATE_PER_S);
    let share = whole / ZONES as f64;
    for is_pool in [false, true] {
        for seed in 1..=3 {
            let [before, cut, after] = admitted_in_a_cut(is_pool, seed);
            let context = format!("pool {is_pool}, seed {seed}: {before:.2}, {cut:.2}, {after:.2}");
            assert!(before >= whole * 0.95, "{context}");
            assert!(cut >= share * 0.90 && cut <= share * 1.05, "{context}");
            assert!(after >= whole * 0.90, "{context}");
        }
    }
}
