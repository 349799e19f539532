//! Events of at-most-once records and crash suspects: numbers 6000 to 6999.

use log::Level;

use super::Event;
use super::events;

events! {
    REGISTRAR_TAKEN = 6001, Info, "once.registrar-taken", "This node is now the registrar of its zone: it assigns the terms of at-most-once records.";
    SERVER_CRASHED = 6002, Warn, "once.server-crashed", "The backend server beside this node crashed with requests in flight.";
    SUSPECT_CLEARED = 6003, Info, "once.suspect-cleared", "A suspected request finished on this node, which clears it of the crashes that the line counts; the line has the status of the response.";
    SUSPECT_QUARANTINED = 6000, Warn, "once.suspect-quarantined", "A request fingerprint was in flight at two crashes and is refused for a bounded time.";
}
