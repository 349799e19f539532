//! Stand-ins for tests.
