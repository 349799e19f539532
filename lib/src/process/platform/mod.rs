//! The client of the platform's key-value service.
//!
//! It supports get, compare-and-swap, leases and watches on a few typed keys. The service counts
//! each call, so the client bounds its calls per second and counts them by kind. Only `wire.rs`
//! depends on the wire protocol.

mod backoff;
mod call;
mod client;
mod counts;
mod error;
mod key;
mod swap;
mod swap_retry;
mod value;
pub mod wire;

pub use self::backoff::Backoff;
pub use self::call::PlatformCall;
pub use self::call::PlatformReply;
pub use self::call::SwapReply;
pub use self::call::WatchReply;
pub use self::client::PlatformClient;
pub use self::client::PlatformSettings;
pub use self::counts::CallCounts;
pub use self::counts::CallKind;
pub use self::counts::CallRateLimiter;
pub use self::error::PlatformError;
pub use self::key::PlatformKey;
pub use self::swap::SwapOutcome;
pub use self::swap::swap_with_retry;
pub use self::swap_retry::ChangeSeen;
pub use self::swap_retry::Step;
pub use self::swap_retry::SwapRetry;
pub use self::value::InvalidPlatformValueError;
pub use self::value::LeaseId;
pub use self::value::PlatformValue;
pub use self::value::Revision;
pub use self::value::StoredValue;
pub use self::value::VALUE_MAX_BYTES;
