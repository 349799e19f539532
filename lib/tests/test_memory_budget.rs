//! The budget of the memory that bodies hold.

use std::time::Duration;

use balsamfold::connection::BodyError;
use balsamfold::connection::BodyKind;
use balsamfold::connection::MemoryBudget;
use balsamfold::connection::read_budgeted_body;
use balsamfold::process::relay::ExchangeId;
use balsamfold::process::relay::FrameReader;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::encode_frame;
use balsamfold::process::relay::encode_shared;
use bytes::Bytes;
use futures::StreamExt;
use futures::future::join_all;
use http_body::Frame;
use proptest::prelude::*;
use volo_http::body::Body;

const MEMORY_BYTES: usize = 160_000_000;
const LARGE_BYTES: usize = 15_000_000;
const PART_BYTES: usize = 1_000_000;
const LIMIT_BYTES: usize = 64 * 1_024 * 1_024;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a body without a length in parts, after each of which others may go on.
fn body_in_parts(parts: usize) -> Body {
    let parts = futures::stream::iter(0..parts).then(|_| async {
        tokio::task::yield_now().await;
        Ok(Frame::data(Bytes::from_static(&[b'z'; PART_BYTES])))
    });
    Body::from_stream(parts)
}

async fn read(budget: &MemoryBudget, kind: BodyKind, body: Body) -> Result<Bytes, BodyError> {
    read_budgeted_body(body, LIMIT_BYTES, TIMEOUT, budget.start(kind)).await
}

// Guards against bodies that each keep within their limit and fill the memory together.
#[tokio::test]
async fn large_bodies_are_refused_without_room_and_small_ones_are_not() {
    let budget = MemoryBudget::of_process(MEMORY_BYTES);
    let large = |_| {
        let body = Body::from(vec![b'z'; LARGE_BYTES]);
        read(&budget, BodyKind::Request, body)
    };
    let held = join_all((0..10).map(large)).await;
    let read_count = held.iter().filter(|result| result.is_ok()).count();
    assert_eq!(read_count, budget.request_bytes_max() / LARGE_BYTES);
    let refused = held.iter().filter_map(|result| result.as_ref().err());
    assert!(
        refused
            .into_iter()
            .all(|error| matches!(error, BodyError::NoMemory))
    );
    let small = |_| {
        let body = Body::from(vec![b'z'; 32 * 1_024]);
        read(&budget, BodyKind::Request, body)
    };
    let small = join_all((0..200).map(small)).await;
    assert!(small.iter().all(Result::is_ok));
    assert!(budget.held_bytes() < MEMORY_BYTES * 2 / 3);
    drop(small);
    assert_eq!(budget.held_bytes(), read_count * LARGE_BYTES);
    let copy = held[0].as_ref().expect("the first body fits").slice(..1);
    drop(held);
    assert_eq!(budget.held_bytes(), LARGE_BYTES);
    drop(copy);
    assert_eq!(budget.held_bytes(), 0);
}

#[tokio::test]
async fn bodies_without_a_length_are_refused_at_the_part_that_has_no_room() {
    let budget = MemoryBudget::of_process(MEMORY_BYTES);
    let bodies = (0..10).map(|_| read(&budget, BodyKind::Request, body_in_parts(30)));
    let results = join_all(bodies).await;
    let read_count = results.iter().filter(|result| result.is_ok()).count();
    assert!(
        (1..=2).contains(&read_count),
        "{read_count} bodies were read"
    );
    assert_eq!(budget.held_bytes(), read_count * 30 * PART_BYTES);
    drop(results);
    assert_eq!(budget.held_bytes(), 0);
}

// Guards against responses that are lost because requests which have not run fill the memory.
#[tokio::test]
async fn requests_leave_room_for_responses() {
    let budget = MemoryBudget::of_process(MEMORY_BYTES);
    let requests = (0..10).map(|_| read(&budget, BodyKind::Request, body_in_parts(10)));
    let requests = join_all(requests).await;
    assert!(requests.iter().any(Result::is_err));
    let response = read(&budget, BodyKind::Response, body_in_parts(10)).await;
    assert!(response.is_ok());
}

#[tokio::test]
async fn reader_that_gives_up_returns_what_it_counted() {
    let budget = MemoryBudget::of_process(MEMORY_BYTES);
    let stalled = futures::stream::once(async { Bytes::from(vec![b'z'; PART_BYTES]) })
        .chain(futures::stream::pending())
        .map(|data| Ok(Frame::data(data)));
    let body = Body::from_stream(stalled);
    let charge = budget.start(BodyKind::Request);
    let wait = Duration::from_millis(20);
    let result = read_budgeted_body(body, LIMIT_BYTES, wait, charge).await;
    assert!(matches!(result, Err(BodyError::TimedOut { .. })));
    assert_eq!(budget.held_bytes(), 0);
}

fn ping(exchange: u64) -> Head<'static> {
    let exchange = ExchangeId(exchange);
    Head::Ping { exchange }
}

// Guards against frames of other nodes that fill the memory, and against a connection that is lost
// with the frames behind one for which there is no room.
#[tokio::test]
async fn frame_without_room_loses_its_body_only() {
    let budget = MemoryBudget::of_process(MEMORY_BYTES);
    let filling = (0..10).map(|_| read(&budget, BodyKind::Request, body_in_parts(10)));
    let filled = join_all(filling).await;
    let large = vec![b'z'; LARGE_BYTES];
    let sent = [
        encode_frame(&ping(1), &large).expect("a valid frame"),
        encode_frame(&ping(2), b"short").expect("a valid frame"),
    ];
    let sent = sent.concat();
    let mut reader = FrameReader::new(&sent[..], budget.clone(), BodyKind::Request);
    let held_before = budget.held_bytes();
    let mut frames = Vec::new();
    while reader.read().await.expect("a slice is read") > 0 {
        while let Some(frame) = reader.next_frame().expect("valid frames") {
            frames.push(frame);
        }
        assert_eq!(budget.held_bytes(), held_before);
    }
    assert_eq!(frames.len(), 2);
    assert!(frames[0].is_body_dropped && frames[0].body.is_empty());
    assert!(matches!(frames[0].head(), Ok(Head::Ping { exchange }) if exchange == ExchangeId(1)));
    assert_eq!(frames[1].body, "short");
    drop(filled);
    let mut reader = FrameReader::new(&sent[..], budget.clone(), BodyKind::Request);
    let frame = loop {
        reader.read().await.expect("a slice is read");
        if let Some(frame) = reader.next_frame().expect("valid frames") {
            break frame;
        }
    };
    assert_eq!(frame.body, large);
    assert_eq!(budget.held_bytes(), LARGE_BYTES);
    drop(frame);
    assert_eq!(budget.held_bytes(), 0);
}

proptest! {
    #[test]
    fn shared_frame_equals_the_copied_one(bytes in 0usize..20_000) {
        let body = Bytes::from(vec![b'z'; bytes]);
        let copied = encode_frame(&ping(1), &body).expect("a valid frame");
        let shared = encode_shared(&ping(1), &body).expect("a valid frame");
        prop_assert_eq!(shared.total_bytes(), copied.len());
        prop_assert_eq!([shared.frame, shared.body].concat(), copied);
    }

    #[test]
    fn held_bytes_are_those_of_the_bodies(
        steps in prop::collection::vec((0usize..6, 0usize..20_000_000, any::<bool>()), 1..60),
    ) {
        let budget = MemoryBudget::of_process(MEMORY_BYTES);
        let mut charges = [const { None }; 6];
        let mut expected = [0; 6];
        for (index, more, is_response) in steps {
            let kind = match is_response {
                true => BodyKind::Response,
                false => BodyKind::Request,
            };
            let charge = charges[index].get_or_insert_with(|| budget.start(kind));
            match more % 5 {
                0 => {
                    charges[index] = None;
                    expected[index] = 0;
                }
                _ if charge.grow(more) => expected[index] += more,
                _ => {}
            }
            let counted = expected.iter().filter(|bytes| **bytes > MemoryBudget::UNCOUNTED_BYTES);
            prop_assert_eq!(budget.held_bytes(), counted.sum::<usize>());
            prop_assert!(budget.held_bytes() < MEMORY_BYTES * 2 / 3);
        }
        drop(charges);
        prop_assert_eq!(budget.held_bytes(), 0);
    }
}
