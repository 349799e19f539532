//! Events of membership: numbers 4000 to 4999.

use log::Level;

use super::Event;
use super::events;

events! {
    NODE_JOINED = 4000, Info, "membership.node-joined", "A node became known.";
    NODE_SUSPECTED = 4001, Info, "membership.node-suspected", "A node did not answer, nor to others that were asked to probe it.";
    NODE_DEAD = 4002, Warn, "membership.node-dead", "A node did not refute in time while its zone was reachable, or stopped after it had left.";
    NODE_LEAVING = 4003, Info, "membership.node-leaving", "A node stops and takes no new work.";
    RUMOUR_REFUTED = 4004, Warn, "membership.rumour-refuted", "This node heard that it was lost, or of an earlier life of its own, and raised its incarnation.";
    PROCESS_PAUSED = 4005, Warn, "membership.process-paused", "This process did not run for a while; it refutes suspicions before it accuses others.";
    SOCKET_FAILED = 4006, Warn, "membership.socket-failed", "A membership datagram could not be sent or received.";
}
