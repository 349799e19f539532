//! Admission floors that nodes learn from the nodes downstream.

use balsamfold::process::gate::Admission;
use balsamfold::process::gate::AdmissionFloor;
use balsamfold::process::gate::DownstreamFloors;
use balsamfold::process::gate::FloorNotice;
use balsamfold::process::relay::LoadNotice;
use balsamfold::request::RefusalReason;
use balsamfold::values::Importance;
use balsamfold::values::MonotonicTime;
use balsamfold::values::RequestId;

const ROUTE: &str = "shop";

fn overloaded() -> LoadNotice {
    LoadNotice {
        floor: Some(FloorNotice::new(
            AdmissionFloor::keeping(Importance(2), 0.5),
            0,
        )),
        call_failed: false,
    }
}

/// Applies the load notice of each node's reply, and decides on a request of low importance.
fn decide(replies: &[(&str, LoadNotice, Option<RefusalReason>)]) -> Admission {
    let mut floors = DownstreamFloors::default();
    let service = "stock".parse().unwrap();
    let now = MonotonicTime(1_000_000);
    for (node, load, refused) in replies {
        if let Some(notice) = load.observed_floor(*refused) {
            floors.learn(ROUTE, &service, &node.parse().unwrap(), notice, now);
        }
    }
    floors.check(ROUTE, Importance(1), None, RequestId(7), now)
}

#[test]
fn nodes_without_a_server_do_not_clear_floors_of_other_nodes() {
    let reasons = [
        RefusalReason::NoServer,
        RefusalReason::Draining,
        RefusalReason::ServerFailing,
        RefusalReason::DeadlineExceeded,
    ];
    for reason in reasons {
        let decision = decide(&[
            ("n1", overloaded(), Some(RefusalReason::Overloaded)),
            ("n2", LoadNotice::default(), Some(reason)),
            ("n3", LoadNotice::default(), Some(reason)),
        ]);
        assert!(matches!(decision, Admission::Refuse { .. }), "{reason}");
    }
}

#[test]
fn requests_are_admitted_if_one_of_two_nodes_is_overloaded() {
    let decision = decide(&[
        ("n1", overloaded(), Some(RefusalReason::Overloaded)),
        ("n2", LoadNotice::default(), None),
    ]);
    assert_eq!(decision, Admission::Admit);
}
