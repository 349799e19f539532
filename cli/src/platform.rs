//! Reads and writes the configuration in the platform's service.

use std::hash::BuildHasher;
use std::hash::RandomState;

use balsamfold::process::configuration::ConfigurationStore;
use balsamfold::process::configuration::StoredConfiguration;
use balsamfold::process::configuration::WriteOutcome;
use balsamfold::process::platform::PlatformClient;
use balsamfold::process::platform::PlatformSettings;
use balsamfold::version::Configuration;
use balsamfold::version::change::ConfigurationDiff;
use clap::ArgMatches;

use crate::failure::Exit;
use crate::failure::Failure;
use crate::flags;

/// Creates a client of the service that the command line names.
pub(crate) fn client(matches: &ArgMatches) -> Result<PlatformClient, Failure> {
    let settings = PlatformSettings {
        call_timeout_ms: flags::timeout_ms(matches),
        ..PlatformSettings::new(flags::platform(matches)?)
    };
    Ok(PlatformClient::new(&settings))
}

/// Reads the configuration. Returns `None` if there is none yet.
pub(crate) async fn read(client: &PlatformClient) -> Result<Option<StoredConfiguration>, Failure> {
    Ok(store(client).read().await?)
}

/// Replaces `base` with `next`. The failure of a conflict contains what another operator changed.
pub(crate) async fn write(
    client: &PlatformClient,
    base: Option<&StoredConfiguration>,
    next: &Configuration,
) -> Result<(), Failure> {
    let revision = base.map(|base| base.revision);
    match store(client).write(revision, next).await? {
        WriteOutcome::Done => Ok(()),
        WriteOutcome::Conflict(current) => Err(conflict(base, current.as_deref())),
        WriteOutcome::Unknown => {
            let message = "the platform's service did not reply; the change may have been accepted";
            let hint = format!(
                "run `balsamfold show` when the service is up; the id of this change is {}",
                next.change_id
            );
            Err(Failure::new(Exit::Unknown, message).hint(hint))
        }
        WriteOutcome::NothingChanged(error) => {
            let hint = "nothing changed; try again when the service is up";
            Err(Failure::new(Exit::Failed, error).hint(hint))
        }
    }
}

/// Describes the change that was accepted before this one.
fn conflict(base: Option<&StoredConfiguration>, current: Option<&StoredConfiguration>) -> Failure {
    let before = base.map(|base| &base.configuration);
    let after = current.map(|current| &current.configuration);
    let changed = ConfigurationDiff::between(before, after);
    let message = match after {
        Some(after) => format!(
            "another operator's change {} was accepted first; version {} is in force",
            after.change_id, after.version
        ),
        None => "another operator removed the configuration".to_owned(),
    };
    Failure::new(Exit::Conflict, message)
        .changed(changed)
        .hint("this command changed nothing; review the changes above and run it again")
}

fn store(client: &PlatformClient) -> ConfigurationStore<'_> {
    ConfigurationStore::new(client, seed())
}

/// Returns a seed that differs between processes.
fn seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
