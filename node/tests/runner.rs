//! All tests of the node and relay programs, in one test binary.

mod relay_fleet;
#[path = "../../platform/tests/store_stand_in.rs"]
mod store_stand_in;
mod test_endless_heads;
mod test_relay_signals;
mod test_relay_soak;
mod test_slow_log_reader;
