//! Tests of the records of idempotency keys on one node.

use balsamfold::process::once::AttemptOutcome;
use balsamfold::process::once::ContentDigest;
use balsamfold::process::once::HandoverState;
use balsamfold::process::once::IdempotencyKey;
use balsamfold::process::once::KeyDigest;
use balsamfold::process::once::KeyedDecision;
use balsamfold::process::once::KeyedRequest;
use balsamfold::process::once::MintTime;
use balsamfold::process::once::MintWindow;
use balsamfold::process::once::OnceLimits;
use balsamfold::process::once::OnceRecords;
use balsamfold::process::once::RecordHandover;
use balsamfold::process::once::RecordId;
use balsamfold::process::once::SlotId;
use balsamfold::process::once::StoredResponse;
use balsamfold::process::once::home_zone;
use balsamfold::request::AttemptCount;
use balsamfold::values::MonotonicTime;
use balsamfold::values::OrganisationId;
use balsamfold::values::ZoneId;

const WALL: MintTime = MintTime(1_000_000_000);
const NOW: MonotonicTime = MonotonicTime(0);
const WINDOW: Option<MintWindow> = Some(MintWindow {
    from: MintTime(999_000_000),
    until: MintTime(1_000_005_000),
});

fn request(number: u64) -> KeyedRequest {
    let organisation: OrganisationId = "workshop".parse().unwrap();
    let key = KeyDigest::of(&organisation, &format!("order-{number}").parse().unwrap());
    KeyedRequest {
        key,
        organisation,
        slot: SlotId::of(&"orders".parse().unwrap(), key),
        mint: Some(WALL),
        content: ContentDigest::of("POST", "/orders", b"zip"),
        extra_attempts: AttemptCount(2),
    }
}

fn response(body: &str) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: body.to_owned().into(),
    }
}

fn begin(records: &mut OnceRecords, request: &KeyedRequest) -> KeyedDecision {
    records.begin(request, WINDOW, WALL, NOW)
}

fn begin_run(records: &mut OnceRecords, request: &KeyedRequest) -> RecordId {
    match begin(records, request) {
        KeyedDecision::Run { record, .. } => record,
        other => panic!("expected KeyedDecision::Run, got {other:?}"),
    }
}

fn table() -> OnceRecords {
    OnceRecords::new(OnceLimits::default())
}

#[test]
fn a_resend_joins_the_running_attempt_and_then_gets_its_response() {
    let mut records = table();
    let record = begin_run(&mut records, &request(1));
    assert_eq!(
        begin(&mut records, &request(1)),
        KeyedDecision::Join(record)
    );
    records.finish(record, AttemptOutcome::Answered(response("placed")), NOW);
    assert_eq!(
        begin(&mut records, &request(1)),
        KeyedDecision::Answered(response("placed"))
    );
}

#[test]
fn a_key_reused_for_another_body_is_a_conflict() {
    let mut records = table();
    begin_run(&mut records, &request(1));
    let other = KeyedRequest {
        content: ContentDigest::of("POST", "/orders", b"button"),
        ..request(1)
    };
    assert_eq!(begin(&mut records, &other), KeyedDecision::Conflict);
}

#[test]
fn the_same_key_of_two_organisations_is_two_keys() {
    let key: IdempotencyKey = "order-1".parse().unwrap();
    let first = KeyDigest::of(&"workshop".parse().unwrap(), &key);
    let second = KeyDigest::of(&"atelier".parse().unwrap(), &key);
    assert_ne!(first, second);
}

#[test]
fn a_request_with_an_unknown_outcome_is_never_run_again() {
    let mut records = table();
    let record = begin_run(&mut records, &request(1));
    records.finish(record, AttemptOutcome::MayHaveRun, NOW);
    assert_eq!(begin(&mut records, &request(1)), KeyedDecision::MayHaveRun);
}

#[test]
fn resends_after_not_run_use_up_the_attempts_of_the_key() {
    let mut records = table();
    for _ in 0..3 {
        let record = begin_run(&mut records, &request(1));
        let outcome = AttemptOutcome::NotRun {
            unspent: AttemptCount(9),
        };
        records.finish(record, outcome, NOW);
    }
    assert_eq!(
        begin(&mut records, &request(1)),
        KeyedDecision::AttemptsExhausted
    );
}

#[test]
fn keys_outside_the_window_are_not_run() {
    let mut records = table();
    let made_at = |ms| KeyedRequest {
        mint: Some(MintTime(ms)),
        ..request(1)
    };
    let before = begin(&mut records, &made_at(998_999_999));
    let after = begin(&mut records, &made_at(1_000_005_099));
    let without_term = records.begin(&request(1), None, WALL, NOW);
    assert_eq!(before, KeyedDecision::MayHaveRun);
    assert_eq!(
        after,
        KeyedDecision::BeyondWindow {
            retry_after_ms: 100
        }
    );
    assert_eq!(without_term, KeyedDecision::NotHome);
    assert!(records.is_empty());
}

#[test]
fn keys_as_old_as_an_expired_record_may_have_run() {
    let mut records = table();
    let record = begin_run(&mut records, &request(1));
    records.finish(record, AttemptOutcome::Answered(response("placed")), NOW);
    let later = NOW.after(OnceLimits::default().retention);
    assert_eq!(
        records.begin(&request(1), WINDOW, WALL, later),
        KeyedDecision::MayHaveRun
    );
    assert!(records.is_empty());
}

#[test]
fn running_attempts_do_not_expire() {
    let mut records = table();
    let record = begin_run(&mut records, &request(1));
    let later = NOW.after(OnceLimits::default().retention * 2);
    assert_eq!(
        records.begin(&request(1), WINDOW, WALL, later),
        KeyedDecision::Join(record)
    );
}

#[test]
fn keys_without_a_mint_time_wait_for_the_retention_after_a_new_term() {
    let undated = KeyedRequest {
        mint: None,
        ..request(1)
    };
    let lifetime = OnceLimits::default().retention + KeyedRequest::UNDATED_MARGIN;
    let settled_from = WALL.before_ms(lifetime.as_millis() as u64);
    let window = |from| {
        Some(MintWindow {
            from,
            until: WALL.after_ms(1),
        })
    };
    let begin_in = |from| table().begin(&undated, window(from), WALL, NOW);
    assert_eq!(
        begin_in(settled_from.after_ms(1)),
        KeyedDecision::MayHaveRun
    );
    assert!(matches!(begin_in(settled_from), KeyedDecision::Run { .. }));
    assert!(matches!(begin_in(MintTime(0)), KeyedDecision::Run { .. }));
}

#[test]
fn one_organisation_cannot_use_all_records() {
    let mut records = OnceRecords::new(OnceLimits {
        organisation_records_max: 2,
        ..OnceLimits::default()
    });
    begin_run(&mut records, &request(1));
    begin_run(&mut records, &request(2));
    let other = KeyedRequest {
        organisation: "atelier".parse().unwrap(),
        ..request(4)
    };
    assert_eq!(begin(&mut records, &request(3)), KeyedDecision::Full);
    begin_run(&mut records, &other);
}

#[test]
fn large_and_old_responses_are_dropped_and_their_requests_not_run_again() {
    let mut records = OnceRecords::new(OnceLimits {
        response_max_bytes: 8,
        responses_max_bytes: 10,
        ..OnceLimits::default()
    });
    for (number, body) in [(1, "too large to keep"), (2, "12345678"), (3, "12345678")] {
        let record = begin_run(&mut records, &request(number));
        records.finish(record, AttemptOutcome::Answered(response(body)), NOW);
    }
    assert_eq!(
        begin(&mut records, &request(1)),
        KeyedDecision::ResponseNotKept
    );
    assert_eq!(
        begin(&mut records, &request(2)),
        KeyedDecision::ResponseNotKept
    );
    assert_eq!(
        begin(&mut records, &request(3)),
        KeyedDecision::Answered(response("12345678"))
    );
    assert_eq!(records.responses_bytes(), 8);
}

#[test]
fn a_planned_stop_transfers_records_and_running_attempts() {
    let mut leaving = table();
    let mut next = table();
    let slot = request(1).slot;
    let record = begin_run(&mut leaving, &request(1));

    let handovers = leaving.hand_over(&slot);
    assert_eq!(handovers[0].state, HandoverState::Running);
    next.take_over(&slot, handovers, leaving.expired_before(), NOW);
    assert_eq!(begin(&mut next, &request(1)), KeyedDecision::MayHaveRun);

    let outcome = AttemptOutcome::Answered(response("placed"));
    let settled = leaving.finish(record, outcome, NOW).unwrap();
    next.settle(settled, NOW);
    assert_eq!(
        begin(&mut next, &request(1)),
        KeyedDecision::Answered(response("placed"))
    );
    assert!(leaving.is_empty());
}

#[test]
fn a_running_attempt_that_was_handed_over_and_back_keeps_its_record() {
    let mut first = table();
    let mut second = table();
    let slot = request(1).slot;
    let record = begin_run(&mut first, &request(1));
    second.take_over(&slot, first.hand_over(&slot), MintTime(0), NOW);
    first.take_over(&slot, second.hand_over(&slot), MintTime(0), NOW);
    assert_eq!(first.finish(record, AttemptOutcome::MayHaveRun, NOW), None);
    assert_eq!(begin(&mut first, &request(1)), KeyedDecision::MayHaveRun);
}

#[test]
fn record_handovers_round_trip_as_json() {
    let mut records = table();
    let slot = request(1).slot;
    let record = begin_run(&mut records, &request(1));
    records.finish(record, AttemptOutcome::Answered(response("placed")), NOW);
    let handovers = records.hand_over(&slot);
    let text = serde_json::to_string(&handovers).unwrap();
    assert_eq!(
        serde_json::from_str::<Vec<RecordHandover>>(&text).unwrap(),
        handovers,
        "{text}"
    );
}

#[test]
fn only_version_seven_uuids_have_a_mint_time() {
    let mint_of = |text: &str| text.parse::<IdempotencyKey>().unwrap().mint_time();
    assert_eq!(
        mint_of("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
        Some(MintTime(0x017f_22e2_79b0))
    );
    assert_eq!(mint_of("919108f7-52d1-4320-9bac-f847db4148a8"), None);
    assert_eq!(mint_of("order-1"), None);
    assert!("".parse::<IdempotencyKey>().is_err());
    assert!("two words".parse::<IdempotencyKey>().is_err());
}

#[test]
fn home_zones_change_only_for_the_keys_of_a_lost_zone() {
    let zones: Vec<ZoneId> = ["a", "b", "c", "d"]
        .map(|name| name.parse().unwrap())
        .into();
    let kept = &zones[..3];
    for number in 0..200 {
        let key = request(number).key;
        let before = home_zone(key, &zones).unwrap();
        let after = home_zone(key, kept).unwrap();
        assert!(before == after || *before == zones[3]);
    }
}
