//! An immutable view of all known nodes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::NodeRecord;
use crate::values::NodeId;
use crate::values::ServiceId;

/// An immutable view of all known nodes. Requests share it until the next change.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    nodes: BTreeMap<NodeId, NodeRecord>,
    serving: HashMap<ServiceId, Vec<NodeRecord>>,
}

impl MemberTable {
    /// Creates a view of `records`. Nodes that leave accept no new work.
    pub fn new(records: impl IntoIterator<Item = NodeRecord>) -> Self {
        Self::with_serving(records, NodeRecord::accepts_work)
    }

    /// Creates a view of `records` in which the nodes with a server for which `accepts_work` holds
    /// accept new work for it.
    pub fn with_serving(
        records: impl IntoIterator<Item = NodeRecord>,
        accepts_work: impl Fn(&NodeRecord) -> bool,
    ) -> Self {
        let nodes: BTreeMap<_, _> = records
            .into_iter()
            .map(|record| (record.id.clone(), record))
            .collect();
        let mut serving: HashMap<ServiceId, Vec<NodeRecord>> = HashMap::new();
        for record in nodes.values().filter(|record| accepts_work(record)) {
            if let Some(server) = &record.server {
                let records = serving.entry(server.service.clone()).or_default();
                records.push(record.clone());
            }
        }
        Self { nodes, serving }
    }

    /// Returns the nodes that accept new work for `service`, in the order of their ids.
    pub fn serving(&self, service: &ServiceId) -> &[NodeRecord] {
        self.serving.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the record of one node.
    pub fn node(&self, id: &NodeId) -> Option<&NodeRecord> {
        self.nodes.get(id)
    }

    /// Returns all known nodes in the order of their ids.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.nodes.values()
    }
}
