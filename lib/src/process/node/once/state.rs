//! What a node keeps for requests that run at most once.

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

/// How a run under a record ended, for all that wait for it.
pub(super) type SharedOutcome = Arc<Result<BufferedResponse, Refusal>>;

/// The end of a run, once it is known.
pub(super) type OutcomeReceiver = watch::Receiver<Option<SharedOutcome>>;

/// Tells the end of a run to all that wait for it.
pub(super) type OutcomeSender = watch::Sender<Option<SharedOutcome>>;

/// What a node keeps for requests that run at most once.
///
/// Lock order: the registrar's role, the home. Neither is held over a call to another process.
#[derive(Debug)]
pub(in crate::process::node) struct OnceState {
    pub(super) home: Mutex<HomeNode>,
    pub(super) role: Mutex<RegistrarRole>,
}

/// The node as a home of keys.
#[derive(Debug)]
pub(super) struct HomeNode {
    /// The terms that the node holds.
    pub(super) terms: HeldTerms,
    /// The records of its keys.
    pub(super) records: OnceRecords,
    /// The runs on this node that have not ended.
    pub(super) running: HashMap<RecordId, OutcomeReceiver>,
    /// Control addresses to which records went while their attempts ran here.
    pub(super) handover_addresses: HashMap<KeyDigest, SocketAddr>,
    /// Better homes that were seen for slots of this node at the last look.
    pub(super) better_homes: HashMap<SlotId, NodeId>,
}

/// What the node knows of the registrar of its zone.
#[derive(Debug, Default)]
pub(super) struct RegistrarRole {
    /// The registrar, as far as is known.
    pub(super) known_registrar: Option<NodeId>,
    /// This node's own role as the registrar.
    pub(super) own: Option<OwnRegistrar>,
    /// When the terms of this node were last renewed.
    pub(super) renewed_at: MonotonicTime,
}

/// This node's own role as the registrar.
#[derive(Debug)]
pub(super) struct OwnRegistrar {
    /// The decisions.
    pub(super) registrar: Registrar,
    /// The revision of its record in the platform.
    pub(super) revision: Option<Revision>,
    /// When it took over.
    pub(super) taken_over_at: MonotonicTime,
}

impl OnceState {
    /// Starts without terms, under a new random session.
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

    /// Returns the number of records.
    pub(in crate::process::node) fn record_count(&self) -> usize {
        self.home.lock().records.len()
    }

    /// Returns the slots of which the node holds terms.
    pub(in crate::process::node) fn held_slots(&self) -> Vec<SlotId> {
        self.home.lock().terms.slots().cloned().collect()
    }
}
