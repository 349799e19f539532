//! Stand-ins for callers, backend servers and the platform, for tests and measurements.

pub mod rate_fleet;
