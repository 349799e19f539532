//! The operators' command line.

mod commands;
mod control;
mod failure;
mod flags;
mod output;
mod platform;

use std::process::ExitCode;

use crate::failure::Exit;

fn main() -> ExitCode {
    let matches = commands::command().get_matches();
    let output = output::Output::from(&matches);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(commands::run(&matches, output)),
        Err(error) => Err(failure::Failure::new(Exit::Failed, error)),
    };
    match result {
        Ok(()) => Exit::Done.into(),
        Err(failure) => {
            output.print_failure(&failure);
            failure.exit.into()
        }
    }
}
