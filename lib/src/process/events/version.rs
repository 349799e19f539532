//! Events of configuration: numbers 3000 to 3999.

use log::Level;

use super::Event;
use super::events;

events! {
    IN_FORCE = 3000, Info, "version.in-force", "A newer configuration is in force on this node.";
    STALE_IGNORED = 3001, Debug, "version.stale-ignored", "An older configuration arrived and was ignored.";
}
