//! Stand-ins for tests.

pub mod overload;
