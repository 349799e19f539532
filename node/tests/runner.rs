//! All tests of the node and relay programs, in one test binary.

mod test_slow_log_reader;
