//! Services whose servers all fail often, as seen by a node that sends requests to them.

use std::collections::HashMap;
use std::time::Duration;

use crate::values::MonotonicTime;
use crate::values::NodeId;

/// The nodes that recently refused a request because their server fails often.
///
/// Such a refusal sends the request to another server. If most servers of a service fail alike, no
/// other server is better, and the request goes to the first one.
#[derive(Clone, Debug, Default)]
pub struct FailingServers {
    refused_at: HashMap<NodeId, MonotonicTime>,
}

impl FailingServers {
    /// Time after its last failure for which a server counts as failing.
    const HOLD: Duration = Duration::from_secs(1);

    /// Records that a node refused a request because its server fails often.
    pub fn record_refusal(&mut self, node: &NodeId, now: MonotonicTime) {
        self.refused_at
            .retain(|_, refused_at| now.since(*refused_at) < Self::HOLD);
        self.refused_at.insert(node.clone(), now);
    }

    /// Records a failure of a server. It does not make it a failing one, but keeps it one.
    pub fn record_failure(&mut self, node: &NodeId, now: MonotonicTime) {
        match self.refused_at.get_mut(node) {
            Some(refused_at) if now.since(*refused_at) < Self::HOLD => *refused_at = now,
            Some(_) | None => {}
        }
    }

    /// Returns whether more than half of the nodes of a service have failing servers.
    pub fn are_most<'a>(
        &self,
        serving: impl Iterator<Item = &'a NodeId>,
        now: MonotonicTime,
    ) -> bool {
        if self.refused_at.is_empty() {
            return false;
        }
        let is_failing = |node: &NodeId| {
            let refused_at = self.refused_at.get(node);
            refused_at.is_some_and(|refused_at| now.since(*refused_at) < Self::HOLD)
        };
        let (mut failing, mut all) = (0, 0);
        for node in serving {
            all += 1;
            failing += usize::from(is_failing(node));
        }
        2 * failing > all
    }
}
