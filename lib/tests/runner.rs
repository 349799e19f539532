//! The one test binary of the library.

mod test_events;
mod test_keys;
mod test_secret;
