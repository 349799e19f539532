//! Events of configuration: numbers 3000 to 3999.

use log::Level;

use super::Event;
use super::events;

events! {
    IN_FORCE = 3000, Info, "version.in-force", "A newer configuration is in force on this node.";
    STORE_BEHIND = 3002, Error, "version.store-behind", "The platform's service stores an older configuration than the one in force on this node; it lost an accepted change, and an operator must intervene.";
    STORED_UNREADABLE = 3003, Error, "version.stored-unreadable", "The value in the platform's service cannot be decoded as a configuration; the node keeps the configuration it has.";
    STALE_IGNORED = 3001, Debug, "version.stale-ignored", "An older configuration was received and ignored.";
}
