//! Rate limits of organisations over all nodes.
//!
//! Each zone owns a fixed share of every organisation's rate and burst ([`split_over_zones`]). One
//! node of the zone, its holder, keeps the token buckets ([`Holder`]) and grants small batches of
//! tokens with a short lifetime. The other nodes spend them ([`LocalTokens`]). A zone without
//! tokens borrows them from the holders of other zones. `docs/design/fleet-rates.md` proves the
//! bound.

mod account;
mod bucket;
mod candidates;
mod client;
mod demand;
mod fleet_rates;
mod holder;
mod holder_decision;
mod holder_empty;
mod layout;
mod lease;
mod lease_record;
mod lease_task;
mod lender;
mod loans;
mod local;
mod local_account;
mod local_batch;
mod messages;
mod pool;
mod rate_plan;
mod service;
mod share;
mod transport;

use std::time::Duration;

pub use self::bucket::Bucket;
pub use self::candidates::CANDIDATES_PER_ZONE;
pub use self::candidates::holder_candidates;
pub use self::client::HolderCalls;
pub use self::client::RateClient;
pub use self::client::RateRefusal;
pub use self::demand::Demand;
pub use self::fleet_rates::FleetRates;
pub use self::fleet_rates::RateNode;
pub use self::fleet_rates::RateTasks;
pub use self::holder::Holder;
pub use self::holder_decision::BucketDump;
pub use self::holder_decision::HolderDecision;
pub use self::holder_decision::HolderReport;
pub use self::holder_decision::HolderSettings;
pub use self::layout::LayoutSet;
pub use self::layout::ZoneLayout;
pub use self::lease::HolderLease;
pub use self::lease::LEASE_HOLD;
pub use self::lease::LEASE_TAKEOVER;
pub use self::lease::LeaseAction;
pub use self::lease_record::BucketHandover;
pub use self::lease_record::HolderRecord;
pub use self::lease_record::PeerStatus;
pub use self::lease_record::PlatformReachability;
pub use self::lease_record::RecordWrite;
pub use self::loans::Loans;
pub use self::loans::TakenTokens;
pub use self::local::LocalTokens;
pub use self::local::LocalTokensDump;
pub use self::local::SettlementReportTarget;
pub use self::local::Spend;
pub use self::local::TOKEN_REQUEST_TIMEOUT;
pub use self::local::TokenRequestTarget;
pub use self::local_account::RateCaller;
pub use self::messages::BatchId;
pub use self::messages::EmptyBucket;
pub use self::messages::LoanRequest;
pub use self::messages::MicroTokens;
pub use self::messages::PoolHolder;
pub use self::messages::ReturnDemand;
pub use self::messages::ReturnPlaces;
pub use self::messages::Settlement;
pub use self::messages::SettlementReport;
pub use self::messages::ShareLoan;
pub use self::messages::TokenGrant;
pub use self::messages::TokenReply;
pub use self::messages::TokenRequest;
pub use self::messages::TokenRequestId;
pub use self::messages::TokenRequestPurpose;
pub use self::pool::SHARE_LEASE;
pub use self::pool::pool_zone;
pub use self::rate_plan::RatePlan;
pub use self::service::HolderService;
pub use self::service::LenderCalls;
pub use self::share::MAX_BATCH_LIFETIME;
pub use self::share::MIN_BATCH_LIFETIME;
pub use self::share::MicroRate;
pub use self::share::ZoneShare;
pub use self::share::batch_lifetime;
pub use self::share::split_over_zones;
pub use self::transport::RateTransport;
pub use self::transport::RecordAge;
pub use self::transport::RecordCallError;
pub use self::transport::RecordSwap;
pub use self::transport::StoredHolderRecord;

/// Returns the part of a batch's lifetime in which its requester may spend it.
///
/// The remainder allows for monotonic clocks that run at different speeds.
pub fn usable_lifetime(lifetime: Duration) -> Duration {
    lifetime * 15 / 16
}
