//! Probes that wait for a reply.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::ProbeSequence;
use super::timing::DIRECT_TIMEOUT;
use super::timing::PROBE_TIMEOUT;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Maximum number of probes that wait at the same time.
const PENDING_MAX: usize = 256;

/// Why a node is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePurpose {
    /// Direct probe to detect a failure. Without a reply, indirect probes follow.
    Liveness,
    /// The direct probe had no reply in time, and indirect probes have been requested.
    IndirectLiveness,
    /// To detect whether a lost node has recovered.
    Recovery,
    /// Indirect probe on behalf of another node, which receives the result.
    Relay {
        /// The address of the other node.
        requester: SocketAddr,
        /// The sequence of its request.
        sequence: ProbeSequence,
    },
}

/// A probe that waits for a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The node that was probed.
    pub target: NodeId,
    /// The purpose of the probe.
    pub purpose: ProbePurpose,
    /// When it was probed.
    pub started: MonotonicTime,
}

/// All probes that wait for a reply.
#[derive(Clone, Debug)]
pub struct PendingProbes {
    by_sequence: BTreeMap<ProbeSequence, Probe>,
    next: ProbeSequence,
}

impl PendingProbes {
    /// Creates an empty set whose first probe gets the sequence `first`, which should be random.
    pub fn new(first: ProbeSequence) -> Self {
        Self {
            by_sequence: BTreeMap::new(),
            next: first,
        }
    }

    /// Adds a probe and returns its sequence, or `None` if too many probes wait.
    pub fn start(&mut self, probe: Probe) -> Option<ProbeSequence> {
        if self.by_sequence.len() >= PENDING_MAX {
            return None;
        }
        let sequence = self.next;
        self.next = ProbeSequence(sequence.0.wrapping_add(1));
        self.by_sequence.insert(sequence, probe);
        Some(sequence)
    }

    /// Ends and returns the probe to which `sender`, its target, replied.
    pub fn finish_direct(&mut self, sequence: ProbeSequence, sender: &NodeId) -> Option<Probe> {
        match self.by_sequence.get(&sequence) {
            Some(probe) if probe.target == *sender => self.by_sequence.remove(&sequence),
            _ => None,
        }
    }

    /// Ends and returns the probe to which another node received the reply.
    pub fn finish_indirect(&mut self, sequence: ProbeSequence) -> Option<Probe> {
        match self.by_sequence.get(&sequence) {
            Some(probe) if probe.purpose == ProbePurpose::IndirectLiveness => {
                self.by_sequence.remove(&sequence)
            }
            _ => None,
        }
    }

    /// Returns the probes for which indirect probes are now due. Each is returned once.
    pub fn take_unacknowledged(&mut self, now: MonotonicTime) -> Vec<(ProbeSequence, NodeId)> {
        let mut unacknowledged = Vec::new();
        for (sequence, probe) in &mut self.by_sequence {
            let is_late = now.since(probe.started) >= DIRECT_TIMEOUT;
            if is_late && probe.purpose == ProbePurpose::Liveness {
                probe.purpose = ProbePurpose::IndirectLiveness;
                unacknowledged.push((*sequence, probe.target.clone()));
            }
        }
        unacknowledged
    }

    /// Removes and returns the probes without a direct or indirect reply within [`PROBE_TIMEOUT`].
    pub fn take_failed(&mut self, now: MonotonicTime) -> Vec<Probe> {
        let is_late = |probe: &Probe| now.since(probe.started) >= PROBE_TIMEOUT;
        self.by_sequence
            .extract_if(.., |_, probe| is_late(probe))
            .map(|(_, probe)| probe)
            .collect()
    }

    /// Discards all probes without suspecting their targets.
    pub fn clear(&mut self) {
        self.by_sequence.clear();
    }
}
