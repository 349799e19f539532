//! The relay beside each backend server on the users' platform.

mod flags;
mod log_output;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use balsamfold::process::events::relay as events;
use balsamfold::process::relay::RelayDaemon;
use balsamfold::process::relay::RelaySettings;
use balsamfold_platform::PlatformStore;
use balsamfold_platform::protocol;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code after a failure while running.
const EXIT_FAILED: u8 = 1;
/// Exit code for a wrong flag or setting.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let matches = flags::command().get_matches();
    let log = log_output::start(&matches);
    let path = flags::settings_path(&matches);
    let code = match read_settings(&path) {
        Ok(settings) => run(settings),
        Err(error) => {
            events::SETTINGS_REFUSED.log(format_args!("path={} {error}", path.display()));
            eprintln!("error: {}: {error}", path.display());
            eprintln!("hint: the file's form is described in docs/relay-settings.md");
            ExitCode::from(EXIT_USAGE)
        }
    };
    log.flush();
    code
}

fn read_settings(path: &Path) -> Result<RelaySettings, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    RelaySettings::parse(&text).map_err(|error| error.to_string())
}

fn run(settings: RelaySettings) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Serves until a signal asks for a planned stop.
async fn serve(settings: RelaySettings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let store = Arc::new(PlatformStore::new(settings.raw.store_address));
    let daemon = RelayDaemon::start(settings, protocol(), store).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
