//! The one test binary of the library.

mod test_events;
mod test_keys;
mod test_rates;
mod test_rates_bound;
mod test_rates_demand;
mod test_rates_lease;
