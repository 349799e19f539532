//! HTTP connections: listeners, connection pools, headers and bodies.

mod body;
mod exchange;
mod head_limit;
mod headers;
mod keepalive;
mod listener;
mod pool;

pub use self::body::BodyBudget;
pub use self::body::BodyError;
pub use self::body::read_body;
pub use self::body::read_budgeted_body;
pub use self::exchange::BufferedRequest;
pub use self::exchange::BufferedResponse;
pub use self::exchange::ExchangeError;
pub use self::headers::ATTEMPT_HEADER;
pub use self::headers::CONTEXT_HEADER;
pub use self::headers::DEADLINE_HEADER;
pub use self::headers::FLOOR_HEADER;
pub use self::headers::HANDLE_HEADER;
pub use self::headers::IDEMPOTENCY_KEY_HEADER;
pub use self::headers::MAC_HEADER;
pub use self::headers::ONLY_ON_HEADER;
pub use self::headers::UNSPENT_HEADER;
pub use self::headers::VERDICT_HEADER;
pub use self::headers::strip_connection_headers;
pub use self::headers::strip_system_headers;
pub use self::keepalive::allow_closed_window;
pub use self::keepalive::enable_liveness_probes;
pub use self::listener::ListenError;
pub use self::listener::Listener;
pub use self::listener::ListenerHandle;
pub use self::listener::ListenerLimits;
pub use self::pool::ConnectionPool;
pub use self::pool::PoolLimits;
pub use self::pool::ResponseMatch;
