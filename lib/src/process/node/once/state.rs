//! State of a node for at-most-once requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::connection::BufferedResponse;
use crate::process::once::HeldTerms;
use crate::process::once::KeyDigest;
use crate::process::once::OnceLimits;
use crate::process::once::OnceRecords;
use crate::process::once::ProcessSession;
use crate::process::once::RecordId;
use crate::process::once::Registrar;
use crate::process::once::SlotId;
use crate::process::platform::Revision;
use crate::request::Refusal;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Outcome of a run under a record, shared by all requests that wait for it.
pub(super) type SharedOutcome = Arc<Result<BufferedResponse, Refusal>>;

/// Receives the outcome of a run once it is known.
pub(super) type OutcomeReceiver = watch::Receiver<Option<SharedOutcome>>;

/// Sends the outcome of a run to all requests that wait for it.
pub(super) type OutcomeSender = watch::Sender<Option<SharedOutcome>>;

/// State of a node for at-most-once requests.
///
/// Lock order: `role`, then `home`. Neither lock is held during a call to another process.
#[derive(Debug)]
pub(in crate::process::node) struct OnceState {
    pub(super) home: Mutex<HomeNode>,
    pub(super) role: Mutex<RegistrarRole>,
}

/// State of the node as the home node of keys.
#[derive(Debug)]
pub(super) struct HomeNode {
    /// The terms that the node holds.
    pub(super) terms: HeldTerms,
    /// The records of its keys.
    pub(super) records: OnceRecords,
    /// The runs on this node that have not ended.
    pub(super) running: HashMap<RecordId, OutcomeReceiver>,
    /// Control addresses to which records were handed over while their attempts ran here.
    pub(super) handover_addresses: HashMap<KeyDigest, SocketAddr>,
    /// Nodes that were a better home than this one for its slots at the last check.
    pub(super) better_homes: HashMap<SlotId, NodeId>,
}

/// What the node knows about the registrar of its zone.
#[derive(Debug, Default)]
pub(super) struct RegistrarRole {
    /// The registrar, if known.
    pub(super) known_registrar: Option<NodeId>,
    /// This node's state as the registrar; `None` while it is not the registrar.
    pub(super) own: Option<OwnRegistrar>,
    /// When the terms of this node were last renewed.
    pub(super) renewed_at: MonotonicTime,
}

/// This node's state as the registrar.
#[derive(Debug)]
pub(super) struct OwnRegistrar {
    /// Decides on terms.
    pub(super) registrar: Registrar,
    /// The revision of its record in the platform's service.
    pub(super) revision: Option<Revision>,
    /// When this node took over the role.
    pub(super) taken_over_at: MonotonicTime,
}

impl OnceState {
    /// Creates the state without terms, with a new random session.
    pub(in crate::process::node) fn new() -> Self {
        Self {
            home: Mutex::new(HomeNode {
                terms: HeldTerms::new(ProcessSession(rand::random())),
                records: OnceRecords::new(OnceLimits::default()),
                running: HashMap::new(),
                handover_addresses: HashMap::new(),
                better_homes: HashMap::new(),
            }),
            role: Mutex::default(),
        }
    }

    pub(in crate::process::node) fn record_count(&self) -> usize {
        self.home.lock().records.len()
    }

    /// Returns the slots of which the node holds terms.
    pub(in crate::process::node) fn held_slots(&self) -> Vec<SlotId> {
        self.home.lock().terms.slots().cloned().collect()
    }
}
