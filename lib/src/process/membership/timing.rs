//! Intervals and timeouts of membership.

use std::time::Duration;

/// Time between two ticks of the state machine.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two probes that a node starts.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a reply after which indirect probes are requested.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a direct or indirect reply after which the node becomes suspect.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which a suspected node must refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum age of the last datagram from a zone that counts as reachable.
pub const CONTACT_MAX_AGE: Duration = Duration::from_secs(3);

/// Time between two probes of unresponsive nodes.
pub const LOST_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the nodes of an unreachable zone stay suspect before they become dead.
pub const UNREACHABLE_RETENTION: Duration = Duration::from_secs(60 * 60);

/// Time for which the record of a dead node is kept as a tombstone, which supersedes older records.
///
/// It is longer than [`UNREACHABLE_RETENTION`], so that no node that was cut off still holds an
/// older record when the tombstone is removed.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);

/// Time between two searches for expired tombstones.
pub const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum time between two ticks after which the process counts as having been paused.
pub const PAUSE_GAP: Duration = Duration::from_secs(2);

/// Minimum time between two anti-entropy syncs that a node starts.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two attempts to reach a seed address at which no known node listens.
pub const SEED_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two attempts to reach seeds while no other node is known.
pub const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between learning the fleet's records, which starts with the first other node, and
/// announcing this node's record to all nodes.
pub const JOIN_ANNOUNCE_DELAY: Duration = Duration::from_secs(1);

/// Minimum time from any announcement to one that only refutes a wrong record about this node.
pub const REFUTATION_INTERVAL: Duration = Duration::from_secs(10);
