//! The process beside each backend server.

mod flags;
mod logging;

use std::process::ExitCode;

use balsamfold::process::events::process as events;
use balsamfold::process::node::NodeDaemon;
use balsamfold::process::settings::NodeSettings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code after a failure while running.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid flag or setting.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let matches = flags::command().get_matches();
    logging::start(&matches);
    let settings = match flags::settings(&matches) {
        Ok(settings) => settings,
        Err(error) => {
            events::SETTINGS_INVALID.log(&error);
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(flags::workers(&matches))
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            events::LISTEN_FAILED.log(&error);
            eprintln!("error: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs the node until a signal or a control call requests a planned stop.
async fn run(settings: NodeSettings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = NodeDaemon::start(settings).await?;
    println!("{}", daemon.ready_line());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.drain_requested() => {}
    }
    daemon.stop().await;
    Ok(())
}
