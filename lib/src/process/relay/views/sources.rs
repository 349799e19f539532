//! Chooses the nodes from which a node learns of changes in the store.

use crate::process::membership::MemberTable;
use crate::process::membership::NodeRecord;
use crate::values::NodeId;
use crate::values::ZoneId;

/// Where a node learns of changes in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct SourcePlan {
    /// Number of nodes of the zone before this one, in the order of their ids. The first node of a
    /// zone watches the store for the others.
    pub rank: usize,
    /// The nodes to ask, the preferred one first.
    pub sources: Vec<NodeRecord>,
}

/// Number of nodes of the own zone that are asked before those of other zones: the first, and the
/// one that takes its place.
const OWN_ZONE_SOURCES: usize = 2;
/// Number of nodes of other zones that are asked.
const OTHER_ZONE_SOURCES: usize = 2;

/// Plans where a node learns of changes: from the first nodes of its zone, then from the first nodes
/// of other zones, starting with the `turn`th, and from the `turn`th node of its zone, because the
/// others may all have ended with a zone or a fleet that starts again.
pub fn plan_sources(
    members: &MemberTable,
    node: &NodeId,
    zone: &ZoneId,
    turn: usize,
) -> SourcePlan {
    let alive = || members.nodes().filter(|record| record.accepts_work());
    let before = || alive().filter(|record| record.zone == *zone && record.id < *node);
    let rank = before().count();
    let mut sources: Vec<NodeRecord> = before().take(OWN_ZONE_SOURCES).cloned().collect();
    let mut firsts: Vec<&NodeRecord> = Vec::new();
    for record in alive().filter(|record| record.zone != *zone) {
        if !firsts.iter().any(|first| first.zone == record.zone) {
            firsts.push(record);
        }
    }
    let others = firsts.iter().cycle().skip(turn % firsts.len().max(1));
    let others = others.take(OTHER_ZONE_SOURCES.min(firsts.len()));
    sources.extend(others.map(|record| (*record).clone()));
    let zone_nodes = alive().filter(|record| record.zone == *zone && record.id != *node);
    let zone_nodes: Vec<&NodeRecord> = zone_nodes.collect();
    let any = zone_nodes.get(turn % zone_nodes.len().max(1));
    if let Some(record) = any.filter(|any| !sources.iter().any(|known| known.id == any.id)) {
        sources.push((*record).clone());
    }
    SourcePlan { rank, sources }
}
