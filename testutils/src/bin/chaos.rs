//! Starts a fleet of processes, injects failures one after another and then in pairs while callers
//! send and resend requests, checks the invariants and prints a table. The argument is the seed.
//! Ends with exit code 1 if a check failed.

use std::process::ExitCode;

use testutils::chaos::ChaosPlan;
use testutils::chaos::run_chaos;
use testutils::mesh::Programs;
use testutils::mesh::wait_for_stop_signal;

const SEED_DEFAULT: u64 = 1;

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let seed = match std::env::args().nth(1) {
        Some(text) => text.parse()?,
        None => SEED_DEFAULT,
    };
    let programs = Programs::build()?;
    println!("seed {seed}");
    let breaches = tokio::select! {
        breaches = run_chaos(&programs, ChaosPlan::all(seed)) => breaches?,
        () = wait_for_stop_signal() => return Ok(ExitCode::FAILURE),
    };
    match breaches {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::FAILURE),
    }
}
