//! Events of the platform's service: numbers 7000 to 7999.

use log::Level;

use super::Event;
use super::events;

events! {
    UNREACHABLE = 7000, Warn, "platform.unreachable", "The platform's service does not reply; the node continues with the state it has.";
    REACHABLE = 7001, Info, "platform.reachable", "The platform's service replies again.";
}
