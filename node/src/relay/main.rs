//! The relay process beside each backend server on the users' platform.

mod allocator;
mod flags;
mod log_output;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use balsamfold::process::events::relay as events;
use balsamfold::process::relay::RelayDaemon;
use balsamfold::process::relay::RelaySettings;
use balsamfold_platform::PlatformStore;
use balsamfold_platform::protocol;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code after a failure while running.
const EXIT_FAILED: u8 = 1;
/// Time between two checks whether the settings file changed without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(5);
/// Exit code for an invalid flag or setting.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    allocator::set_up();
    let matches = flags::command().get_matches();
    let log = log_output::start(&matches);
    let path = flags::settings_path(&matches);
    let code = match read_settings(&path) {
        Ok(settings) => run(settings, &path),
        Err(error) => {
            events::SETTINGS_REFUSED.log(format_args!("path={} {error}", path.display()));
            eprintln!("error: {}: {error}", path.display());
            eprintln!("hint: the format of the file is described in docs/relay-settings.md");
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

fn run(settings: RelaySettings, path: &Path) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(serve(settings, path)),
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

/// Serves until a signal requests a planned stop.
async fn serve(settings: RelaySettings, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut poll = tokio::time::interval(SETTINGS_POLL_PERIOD);
    let store = Arc::new(PlatformStore::new(settings.raw.store_address));
    let daemon = RelayDaemon::start(settings, protocol(), store).await?;
    let mut text = std::fs::read_to_string(path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&daemon, path, &mut text),
            _ = poll.tick() => reload(&daemon, path, &mut text),
        }
    }
    daemon.stop().await;
    Ok(())
}

/// Applies the settings that can change at runtime, if the text of the settings file changed.
fn reload(daemon: &RelayDaemon, path: &Path, known: &mut String) {
    let text = match std::fs::read_to_string(path) {
        Ok(text) if text == *known => return,
        Ok(text) => text,
        Err(error) => {
            events::SETTINGS_REFUSED.log(format_args!("path={} {error}", path.display()));
            return;
        }
    };
    match RelaySettings::parse(&text) {
        Ok(settings) => daemon.node().reload(settings),
        Err(error) => {
            events::SETTINGS_REFUSED.log(format_args!("path={} {error}", path.display()));
        }
    }
    // An invalid file is reported once, not at each check.
    *known = text;
}
