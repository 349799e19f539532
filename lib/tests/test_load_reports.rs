//! Reports of load between nodes: what is kept, passed on and sent.

use std::time::Duration;

use balsamfold::process::load::LoadReport;
use balsamfold::process::load::LoadTable;
use balsamfold::process::load::NodeKey;
use balsamfold::process::load::NodeLoad;
use balsamfold::process::load::ServiceLoads;
use balsamfold::process::relay::ExchangeId;
use balsamfold::process::relay::Frame;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::encode_frame;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use bytes::BytesMut;
use testutils::relay::unconfirmed;

fn id(name: &str) -> NodeId {
    name.parse().expect("valid name")
}

fn report(node: &NodeId, in_flight: u32, age_ms: u32) -> LoadReport {
    LoadReport {
        node: NodeKey::from(node),
        age_ms,
        slots: 86,
        in_flight,
        waiting: 0,
        held_us: 85_000,
        failed_percent: 0,
        takes_per_s: None,
        floor: None,
    }
}

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn table(ids: &[NodeId]) -> LoadTable {
    let mut table = LoadTable::default();
    table.set_nodes(&id("own"), ids);
    table
}

#[test]
fn newest_report_is_kept_until_it_is_too_old() {
    let ids = [id("a"), id("own")];
    let mut table = table(&ids);
    let a = NodeKey::from(&ids[0]);
    table.merge(vec![report(&ids[0], 5, 100)], at_ms(1_000));
    table.merge(vec![report(&ids[0], 9, 300)], at_ms(1_100));
    let known = table.of(a, at_ms(1_100)).expect("a report");
    assert_eq!(known.report().in_flight, 5);
    assert_eq!(known.age(at_ms(1_100)), Duration::from_millis(200));
    table.record_sent(a);
    let load = table
        .of(a, at_ms(1_100))
        .expect("a report")
        .load(at_ms(1_100));
    assert_eq!(load.busy, 6);
    assert!(table.of(a, at_ms(900).after(LoadTable::AGE_MAX)).is_none());
}

#[test]
fn nothing_is_kept_of_unknown_nodes_own_node_and_shared_keys() {
    // These two names have the same hash.
    let ids = [id("own"), id("liquid"), id("costarring"), id("b")];
    assert_eq!(NodeKey::from(&ids[1]), NodeKey::from(&ids[2]));
    let mut table = table(&ids);
    let reports = ids.iter().map(|id| report(id, 1, 0));
    let strange = report(&id("stranger"), 1, 0);
    table.merge(reports.chain([strange]).collect(), at_ms(1));
    let known: Vec<_> = table
        .known(at_ms(1))
        .map(|known| known.report().node)
        .collect();
    assert_eq!(known, [NodeKey::from(&ids[3])]);
    table.set_nodes(&ids[0], &ids[..3]);
    assert_eq!(table.known(at_ms(1)).count(), 0);
}

#[test]
fn all_reports_are_passed_on_in_turn_with_their_ages() {
    let ids: Vec<_> = (0..40).map(|index| id(&format!("node-{index}"))).collect();
    let mut table = table(&ids);
    for (index, node) in ids.iter().enumerate() {
        table.merge(vec![report(node, 1, index as u32)], at_ms(1_000));
    }
    let mut seen = std::collections::HashSet::new();
    for _ in 0..40 {
        let own = report(&id("own"), 3, 0);
        let selected = table.select(Some(own.clone()), 4, at_ms(1_200));
        assert_eq!(selected.len(), 4);
        assert_eq!(selected[0], own);
        for passed in &selected[1..] {
            let index = ids.iter().position(|id| NodeKey::from(id) == passed.node);
            assert_eq!(passed.age_ms, 200 + index.expect("a known node") as u32);
        }
        seen.extend(selected[1..].iter().map(|passed| passed.node));
    }
    assert_eq!(seen.len(), 40);
}

fn load(busy: u32, takes_per_s: Option<u32>) -> NodeLoad {
    NodeLoad {
        takes_per_s,
        ..report(&id("a"), busy, 0).load(Duration::ZERO)
    }
}

// A cold or throttled server gets what it takes of what others finish, here 10 of 4 / 0.085.
#[test]
fn server_that_named_a_rate_is_drawn_by_it() {
    let mut loads = vec![load(4, None); 8];
    loads.push(load(0, Some(10)));
    let service = ServiceLoads::new(&loads);
    let ratio = service.weight(Some(&loads[8]), 86) / service.weight(Some(&loads[0]), 86);
    assert!((0.2..0.23).contains(&ratio), "{ratio}");
}

// A wave that reaches all servers alike must not pass requests around.
#[test]
fn only_a_server_that_is_busier_than_others_turns_requests_away() {
    let is_busier = |own: u32, others: u32| {
        let loads = [load(own, None), load(others, None), load(others, None)];
        ServiceLoads::new(&loads).is_busier(&loads[0])
    };
    assert!(!is_busier(80, 80));
    assert!(!is_busier(2, 0));
    assert!(is_busier(80, 20));
    assert!(is_busier(8, 2));
}

fn pong(loads: Vec<LoadReport>) -> Vec<u8> {
    let head = Head::Pong {
        exchange: ExchangeId(1),
        confirmation: unconfirmed(),
        loads,
    };
    encode_frame(&head, &[]).expect("a short frame").to_vec()
}

#[test]
fn report_takes_few_bytes_and_a_message_without_reports_is_understood() {
    let reports: Vec<_> = (0..4)
        .map(|index| report(&id(&format!("node-{index}")), 80, 900))
        .collect();
    let bytes = pong(reports).len() - pong(Vec::new()).len();
    assert!(bytes <= 4 * 16, "{bytes} bytes");
    // A node of an earlier version ends the head before the reports.
    let mut earlier = pong(Vec::new());
    earlier.pop();
    earlier[3] -= 1;
    earlier[7] -= 1;
    let frame = Frame::split_from(&mut BytesMut::from(&earlier[..]));
    let frame = frame.expect("a valid frame").expect("a whole frame");
    assert!(matches!(
        frame.head(),
        Ok(Head::Pong { loads, .. }) if loads.is_empty()
    ));
}
