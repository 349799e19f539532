//! Announcements of the backend server to its local node.

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
/// Path on the local listener with which a backend server announces that it is leaving.
pub(super) const LEAVE_PATH: &str = "/.balsamfold/leave";
/// Number of times that a backend server is to renew an announcement within its lifetime.
const RENEWALS_PER_ANNOUNCEMENT: u64 = 3;

plain_data! {
    /// A backend server's description of itself.
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// The service that the backend server belongs to.
        pub service: ServiceId,
        /// Address on which the backend server accepts requests.
        pub address: SocketAddr,
        /// Number of requests that it runs concurrently.
        pub slots: SlotCount,
        /// Number of connections that it accepts concurrently.
        pub connections: ConnectionCount,
    }
}

plain_data! {
    /// The response to an announcement.
    pub struct AnnouncementAccepted {
        /// Time within which the backend server must send the announcement again.
        pub renew_within_ms: u64,
    }
}

/// Applies an announcement or its renewal.
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

/// Removes the backend server because it announced that it is leaving: it gets no new requests.
pub(super) fn leave(node: &Node) -> BufferedResponse {
    if let Some(server) = node.server() {
        events::SERVER_LEAVING.log(server.announcement.address);
    }
    replace_server(node, None, RefusalReason::Draining);
    json_response(&serde_json::Value::Null)
}

/// Removes the backend server if its announcement was not renewed in time.
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

/// Replaces the backend server; requests that wait for the old one are refused immediately.
fn replace_server(node: &Node, server: Option<Arc<LocalServer>>, reason: RefusalReason) {
    let old = node.server();
    node.set_server(server);
    if let Some(old) = old {
        old.gate.drop_waiting(reason);
    }
}

/// Returns the announced backend server as membership sends it to other nodes.
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
