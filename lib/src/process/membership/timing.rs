//! How often membership acts, and how long it waits.

use std::time::Duration;

/// Time between two calls of the state machine's clock.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two probes that a node starts.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Wait for an answer before other nodes are asked to probe.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Wait for any answer before the node becomes suspect.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a suspected node has to refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Age of the last datagram up to which a zone counts as reachable.
pub const CONTACT_MAX_AGE: Duration = Duration::from_secs(3);

/// Time between two probes of nodes that do not answer.
pub const LOST_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the nodes of a silent zone stay suspect instead of dead.
pub const UNREACHABLE_RETENTION: Duration = Duration::from_secs(60 * 60);

/// Time for which the record of a dead node stands against old rumours.
///
/// It is longer than [`UNREACHABLE_RETENTION`], so that no node that was cut off still holds an
/// older record when this one is forgotten.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);

/// Time between two searches for records to forget.
pub const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two ticks from which the process is taken to have been paused.
pub const PAUSE_GAP: Duration = Duration::from_secs(2);

/// Least time between two table comparisons that a node starts.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two tries to reach a seed address at which no known node listens.
pub const SEED_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two tries to reach seeds while no other node is known.
pub const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Wait between learning the fleet's table and announcing the own record to all.
pub const JOIN_ANNOUNCE_DELAY: Duration = Duration::from_secs(1);

/// Least time between two announcements to all that only refute a rumour.
pub const REFUTATION_INTERVAL: Duration = Duration::from_secs(10);
