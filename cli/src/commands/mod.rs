//! Commands, one module each.

mod apply;
mod check;
mod drain;
mod dump;
mod key;
mod nodes;
mod plan;
mod show;

use clap::ArgMatches;
use clap::Command;

use crate::failure::Exit;
use crate::failure::Failure;
use crate::flags;
use crate::output::Output;

/// Defines the whole command line.
pub(crate) fn command() -> Command {
    Command::new("balsamfold")
        .about("Configures and inspects a balsamfold fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .args(flags::global_args())
        .subcommand(check::command())
        .subcommand(plan::command())
        .subcommand(apply::command())
        .subcommand(show::command())
        .subcommand(key::command())
        .subcommand(dump::command())
        .subcommand(nodes::command())
        .subcommand(drain::command())
}

/// Runs the selected command.
pub(crate) async fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches, output),
        Some(("plan", matches)) => plan::run(matches, output).await,
        Some(("apply", matches)) => apply::run(matches, output).await,
        Some(("show", matches)) => show::run(matches, output).await,
        Some(("key", matches)) => key::run(matches, output).await,
        Some(("dump", matches)) => dump::run(matches, output).await,
        Some(("nodes", matches)) => nodes::run(matches, output).await,
        Some(("drain", matches)) => drain::run(matches, output).await,
        _ => Err(Failure::new(Exit::Usage, "unknown command")),
    }
}
