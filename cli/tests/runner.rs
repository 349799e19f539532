//! The only test binary of the command line.

mod environment;
mod test_configuration;
mod test_keys;
mod test_nodes;
mod test_relay_settings;
