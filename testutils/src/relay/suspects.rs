//! Suspected requests that tests hand to relays.

use balsamfold::process::once::ContentDigest;
use balsamfold::process::suspects::CrashSite;
use balsamfold::process::suspects::CrashedRun;
use balsamfold::process::suspects::Fingerprint;
use balsamfold::process::suspects::SuspectEntry;
use balsamfold::values::Clock;

/// Returns the entry of a request of `RelayFleet::call` to the service `stock`, after a crash at
/// node-0, on trial at `trial_node`.
pub fn suspected_on(path: &str, trial_node: &str) -> SuspectEntry {
    let service = "stock".parse().expect("valid name");
    let content = ContentDigest::of("GET", path, b"");
    let mut entry = SuspectEntry::new(Fingerprint::of(&service, None, b"shop", content));
    entry.crashes.insert(CrashSite {
        at: Clock::start().wall(),
        node: "node-0".parse().expect("valid name"),
        run: CrashedRun::Ordinary,
    });
    entry.assign_trial(trial_node.parse().expect("valid name"));
    entry
}
