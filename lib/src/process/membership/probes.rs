//! Probes that wait for an answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::ProbeSequence;
use super::timing::DIRECT_TIMEOUT;
use super::timing::PROBE_TIMEOUT;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Most probes that wait at the same time.
const PENDING_MAX: usize = 256;

/// Why a node is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePurpose {
    /// To find out whether it still answers; other nodes are asked if it does not.
    Liveness,
    /// To find out whether other nodes have been asked in vain.
    IndirectLiveness,
    /// To find out whether a lost node is back.
    Recovery,
    /// For another node, which gets the answer.
    Relay {
        /// The address of the other node.
        requester: SocketAddr,
        /// The sequence of its request.
        sequence: ProbeSequence,
    },
}

/// A probe that waits for an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The node that was probed.
    pub target: NodeId,
    /// Why it was probed.
    pub purpose: ProbePurpose,
    /// When it was probed.
    pub started: MonotonicTime,
}

/// All probes that wait for an answer.
#[derive(Clone, Debug)]
pub struct PendingProbes {
    by_sequence: BTreeMap<ProbeSequence, Probe>,
    next: ProbeSequence,
}

impl PendingProbes {
    /// Starts with the given sequence, which should be random.
    pub fn new(first: ProbeSequence) -> Self {
        Self {
            by_sequence: BTreeMap::new(),
            next: first,
        }
    }

    /// Adds a probe and returns its sequence, or none if too many wait.
    pub fn start(&mut self, probe: Probe) -> Option<ProbeSequence> {
        if self.by_sequence.len() >= PENDING_MAX {
            return None;
        }
        let sequence = self.next;
        self.next = ProbeSequence(sequence.0.wrapping_add(1));
        self.by_sequence.insert(sequence, probe);
        Some(sequence)
    }

    /// Ends the probe that `sender` itself answered.
    pub fn finish_direct(&mut self, sequence: ProbeSequence, sender: &NodeId) -> Option<Probe> {
        match self.by_sequence.get(&sequence) {
            Some(probe) if probe.target == *sender => self.by_sequence.remove(&sequence),
            _ => None,
        }
    }

    /// Ends the probe to which another node got the answer.
    pub fn finish_indirect(&mut self, sequence: ProbeSequence) -> Option<Probe> {
        match self.by_sequence.get(&sequence) {
            Some(probe) if probe.purpose == ProbePurpose::IndirectLiveness => {
                self.by_sequence.remove(&sequence)
            }
            _ => None,
        }
    }

    /// Returns the probes for which other nodes have to be asked now. Each is returned once.
    pub fn take_unanswered(&mut self, now: MonotonicTime) -> Vec<(ProbeSequence, NodeId)> {
        let mut unanswered = Vec::new();
        for (sequence, probe) in &mut self.by_sequence {
            let is_late = now.since(probe.started) >= DIRECT_TIMEOUT;
            if is_late && probe.purpose == ProbePurpose::Liveness {
                probe.purpose = ProbePurpose::IndirectLiveness;
                unanswered.push((*sequence, probe.target.clone()));
            }
        }
        unanswered
    }

    /// Removes and returns the probes that nobody answered in time.
    pub fn take_failed(&mut self, now: MonotonicTime) -> Vec<Probe> {
        let is_late = |probe: &Probe| now.since(probe.started) >= PROBE_TIMEOUT;
        self.by_sequence
            .extract_if(.., |_, probe| is_late(probe))
            .map(|(_, probe)| probe)
            .collect()
    }

    /// Gives up all probes without any consequence.
    pub fn clear(&mut self) {
        self.by_sequence.clear();
    }
}
