//! Requests that crash the backend servers that run them.
//!
//! When a backend server crashes, its requests in flight become suspects. A suspect runs on only
//! one node, on trial. If it finishes, it is cleared; if that backend server crashes too, it is
//! quarantined. See `docs/design/crash-suspects.md`.

mod entry;
mod fingerprint;
mod probe;
mod runs;
mod table;

pub use self::entry::CrashSite;
pub use self::entry::CrashedRun;
pub use self::entry::SuspectEntry;
pub use self::entry::SuspectStatus;
pub use self::entry::Trial;
pub use self::fingerprint::Fingerprint;
pub(crate) use self::probe::is_listening;
pub(crate) use self::probe::is_refused;
pub(crate) use self::probe::wait_until_refused;
pub use self::runs::GivenUpRun;
pub use self::runs::RunId;
pub use self::runs::Runs;
pub(crate) use self::runs::is_finished;
pub use self::table::SuspectAdmission;
pub use self::table::Suspects;
