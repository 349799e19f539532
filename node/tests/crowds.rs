//! Crowds of clients that keep outside the limits, in a test binary of its own, so that no other tests run beside them.

mod crowd;
#[allow(
    dead_code,
    unused_imports,
    reason = "other test binaries use more of it"
)]
mod relay_fleet;
#[path = "../../platform/tests/store_stand_in.rs"]
#[allow(dead_code, reason = "other test binaries use more of it")]
mod store_stand_in;
mod test_crowds;
