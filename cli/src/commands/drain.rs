//! `balsamfold drain`: starts the planned stop of a node.

use std::fmt;

use balsamfold::process::control::ControlClient;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;

use crate::control;
use crate::failure::Failure;
use crate::flags;
use crate::output::Output;

/// A planned stop that has started.
#[derive(Serialize)]
struct DrainReport {
    in_flight_requests: usize,
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let in_flight = self.in_flight_requests;
        write!(
            f,
            "the node accepts no new work and stops after its {in_flight} requests in flight"
        )
    }
}

/// Defines the command and its arguments.
pub(crate) fn command() -> Command {
    Command::new("drain")
        .about("Starts the planned stop of a node")
        .arg(flags::node_arg())
}

pub(crate) async fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let node = control::connect(matches)?;
    let started = node.drain().await;
    let started = started.map_err(|error| control::write_failure(&error))?;
    output.print(&DrainReport {
        in_flight_requests: started.in_flight_requests,
    });
    Ok(())
}
