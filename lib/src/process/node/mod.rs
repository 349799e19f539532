//! One node: ingress for requests of callers, the admission gate in front of its backend server,
//! and egress for the calls that the backend server makes.

mod announcement;
mod configuration;
mod daemon;
mod dump;
mod egress;
mod forward;
mod ingress;
mod load_control;
mod local_server;
mod members;
mod once;
mod peer_message;
mod rates;
mod response;
mod retries;
mod seed_lists;
mod serve;
mod shared;
mod suspects;

pub use self::announcement::Announcement;
pub use self::announcement::AnnouncementAccepted;
pub use self::daemon::NodeDaemon;
pub use self::daemon::ReadyLine;
pub use self::daemon::StartError;
pub use self::dump::NodeDump;
pub use self::dump::OnceDump;
pub use self::dump::ServerDump;
pub use self::members::ProbeSocket;
pub use self::once::RenewalReply;
pub use self::once::RenewalRequest;
pub use self::shared::Node;
