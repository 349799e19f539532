//! Stand-ins for callers, backend servers and the platform, for tests and measurements.

pub mod backend_server;
pub mod chaos;
pub mod fleet;
pub mod load;
pub mod mesh;
pub mod overload;
mod own_runtime;
pub mod platform;
pub mod rate_fleet;
pub mod relay;
