//! A load generator that sends requests at a fixed rate and counts the outcomes.

mod generator;
mod report;

pub use self::generator::LoadPlan;
pub use self::generator::Tenant;
pub use self::generator::run_load;
pub use self::report::LoadReport;
pub use self::report::TenantReport;
