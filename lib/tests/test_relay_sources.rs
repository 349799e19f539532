//! Which nodes a node asks for changes of the store.

use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::relay::SourcePlan;
use balsamfold::process::relay::plan_sources;
use testutils::relay::sample_node_record;

fn fleet() -> Vec<NodeRecord> {
    let names = ["a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "c-1", "c-2"];
    let alive = |name: &&str| sample_node_record(name, &name[..1], NodeCondition::Alive);
    names.iter().map(alive).collect()
}

fn plan(records: &[NodeRecord], name: &str, turn: usize) -> SourcePlan {
    let members = MemberTable::new(records.iter().cloned());
    let (node, zone) = (name.parse(), name[..1].parse());
    plan_sources(
        &members,
        &node.expect("valid name"),
        &zone.expect("valid name"),
        turn,
    )
}

fn names(plan: &SourcePlan) -> Vec<&str> {
    let sources = plan.sources.iter();
    sources.map(|record| record.id.as_str()).collect()
}

#[test]
fn one_node_of_each_zone_is_first() {
    let fleet = fleet();
    let firsts = fleet.iter().filter(|record| {
        let plan = plan(&fleet, record.id.as_str(), 0);
        plan.rank == 0
    });
    let firsts: Vec<_> = firsts.map(|record| record.id.as_str()).collect();
    assert_eq!(firsts, ["a-1", "b-1", "c-1"]);
}

#[test]
fn node_asks_the_first_of_its_zone_before_those_of_others() {
    let fleet = fleet();
    assert_eq!(names(&plan(&fleet, "a-4", 0)), ["a-1", "a-2", "b-1", "c-1"]);
    assert_eq!(names(&plan(&fleet, "a-2", 1))[..3], ["a-1", "c-1", "b-1"]);
    assert_eq!(names(&plan(&fleet, "a-1", 0))[..2], ["b-1", "c-1"]);
}

// Guards against a fleet that starts again and waits for the first nodes of its zones, which are still down.
#[test]
fn every_node_of_the_zone_is_asked_in_turn() {
    let fleet = fleet();
    let asked = (0..3).map(|turn| plan(&fleet, "a-1", turn));
    let asked = asked.map(|plan| names(&plan)[2].to_owned());
    assert_eq!(asked.collect::<Vec<_>>(), ["a-2", "a-3", "a-4"]);
}

#[test]
fn leaving_node_is_not_asked() {
    let mut fleet = fleet();
    fleet[0].condition = NodeCondition::Leaving;
    let plan = plan(&fleet, "a-3", 0);
    assert_eq!((plan.rank, names(&plan)[0]), (1, "a-2"));
}
