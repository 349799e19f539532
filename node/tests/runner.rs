//! The one test binary of the programs beside backend servers.

mod test_slow_log_reader;
