//! The relay: a node that finds its fleet through leased entries in a shared store.
//!
//! It forwards requests of callers on its instance, and of the backend server beside it, to the
//! nodes of other backend servers, and admits their requests to its own.

mod allowance;
mod backend;
mod borrow;
mod callers;
mod confirmation;
mod daemon;
mod entry;
mod fleet;
mod forward;
mod frame;
mod link;
mod metrics;
mod node;
mod peers;
mod protocol;
mod registration;
mod registration_store;
mod reports;
mod runs;
mod settings;
mod split;
mod store;
mod tasks;

pub use self::allowance::AllowanceDecision;
pub use self::allowance::Allowances;
pub use self::confirmation::Confirmation;
pub use self::confirmation::Voucher;
pub use self::confirmation::VoucherUse;
pub use self::daemon::RelayDaemon;
pub use self::daemon::RelayStartError;
pub use self::fleet::Fleet;
pub use self::frame::AnswerHead;
pub use self::frame::ExchangeId;
pub use self::frame::Frame;
pub use self::frame::FrameError;
pub use self::frame::Head;
pub use self::frame::HeaderList;
pub use self::frame::LoadNotice;
pub use self::frame::RequestHead;
pub use self::frame::RequestTerms;
pub use self::frame::encode_frame;
pub use self::metrics::RelayMetrics;
pub use self::node::RelayNode;
pub use self::protocol::ControlCall;
pub use self::protocol::Protocol;
pub use self::protocol::ProtocolHeaders;
pub use self::protocol::ServerReport;
pub use self::registration::Registration;
pub use self::registration::ReportEffect;
pub use self::settings::BoundSettings;
pub use self::settings::ListenSettings;
pub use self::settings::RawRelaySettings;
pub use self::settings::RelaySettings;
pub use self::settings::RelaySettingsError;
pub use self::split::SplitState;
pub use self::store::AsOf;
pub use self::store::LeaseId;
pub use self::store::SharedStore;
pub use self::store::StoreError;
pub use self::store::StoreEvent;
pub use self::store::StoreItem;
pub use self::store::StoreResult;
pub use self::store::StoreRevision;
