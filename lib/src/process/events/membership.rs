//! Events of membership: numbers 4000 to 4999.

use log::Level;

use super::Event;
use super::events;

events! {
    NODE_JOINED = 4000, Info, "membership.node-joined", "A node became known.";
}
