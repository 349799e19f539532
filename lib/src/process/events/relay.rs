//! Events of the relay: numbers 8000 to 8999.

use log::Level;

use super::Event;
use super::events;

events! {
    STARTED = 8000, Info, "relay.started", "The relay listens and begins to look for the fleet.";
    STOPPING = 8001, Info, "relay.stopping", "A planned stop began; requests in flight are finished.";
    STOPPED = 8002, Info, "relay.stopped", "The relay stopped as planned.";
    SETTINGS_RELOADED = 8003, Info, "relay.settings-reloaded", "The settings were read again; what cannot change while running is named.";
    SETTINGS_REFUSED = 8004, Warn, "relay.settings-refused", "Changed settings have faults and are not used; correct them.";
    LINK_LOST = 8010, Info, "relay.link-lost", "A connection to another node ended; its open exchanges have no reply.";
    LINK_NOT_OPENED = 8011, Info, "relay.link-not-opened", "Another node could not be reached; look for a cut or a stopped node.";
    STORE_LOST = 8020, Warn, "relay.store-lost", "The store does not answer; keys are refused once the configuration cannot be confirmed.";
    STORE_BACK = 8021, Info, "relay.store-back", "The store answers again.";
    STORED_UNREADABLE = 8022, Warn, "relay.stored-unreadable", "An item of the store cannot be read and is left aside.";
    CONFIGURATION_IN_FORCE = 8030, Info, "relay.configuration-in-force", "A newer configuration is in force.";
    CONFIGURATION_REFUSED = 8031, Warn, "relay.configuration-refused", "A stored configuration cannot be read; the one before stays in force.";
    UNCONFIRMED = 8032, Warn, "relay.unconfirmed", "The configuration in force cannot be confirmed in time; requests with keys are refused.";
    CONFIRMED = 8033, Info, "relay.confirmed", "The configuration in force is confirmed again.";
    ENTRY_WRITTEN = 8040, Info, "relay.entry-written", "The node's own entry was written to the store.";
    ENTRY_LAPSED = 8041, Warn, "relay.entry-lapsed", "The lease of the node's own entry ended; the entry is written again.";
    FLEET_CHANGED = 8042, Info, "relay.fleet-changed", "The nodes that are known have changed.";
    SERVER_REPORTED = 8050, Info, "relay.server-reported", "The backend server reported a new life or state.";
    SERVER_REPORT_REFUSED = 8051, Warn, "relay.server-report-refused", "A report about a backend server is unreadable, outdated or for another address.";
    SERVER_LOST = 8052, Warn, "relay.server-lost", "The backend server does not take connections; it gets no requests until it reports again.";
    REQUEST_ANSWERED = 8100, Debug, "relay.request-answered", "A request was answered by a backend server.";
    REQUEST_REFUSED = 8101, Info, "relay.request-refused", "A request was refused, with the reason and what decided it.";
    ATTEMPT_FAILED = 8102, Info, "relay.attempt-failed", "An attempt at a request gave no usable answer, with what follows.";
    RUN_FAILED = 8103, Info, "relay.run-failed", "The backend server gave no usable answer to a request that was sent to it.";
    CALLER_LEFT = 8104, Debug, "relay.caller-left", "A caller left before the answer; the request is cancelled.";
    LINES_LEFT_OUT = 8199, Info, "relay.lines-left-out", "Log lines of one kind were left out, as there were too many.";
}
