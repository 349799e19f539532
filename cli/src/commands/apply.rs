//! `balsamfold apply`: puts the configuration in a folder into force.

use balsamfold::version::folder::Folder;
use clap::ArgMatches;
use clap::Command;

use super::plan;
use super::plan::PlanReport;
use crate::control;
use crate::failure::Failure;
use crate::flags;
use crate::output::Output;
use crate::platform;

/// Defines the command and its arguments.
pub(crate) fn command() -> Command {
    Command::new("apply")
        .about("Puts the configuration in a folder into force")
        .args([flags::folder_arg(), flags::tell_arg()])
}

/// Runs the command. Writes nothing if the folder changes nothing.
pub(crate) async fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let folder = Folder::read(flags::folder(matches))?;
    let client = platform::client(matches)?;
    let nodes_to_notify = control::connect_to_notified(matches)?;
    let base = platform::read(&client).await?;
    let plan = plan::make(base.as_ref(), &folder)?;
    if !plan.diff.is_empty() {
        platform::write(&client, base.as_ref(), &plan.next).await?;
    }
    output.print(&PlanReport::new(base.as_ref(), &plan));
    if !plan.diff.is_empty() {
        output.notify(&nodes_to_notify, &plan.next).await;
    }
    Ok(())
}
