//! `balsamfold dump`: prints the state of a node.

use balsamfold::process::control::ControlClient;
use clap::ArgMatches;
use clap::Command;

use crate::control;
use crate::failure::Failure;
use crate::flags;
use crate::output::Output;

/// Defines the command and its arguments.
pub(crate) fn command() -> Command {
    Command::new("dump")
        .about("Prints the state of a node")
        .arg(flags::node_arg())
}

pub(crate) async fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let node = control::connect(matches)?;
    let document = node
        .dump()
        .await
        .map_err(|error| control::read_failure(&error))?;
    output.print_document(&document);
    Ok(())
}
