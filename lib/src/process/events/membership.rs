//! Events of membership: numbers 4000 to 4999.

use log::Level;

use super::Event;
use super::events;

events! {
    NODE_JOINED = 4000, Info, "membership.node-joined", "A node became known.";
    NODE_SUSPECTED = 4001, Info, "membership.node-suspected", "A node did not reply to a probe, nor to indirect probes by other nodes.";
    NODE_DEAD = 4002, Warn, "membership.node-dead", "A node did not refute a suspicion in time while its zone was reachable, or stopped after it had announced its departure.";
    NODE_LEAVING = 4003, Info, "membership.node-leaving", "A node is stopping and accepts no new work.";
    RUMOUR_REFUTED = 4004, Warn, "membership.rumour-refuted", "This node received a record that reports it as lost, or a record of its own earlier incarnation, and raised its incarnation.";
    PROCESS_PAUSED = 4005, Warn, "membership.process-paused", "This process did not run for a while; it refutes suspicions before it suspects other nodes.";
    SOCKET_FAILED = 4006, Warn, "membership.socket-failed", "A membership datagram could not be sent or received.";
}
