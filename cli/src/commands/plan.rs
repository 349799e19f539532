//! `balsamfold plan`: shows what applying a folder would change.

use std::fmt;

use balsamfold::process::configuration::StoredConfiguration;
use balsamfold::values::ConfigVersion;
use balsamfold::values::KeyId;
use balsamfold::version::ChangeId;
use balsamfold::version::change::ConfigurationDiff;
use balsamfold::version::change::Plan;
use balsamfold::version::change::plan_folder;
use balsamfold::version::folder::Folder;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;

use crate::failure::Exit;
use crate::failure::Failure;
use crate::flags;
use crate::output::Output;
use crate::platform;

/// What applying a folder changes.
#[derive(Serialize)]
pub(super) struct PlanReport {
    /// Version in force before the change.
    from_version: ConfigVersion,
    /// Version after the change; equal to `from_version` if nothing changes.
    to_version: ConfigVersion,
    diff: ConfigurationDiff,
    keys_kept_withdrawn: Vec<KeyId>,
    keys_not_named: Vec<KeyId>,
}

impl PlanReport {
    /// Describes `plan`, which was computed from `base`.
    pub(super) fn new(base: Option<&StoredConfiguration>, plan: &Plan) -> Self {
        let from_version = base.map_or(ConfigVersion::default(), |b| b.configuration.version);
        Self {
            from_version,
            to_version: match plan.diff.is_empty() {
                true => from_version,
                false => plan.next.version,
            },
            diff: plan.diff.clone(),
            keys_kept_withdrawn: plan.keys_kept_withdrawn.clone(),
            keys_not_named: plan.keys_not_named.clone(),
        }
    }
}

impl fmt::Display for PlanReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.diff.is_empty() {
            true => write!(f, "version {}: nothing to change", self.from_version)?,
            false => {
                let Self {
                    from_version,
                    to_version,
                    diff,
                    ..
                } = self;
                write!(f, "version {from_version} -> {to_version}\n{diff}")?;
            }
        }
        for id in &self.keys_kept_withdrawn {
            write!(
                f,
                "\nnote: key {id} was withdrawn earlier and stays withdrawn"
            )?;
        }
        for id in &self.keys_not_named {
            write!(
                f,
                "\nnote: key {id} is not in the folder and stays unchanged"
            )?;
        }
        Ok(())
    }
}

/// Defines the command and its arguments.
pub(crate) fn command() -> Command {
    Command::new("plan")
        .about("Shows what applying a folder would change")
        .arg(flags::folder_arg())
}

pub(crate) async fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let folder = Folder::read(flags::folder(matches))?;
    let client = platform::client(matches)?;
    let base = platform::read(&client).await?;
    let plan = make(base.as_ref(), &folder)?;
    output.print(&PlanReport::new(base.as_ref(), &plan));
    Ok(())
}

/// Computes what applying `folder` to `base` changes.
pub(super) fn make(base: Option<&StoredConfiguration>, folder: &Folder) -> Result<Plan, Failure> {
    let current = base.map(|base| &base.configuration);
    plan_folder(current, folder, ChangeId::generate()).map_err(|error| {
        let message = format!("the folder cannot replace the configuration in force:\n{error}");
        Failure::new(Exit::Usage, message).hint(
            "`balsamfold show` lists what is in force; withdraw keys before removing organisations",
        )
    })
}
