//! The one test binary of the library.

mod test_events;
mod test_gate;
mod test_gate_floor;
mod test_gate_limit;
mod test_gate_queue;
mod test_keys;
mod test_overload;
mod test_routing;
