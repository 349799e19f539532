//! Announcements of the backend server to the node beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use super::Node;
use super::local_server::LocalServer;
use crate::connection::BufferedResponse;
use crate::process::events::process as events;
use crate::process::membership::ServerRecord;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::ConnectionCount;
use crate::values::ServiceId;
use crate::values::SlotCount;

/// Path of an announcement or its renewal on the local listener.
pub(super) const ANNOUNCE_PATH: &str = "/.balsamfold/announce";
/// Path on the local listener by which a backend server says that it is leaving.
pub(super) const LEAVE_PATH: &str = "/.balsamfold/leave";
/// An announcement is to be renewed this many times in its life.
const RENEWALS_PER_ANNOUNCEMENT: u64 = 3;

plain_data! {
    /// What a backend server says of itself.
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// The service that the backend server belongs to.
        pub service: ServiceId,
        /// Where the backend server takes requests.
        pub address: SocketAddr,
        /// Requests that it runs at the same time.
        pub slots: SlotCount,
        /// Connections that it accepts at the same time.
        pub connections: ConnectionCount,
    }
}

plain_data! {
    /// The answer to an announcement.
    pub struct AnnouncementAccepted {
        /// The announcement is to be sent again within this time.
        pub renew_within_ms: u64,
    }
}

/// Takes an announcement or its renewal.
pub(super) fn announce(node: &Node, body: &[u8]) -> Result<BufferedResponse, Refusal> {
    let announcement = parse_announcement(node, body)?;
    let now = node.clock.now();
    match node.server() {
        Some(server) if server.announcement == announcement => server.renew(now),
        Some(_) | None => {
            let limits = node.pool_limits(announcement.connections.0);
            events::SERVER_ANNOUNCED.log(announcement.address);
            let server = LocalServer::new(announcement, limits, &node.clock);
            replace_server(node, Some(Arc::new(server)), RefusalReason::NoServer);
        }
    }
    let accepted = AnnouncementAccepted {
        renew_within_ms: node.settings.announcement_ms / RENEWALS_PER_ANNOUNCEMENT,
    };
    Ok(json_response(&accepted))
}

/// Takes the news that the backend server is leaving: it gets no new work.
pub(super) fn leave(node: &Node) -> BufferedResponse {
    if let Some(server) = node.server() {
        events::SERVER_LEAVING.log(server.announcement.address);
    }
    replace_server(node, None, RefusalReason::Draining);
    json_response(&serde_json::Value::Null)
}

/// Ends the announcement if it was not renewed in time.
pub(super) fn expire(node: &Node) {
    let Some(server) = node.server() else {
        return;
    };
    let age = node.clock.now().since(server.renewed_at());
    if age > Duration::from_millis(node.settings.announcement_ms) {
        events::SERVER_LOST.log(server.announcement.address);
        replace_server(node, None, RefusalReason::NoServer);
    }
}

/// Replaces the backend server; requests that wait for the old one are refused at once.
fn replace_server(node: &Node, server: Option<Arc<LocalServer>>, reason: RefusalReason) {
    let old = node.server();
    node.set_server(server);
    if let Some(old) = old {
        old.gate.drop_waiting(reason);
    }
}

/// Returns the record of the announced backend server for other nodes.
pub(super) fn server_record(node: &Node) -> Option<ServerRecord> {
    node.server().map(|server| ServerRecord {
        service: server.announcement.service.clone(),
        slots: server.announcement.slots,
        connections: server.announcement.connections,
    })
}

fn parse_announcement(node: &Node, body: &[u8]) -> Result<Announcement, Refusal> {
    let bad_request = Refusal::not_run(RefusalReason::BadRequest);
    match serde_json::from_slice::<Announcement>(body) {
        Ok(announcement)
            if announcement.service == node.settings.service
                && announcement.slots.0 > 0
                && announcement.connections.0 > 0 =>
        {
            Ok(announcement)
        }
        Ok(_) | Err(_) => Err(bad_request),
    }
}

fn json_response(body: &impl serde::Serialize) -> BufferedResponse {
    BufferedResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from(serde_json::to_vec(body).unwrap_or_default()),
    }
}
