//! `balsamfold key`: creates and withdraws callers' keys.

use std::fmt;

use balsamfold::process::configuration::StoredConfiguration;
use balsamfold::process::platform::PlatformClient;
use balsamfold::values::ConfigVersion;
use balsamfold::values::KeyId;
use balsamfold::values::OrganisationId;
use balsamfold::version::CallerKey;
use balsamfold::version::ChangeId;
use balsamfold::version::Configuration;
use balsamfold::version::KeyHash;
use balsamfold::version::KeyRecord;
use balsamfold::version::KeyState;
use balsamfold::version::change::KeyChangeError;
use balsamfold::version::change::add_key;
use balsamfold::version::change::withdraw_key;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde::Serialize;

use crate::control;
use crate::failure::Exit;
use crate::failure::Failure;
use crate::flags;
use crate::output::Output;
use crate::platform;

const KEY: &str = "KEY";
const ORGANISATION: &str = "organisation";

/// Conflicts with changes by other operators after which a key command fails.
const CONFLICTS_MAX: u32 = 5;

/// A new key. No other report contains the key itself.
#[derive(Serialize)]
struct NewKeyReport {
    id: KeyId,
    organisation: OrganisationId,
    version: ConfigVersion,
    key: String,
}

impl fmt::Display for NewKeyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            organisation,
            version,
            key,
        } = self;
        writeln!(
            f,
            "key {id} of organisation {organisation} is in force with version {version}"
        )?;
        writeln!(f, "it is printed only now, since only its hash is stored:")?;
        f.write_str(key)
    }
}

/// A withdrawn key.
#[derive(Serialize)]
struct WithdrawReport {
    id: KeyId,
    version: ConfigVersion,
}

impl fmt::Display for WithdrawReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, version } = self;
        write!(
            f,
            "key {id} is permanently withdrawn as of version {version}"
        )
    }
}

/// Defines the command and its arguments.
pub(crate) fn command() -> Command {
    let id = Arg::new(KEY)
        .help("Name of the key")
        .env("BALSAMFOLD_KEY_ID")
        .required(true)
        .value_parser(value_parser!(KeyId));
    let organisation = Arg::new(ORGANISATION)
        .long(ORGANISATION)
        .env("BALSAMFOLD_ORGANISATION")
        .help("Organisation that requests with the key belong to")
        .required(true)
        .value_parser(value_parser!(OrganisationId));
    let new = Command::new("new")
        .about("Creates a key and prints it once")
        .args([id.clone(), organisation, flags::tell_arg()]);
    let withdraw = Command::new("withdraw")
        .about("Withdraws a key permanently")
        .args([id, flags::tell_arg()]);
    Command::new("key")
        .about("Creates and withdraws callers' keys")
        .subcommand_required(true)
        .subcommands([new, withdraw])
}

pub(crate) async fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("new", matches)) => run_new(matches, output).await,
        Some(("withdraw", matches)) => run_withdraw(matches, output).await,
        _ => Err(Failure::new(Exit::Usage, "unknown command")),
    }
}

async fn run_new(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let id = key_id(matches)?;
    let organisation = matches.get_one::<OrganisationId>(ORGANISATION).cloned();
    let organisation = organisation.ok_or_else(|| missing(ORGANISATION))?;
    let key = CallerKey::generate();
    let record = KeyRecord {
        id: id.clone(),
        hash: KeyHash::of(&key),
        organisation: organisation.clone(),
        state: KeyState::Active,
    };
    let client = platform::client(matches)?;
    let nodes_to_notify = control::connect_to_notified(matches)?;
    let change =
        |current: &Configuration, change_id| add_key(current, record.clone(), change_id).map(Some);
    let accepted = change_key(&client, change)
        .await
        .map_err(|failure| match failure.exit {
            Exit::Unknown => {
                let hint = format!(
                    "the key was not printed; withdraw {id} and create a key with another name"
                );
                failure.hint(hint)
            }
            _ => failure,
        })?;
    output.print(&NewKeyReport {
        id,
        organisation,
        version: accepted.version,
        key: key.reveal().to_owned(),
    });
    output.notify(&nodes_to_notify, &accepted).await;
    Ok(())
}

async fn run_withdraw(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let id = key_id(matches)?;
    let client = platform::client(matches)?;
    let nodes_to_notify = control::connect_to_notified(matches)?;
    let change = |current: &Configuration, change_id| withdraw_key(current, &id, change_id);
    let accepted = change_key(&client, change).await?;
    let version = accepted.version;
    output.print(&WithdrawReport { id, version });
    output.notify(&nodes_to_notify, &accepted).await;
    Ok(())
}

/// Changes one key in the configuration in force and returns the configuration with the change.
///
/// A change to one key is compatible with changes to other entries, so after a conflict it is
/// applied again to the newer configuration. It fails with the conflict only if the key can no
/// longer be changed there, or after [`CONFLICTS_MAX`] conflicts.
async fn change_key(
    client: &PlatformClient,
    change: impl Fn(&Configuration, ChangeId) -> Result<Option<Configuration>, KeyChangeError>,
) -> Result<Configuration, Failure> {
    let mut conflict = None;
    for _ in 0..CONFLICTS_MAX {
        let base = read_base(client).await?;
        let next = match change(&base.configuration, ChangeId::generate()) {
            Ok(Some(next)) => next,
            Ok(None) => return Ok(base.configuration),
            Err(error) => return Err(conflict.unwrap_or_else(|| key_change_failure(&error))),
        };
        match platform::write(client, Some(&base), &next).await {
            Ok(()) => return Ok(next),
            Err(failure) if failure.exit == Exit::Conflict => conflict = Some(failure),
            Err(failure) => return Err(failure),
        }
    }
    Err(conflict.unwrap_or_else(|| Failure::new(Exit::Failed, "the key was not changed")))
}

async fn read_base(client: &PlatformClient) -> Result<StoredConfiguration, Failure> {
    let base = platform::read(client).await?;
    base.ok_or_else(|| {
        Failure::new(Exit::Failed, "there is no configuration yet")
            .hint("apply a folder with `balsamfold apply DIR`")
    })
}

fn key_change_failure(error: &KeyChangeError) -> Failure {
    let hint = match error {
        KeyChangeError::IdInUse { .. } | KeyChangeError::HashInUse { .. } => {
            "names and keys cannot be reused; choose another name"
        }
        KeyChangeError::UnknownOrganisation { .. } => {
            "add the organisation to the folder and apply it first"
        }
        KeyChangeError::UnknownKey { .. } => "`balsamfold show` lists the keys",
    };
    Failure::new(Exit::Failed, error).hint(hint)
}

fn key_id(matches: &ArgMatches) -> Result<KeyId, Failure> {
    let id = matches.get_one::<KeyId>(KEY).cloned();
    id.ok_or_else(|| missing(KEY))
}

fn missing(name: &str) -> Failure {
    Failure::new(Exit::Usage, format!("{name} is missing"))
}
