//! A stand-in for a backend server, with slots, service time, onward calls and faults.

mod behaviour;
mod recorder;
mod server;

pub use self::behaviour::Behaviour;
pub use self::behaviour::Fault;
pub use self::recorder::Recorder;
pub use self::recorder::Run;
pub use self::server::BackendServer;
pub use self::server::ServerPlan;
pub use self::server::Upstream;
pub use self::server::is_complete_body;
pub use self::server::response_body;
pub(crate) use self::server::truncated_response;
