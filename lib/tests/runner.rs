//! The one test binary of the library.

mod fleet;
mod test_attempts;
mod test_change;
mod test_events;
mod test_folder;
mod test_gate;
mod test_gate_floor;
mod test_gate_limit;
mod test_gate_queue;
mod test_keys;
mod test_membership_cuts;
mod test_membership_datagrams;
mod test_membership_detection;
mod test_membership_leaving;
mod test_membership_lives;
mod test_membership_merge;
mod test_membership_node;
mod test_overload;
mod test_platform;
mod test_rates;
mod test_rates_bound;
mod test_rates_demand;
mod test_rates_lease;
mod test_routing;
mod test_secret;
mod test_whole_path;
