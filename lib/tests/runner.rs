//! The one test binary of the library.

mod test_change;
mod test_events;
mod test_folder;
mod test_keys;
mod test_platform;
mod test_whole_path;
