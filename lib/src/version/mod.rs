//! Accepted configurations: their types, how they are read from files, and how they change.

pub mod change;
mod class;
mod configuration;
pub mod folder;
mod holder;
mod index;
mod key;
mod organisation;
mod route;
mod traffic_plan;
mod zone;

pub use self::class::ImportanceClass;
pub use self::configuration::ChangeId;
pub use self::configuration::Configuration;
pub use self::configuration::RECENT_CHANGES_MAX;
pub use self::holder::ConfigurationHolder;
pub use self::holder::OfferOutcome;
pub use self::index::IndexedConfiguration;
pub use self::key::CallerKey;
pub use self::key::InvalidKeyHashError;
pub use self::key::KeyHash;
pub use self::key::KeyRecord;
pub use self::key::KeyState;
pub use self::organisation::Organisation;
pub use self::route::Access;
pub use self::route::Repeatability;
pub use self::route::Route;
pub use self::route::has_dot_segment;
pub use self::traffic_plan::CallerLimits;
pub use self::traffic_plan::HostRoutes;
pub use self::traffic_plan::OrganisationLimits;
pub use self::traffic_plan::PlannedRoute;
pub use self::traffic_plan::Priority;
pub use self::traffic_plan::TrafficPlan;
pub use self::traffic_plan::WeightedService;
pub use self::zone::ZoneRecord;
