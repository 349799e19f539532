//! `balsamfold dump`: prints the state of a node.

use balsamfold::process::control::ControlClient;
use clap::ArgMatches;
use clap::Command;

use crate::control;
use crate::failure::Failure;
use crate::flags;
use crate::output::Output;

/// Returns the command's part of the command line.
pub(crate) fn command() -> Command {
    Command::new("dump")
        .about("Prints what a node knows and does")
        .arg(flags::node_arg())
}

/// Runs the command.
pub(crate) async fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let node = control::connect(matches)?;
    let document = node
        .dump()
        .await
        .map_err(|error| control::read_failure(&error))?;
    output.print_document(&document);
    Ok(())
}
