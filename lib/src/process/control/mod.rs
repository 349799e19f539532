//! Control calls between nodes and from operators, as JSON-RPC over HTTP.

mod api;
mod client;
mod server;
mod signature;

pub use self::api::ControlClient;
pub use self::api::ControlServer;
pub use self::api::DrainStarted;
pub use self::client::ControlHttpClient;
pub use self::client::connect;
pub use self::server::ControlListener;
pub use self::server::ControlServerHandle;
