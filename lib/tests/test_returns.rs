//! Refused callers that come back when they were told to have a place before those that come first.

use std::time::Duration;

use balsamfold::process::rates::Holder;
use balsamfold::process::rates::HolderSettings;
use balsamfold::process::rates::MicroRate;
use balsamfold::process::rates::ReturnDemand;
use balsamfold::process::rates::TokenReply;
use balsamfold::process::rates::TokenRequest;
use balsamfold::process::rates::TokenRequestId;
use balsamfold::process::rates::TokenRequestPurpose;
use balsamfold::process::rates::ZoneShare;
use balsamfold::process::returns::Arrival;
use balsamfold::process::returns::PlaceOffer;
use balsamfold::process::returns::ReturnKey;
use balsamfold::process::returns::ReturnSchedule;
use balsamfold::process::returns::ReturnTable;
use balsamfold::values::Epoch;
use balsamfold::values::MonotonicTime;
use balsamfold::values::OrganisationId;
use balsamfold::values::TokenCount;
use http::Request;

const RATE_PER_S: u64 = 20;
const BURST_TOKENS: u64 = 5;
const TOKEN_MS: u64 = 1_000 / RATE_PER_S;
const HORIZON_MS: u64 = 400;
/// Until a caller is back: two ways, a new connection.
const WAY_MS: u64 = 12;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(10_000_000 + ms * 1_000)
}

fn workshop() -> OrganisationId {
    "workshop".parse().expect("the name is valid")
}

fn key(path: &str) -> ReturnKey {
    let request = Request::get(path).body(()).expect("the request is valid");
    ReturnKey::of(Some(&workshop()), &request.into_parts().0)
}

fn offer(first_ms: u64) -> PlaceOffer {
    PlaceOffer {
        first_in: Duration::from_millis(first_ms),
        interval: Duration::from_millis(TOKEN_MS),
        horizon: Duration::from_millis(HORIZON_MS),
    }
}

/// The holder of the only zone, which starts with an empty bucket.
fn empty_holder() -> Holder {
    let settings = HolderSettings {
        zone: "z0".parse().expect("the name is valid"),
        node: "n0".parse().expect("the name is valid"),
        epoch: Epoch(1),
        previous_grants_end: MonotonicTime(0),
    };
    let mut holder = Holder::new(settings, at(0));
    let share = ZoneShare {
        rate_micro_per_s: MicroRate(RATE_PER_S * 1_000_000),
        burst_tokens: TokenCount(BURST_TOKENS),
        batch_lifetime_us: 1_000,
    };
    holder.set_share(&workshop(), share, std::iter::empty(), at(0));
    holder
}

/// What a request for `waiting` tokens gets: granted tokens, and times of places in milliseconds.
fn request_tokens(holder: &mut Holder, waiting: u64, returned: u64, ms: u64) -> (u64, Vec<u64>) {
    let request = TokenRequest {
        id: TokenRequestId(ms),
        requester: "n1".parse().expect("the name is valid"),
        organisation: workshop(),
        purpose: TokenRequestPurpose::Spend,
        epoch: Epoch(0),
        waiting_tokens: TokenCount(waiting),
        prefetch_tokens: TokenCount(0),
        settlements: Vec::new(),
        pool_holder: None,
        returns: Some(ReturnDemand {
            returned_tokens: TokenCount(returned),
            placeable_tokens: TokenCount(waiting - returned),
            horizon_us: HORIZON_MS * 1_000,
        }),
    };
    match holder.handle_request(&request, at(ms)).reply {
        Some(TokenReply::Grant(grant)) => (grant.tokens.0, Vec::new()),
        Some(TokenReply::EmptyWithPlaces(_, places)) => {
            let due = places.due_us.iter().map(|us| ms + us.div_ceil(1_000));
            (0, due.collect())
        }
        reply => panic!("{reply:?}"),
    }
}

/// Guards against callers that are told the same time, of whom all but one are refused again.
#[test]
fn many_told_at_once_get_places_one_token_apart() {
    let mut schedule = ReturnSchedule::default();
    let told: Vec<_> = (0..100)
        .map_while(|_| schedule.book(offer(10), at(0)))
        .map(|due| due.as_millis() as u64)
        .collect();
    let expected = (0..).map(|place| 10 + place * TOKEN_MS);
    let expected: Vec<_> = expected.take_while(|due| *due <= HORIZON_MS).collect();
    assert_eq!(told, expected);
}

/// Guards against places that newcomers take: a wave of requests is refused, and while its callers come back
/// one by one, new requests come twice as often as there are tokens.
#[test]
fn callers_of_a_wave_get_their_tokens_before_new_ones() {
    let mut holder = empty_holder();
    let (_, places) = request_tokens(&mut holder, 6, 0, 1);
    assert_eq!(places.len(), 6);
    let mut returning: Vec<_> = places.iter().map(|due| due + WAY_MS).collect();
    let mut kept = 0;
    for ms in 2..HORIZON_MS {
        if returning.first().is_some_and(|due| *due <= ms) {
            returning.remove(0);
            kept += request_tokens(&mut holder, 1, 1, ms).0;
        }
        if ms % (TOKEN_MS / 2) == 0 {
            request_tokens(&mut holder, 1, 0, ms);
        }
    }
    assert_eq!(kept, 6);
}

/// Guards against callers that gain a place by coming often: a caller that was refused and comes before its
/// time is told apart, and leaves its place to whoever comes at its time.
#[test]
fn callers_that_ignore_the_time_have_no_place() {
    let mut table = ReturnTable::new(16);
    table.expect(key("/a"), at(100), true);
    for ms in [0, 1, 40, 97] {
        assert_eq!(table.arrive(key("/a"), at(ms)), Arrival::Early);
    }
    assert_eq!(table.arrive(key("/b"), at(100)), Arrival::New);
    let late = Duration::from_millis(WAY_MS);
    let returned = Arrival::Returned {
        has_place: true,
        late,
    };
    assert_eq!(table.arrive(key("/a"), at(100 + WAY_MS)), returned);
    assert_eq!(table.arrive(key("/a"), at(100 + WAY_MS)), Arrival::New);
}

/// Guards against tokens that are held for ever, and against a table that grows with callers that left.
#[test]
fn tokens_of_callers_that_never_return_go_to_others() {
    let mut holder = empty_holder();
    let (_, places) = request_tokens(&mut holder, 1, 0, 1);
    let due = places[0];
    assert_eq!(request_tokens(&mut holder, 1, 0, due + WAY_MS).0, 0);
    let hold_ms = ReturnSchedule::HOLD.as_millis() as u64;
    assert_eq!(request_tokens(&mut holder, 1, 0, due + hold_ms + 1).0, 1);

    let mut table = ReturnTable::new(16);
    for caller in 0..1_000 {
        table.expect(key(&format!("/{caller}")), at(caller % 7), true);
    }
    assert_eq!(table.len(), 16);
    assert_eq!(table.forget_missed(at(10 + hold_ms)), 16);
    assert!(table.is_empty());
}

/// Guards against places that add to a limit: an organisation at four times its rate whose callers all come
/// back gets what the bucket mints, and waits no longer than the horizon.
#[test]
fn organisation_far_beyond_its_limit_gets_no_more_than_the_limit() {
    const SPAN_MS: u64 = 5_000;
    let mut holder = empty_holder();
    let mut returning = std::collections::VecDeque::new();
    let (mut granted, mut returned, mut kept) = (0, 0, 0);
    for ms in (1..SPAN_MS).step_by(1) {
        while returning.front().is_some_and(|due| *due + WAY_MS <= ms) {
            returning.pop_front();
            returned += 1;
            kept += request_tokens(&mut holder, 1, 1, ms).0;
        }
        if ms % (TOKEN_MS / 4) == 0 {
            let (tokens, places) = request_tokens(&mut holder, 1, 0, ms);
            granted += tokens;
            assert!(places.iter().all(|due| *due <= ms + HORIZON_MS));
            returning.extend(places);
        }
    }
    let minted = SPAN_MS / TOKEN_MS;
    assert!(granted + kept <= minted, "{granted} + {kept} of {minted}");
    assert!(
        granted + kept + 2 >= minted,
        "{granted} + {kept} of {minted}"
    );
    assert_eq!(kept, returned);
}

/// Guards against a node or holder that trusts promises of an earlier process: callers rank as new ones.
#[test]
fn callers_of_a_restarted_process_rank_as_new() {
    let mut table = ReturnTable::new(16);
    assert_eq!(table.arrive(key("/a"), at(100)), Arrival::New);
    let mut holder = empty_holder();
    request_tokens(&mut holder, 1, 0, TOKEN_MS / 2);
    let due = TOKEN_MS + WAY_MS;
    let mut restarted = empty_holder();
    assert_eq!(request_tokens(&mut restarted, 1, 0, due).0, 1);
    assert_eq!(request_tokens(&mut restarted, 1, 1, due).0, 0);
}

/// Guards against places that outlive a jump of the clock, as after a pause of the instance.
#[test]
fn jump_of_the_clock_ends_all_places() {
    let mut schedule = ReturnSchedule::default();
    while schedule.book(offer(0), at(0)).is_some() {}
    assert!(schedule.held(at(HORIZON_MS)) > 0);
    let hour = at(3_600_000);
    assert_eq!(schedule.held(hour), 0);
    assert_eq!(schedule.take(5, hour), 0);
    assert_eq!(
        schedule.book(offer(10), hour),
        Some(Duration::from_millis(10))
    );
    assert_eq!(schedule.held(at(0)), 0);
}
