//! The one test binary of the library.

mod test_attempts;
mod test_events;
mod test_keys;
