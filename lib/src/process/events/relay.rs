//! Events of the relay: numbers 8000 to 8999.

use log::Level;

use super::Event;
use super::events;

events! {
    STARTED = 8000, Info, "relay.started", "The relay listens and begins to discover the fleet.";
    STOPPING = 8001, Info, "relay.stopping", "A planned stop began; requests in flight are completed.";
    STOPPED = 8002, Info, "relay.stopped", "The relay stopped as planned.";
    SETTINGS_RELOADED = 8003, Info, "relay.settings-reloaded", "The settings were reloaded; the line says whether changes remain that need a restart.";
    SETTINGS_REFUSED = 8004, Warn, "relay.settings-refused", "The changed settings are invalid and not used; correct them.";
    PANICKED = 8005, Error, "relay.panicked", "An unexpected error ended a task or a request; a task is started again, a request is answered as failed. Report it with the line.";
    LINK_LOST = 8010, Info, "relay.link-lost", "A connection to another node ended; its open exchanges get no reply.";
    LINK_NOT_OPENED = 8011, Info, "relay.link-not-opened", "A connection to another node could not be opened; check the network and the node.";
    LINK_SILENT = 8012, Info, "relay.link-silent", "Nothing arrives on a connection to another node although something is owed; another one is opened beside it.";
    LINK_REPLACED = 8013, Info, "relay.link-replaced", "A new connection took the place of a silent one, so that the connection was silent and not the node.";
    STORE_LOST = 8020, Warn, "relay.store-lost", "The store does not respond; requests with keys are refused once the configuration cannot be confirmed.";
    STORE_BACK = 8021, Info, "relay.store-back", "The store responds again.";
    STORE_WATCHED = 8023, Info, "relay.store-watched", "The node watches the store itself: it is the first of its zone, or no other node is up to date.";
    STORED_UNREADABLE = 8022, Warn, "relay.stored-unreadable", "An item of the store cannot be decoded and is skipped.";
    CONFIGURATION_IN_FORCE = 8030, Info, "relay.configuration-in-force", "A newer configuration is in force.";
    CONFIGURATION_REFUSED = 8031, Warn, "relay.configuration-refused", "A stored configuration cannot be decoded; the previous one stays in force.";
    UNCONFIRMED = 8032, Warn, "relay.unconfirmed", "The configuration in force cannot be confirmed in time; requests with keys are refused.";
    CONFIRMED = 8033, Info, "relay.confirmed", "The configuration in force is confirmed again.";
    ENTRY_WRITTEN = 8040, Info, "relay.entry-written", "The node's own entry was written to the store.";
    ENTRY_LAPSED = 8041, Warn, "relay.entry-lapsed", "The lease of the node's own entry expired; the entry is written again.";
    FLEET_CHANGED = 8042, Info, "relay.fleet-changed", "The set of known nodes changed.";
    SERVER_REPORTED = 8050, Info, "relay.server-reported", "The backend server reported a new incarnation or state.";
    SERVER_REPORT_REFUSED = 8051, Warn, "relay.server-report-refused", "A report about a backend server is invalid, outdated or for another address.";
    SERVER_LOST = 8052, Warn, "relay.server-lost", "The backend server accepts no connections; it gets no requests until it reports again.";
    SERVER_THROTTLED = 8053, Info, "relay.server-throttled", "The backend server named the requests per second that it takes, or no longer does; others go to other servers.";
    SERVER_COLD = 8054, Info, "relay.server-cold", "The backend server turned cold or warm; the line says which, and how many requests it gets in a second while it is cold.";
    ZONE_EVACUATED = 8055, Info, "relay.zone-evacuated", "The operators evacuated a zone or took that back; the line says which, and for how long the zone was evacuated.";
    REQUEST_ANSWERED = 8100, Debug, "relay.request-answered", "A backend server returned a response to a request.";
    REQUEST_REFUSED = 8101, Info, "relay.request-refused", "A request was refused; the line has the reason and the state behind it.";
    ATTEMPT_FAILED = 8102, Info, "relay.attempt-failed", "An attempt at a request got no usable response; the line has the next step.";
    RUN_FAILED = 8103, Info, "relay.run-failed", "The backend server returned no usable response to a request.";
    CALLER_LEFT = 8104, Debug, "relay.caller-left", "A caller disconnected before the response; the request is cancelled.";
    RATE_REFUSED = 8105, Info, "relay.rate-refused", "An organisation's allowance refused a request; the line has the organisation and the tokens that were known.";
    ENDED_BY_STOP = 8106, Info, "relay.ended-by-stop", "A request was still open at the limit of a planned stop and was answered by this node; the line says whether it may have run.";
    ABANDONED = 8107, Info, "relay.request-abandoned", "The caller of a request had left, or the request that made it had ended, before the step that the line names.";
    RUN_CANCELLED = 8108, Debug, "relay.run-cancelled", "A request was cancelled at the node of its backend server; the line says whether the server may have received it.";
    NO_PARENT = 8109, Info, "relay.call-without-parent", "The id of a request extends that of another one, which does not run on the local backend server.";
    TURNED_AWAY = 8110, Info, "relay.turned-away", "The backend server has much more to do than others of its service; the request goes to another one. The line has its requests that run or wait, and how many are usual.";
    TREE_REFUSED = 8111, Info, "relay.tree-refused", "A request was refused before it began, because a service that its call tree needs has no room; the line has the service, its floor and the floor's age.";
    LINES_LEFT_OUT = 8199, Info, "relay.lines-left-out", "Log lines of one kind were omitted because there were too many.";
}
