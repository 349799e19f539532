//! What nodes learn of the admission floors below them.

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

/// Learns what each node answered, and decides on a request of low importance.
fn decide(answers: &[(&str, LoadNotice, Option<RefusalReason>)]) -> Admission {
    let mut floors = DownstreamFloors::default();
    let service = "stock".parse().unwrap();
    let now = MonotonicTime(1_000_000);
    for (node, load, refused) in answers {
        if let Some(notice) = load.heard_floor(*refused) {
            floors.learn(ROUTE, &service, &node.parse().unwrap(), notice, now);
        }
    }
    floors.check(ROUTE, Importance(1), None, RequestId(7), now)
}

#[test]
fn nodes_without_a_server_do_not_open_the_gates_of_the_others() {
    let gone = [
        RefusalReason::NoServer,
        RefusalReason::Draining,
        RefusalReason::ServerFailing,
        RefusalReason::DeadlineExceeded,
    ];
    for reason in gone {
        let decision = decide(&[
            ("n1", overloaded(), Some(RefusalReason::Overloaded)),
            ("n2", LoadNotice::default(), Some(reason)),
            ("n3", LoadNotice::default(), Some(reason)),
        ]);
        assert!(matches!(decision, Admission::Refuse { .. }), "{reason}");
    }
}

#[test]
fn a_single_overloaded_node_is_left_to_routing() {
    let decision = decide(&[
        ("n1", overloaded(), Some(RefusalReason::Overloaded)),
        ("n2", LoadNotice::default(), None),
    ]);
    assert_eq!(decision, Admission::Admit);
}
