//! A load tool: sends requests at a set rate and counts what became of them.

mod generator;
mod report;

pub use self::generator::LoadPlan;
pub use self::generator::Tenant;
pub use self::generator::run_load;
pub use self::report::LoadReport;
pub use self::report::TenantReport;
