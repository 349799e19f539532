//! Events of the process itself: numbers 1000 to 1999.

use log::Level;

use super::Event;
use super::events;

events! {
    STARTED = 1000, Info, "process.started", "The process accepts connections.";
    DRAIN_STARTED = 1001, Info, "process.drain-started", "A planned stop began; no new work is accepted.";
    STOPPED = 1002, Info, "process.stopped", "The process has completed all its work and exits.";
    SETTINGS_INVALID = 1003, Error, "process.settings-invalid", "A setting is invalid; the process exits with code 2.";
    LISTEN_FAILED = 1004, Error, "process.listen-failed", "The process cannot listen on an address; check that no other process uses it.";
    SERVER_ANNOUNCED = 1010, Info, "process.server-announced", "The backend server beside this node announced itself.";
    SERVER_LEAVING = 1011, Info, "process.server-leaving", "The backend server beside this node is leaving; it gets no new requests.";
    SERVER_LOST = 1012, Warn, "process.server-lost", "The backend server beside this node crashed or stopped renewing its announcement.";
    CONNECTION_SILENT = 1020, Info, "process.connection-silent", "A connection to the store or a backend server was given up because nothing arrived on it; new ones are opened.";
    CONNECTION_UNREAD = 1021, Info, "process.connection-unread", "A caller's connection was closed while bytes that it had sent were unread; the line says why it was closed.";
}
