//! The daemon's binary: parses the settings and runs until a signal stops it.

use std::process::ExitCode;

use pulleyd::process::{Daemon, DaemonSettings, EventLog, SettingsRequest};
use slog::{Logger, error, info};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for invalid settings. Nothing was started or written.
const EXIT_USAGE: u8 = 2;
/// Exit code if the daemon could not start, or cut connections off when it stopped.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let settings = match DaemonSettings::parse(arguments(), variables()) {
        Ok(SettingsRequest::Run(settings)) => *settings,
        Ok(SettingsRequest::Check(settings)) => {
            print!("{settings}");
            return ExitCode::SUCCESS;
        }
        Ok(SettingsRequest::Help(text) | SettingsRequest::Version(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let (logger, _guard) = EventLog::start(settings.log_level);
    run(settings, &logger)
}

/// Returns the arguments. Bytes that are not UTF-8 are replaced: such an argument cannot be a
/// setting and is reported as a fault like any other.
fn arguments() -> impl Iterator<Item = String> {
    std::env::args_os().skip(1).map(|argument| argument.to_string_lossy().into_owned())
}

/// Returns the environment variables. Bytes that are not UTF-8 are replaced, because another
/// program's variable must not prevent the start.
fn variables() -> impl Iterator<Item = (String, String)> {
    let lossy = |text: std::ffi::OsString| text.to_string_lossy().into_owned();
    std::env::vars_os().map(move |(name, value)| (lossy(name), lossy(value)))
}

fn run(settings: DaemonSettings, logger: &Logger) -> ExitCode {
    let daemon = match Daemon::start(settings, logger.clone()) {
        Ok(daemon) => daemon,
        Err(fault) => {
            error!(logger, "start-failed"; "error" => %fault);
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let signals = daemon.runtime().block_on(async { (terminate(), interrupt(), hang_up()) });
    let (Ok(mut terminate), Ok(mut interrupt), Ok(hang_up)) = signals else {
        error!(logger, "start-failed"; "error" => "signals cannot be received");
        return ExitCode::from(EXIT_FAILED);
    };
    let reloads = daemon.runtime().spawn(log_reload_requests(hang_up, logger.clone()));
    daemon.runtime().block_on(async { first_signal(&mut terminate, &mut interrupt).await });
    info!(logger, "signal-received");
    let cut = daemon.shut_down(async move { first_signal(&mut terminate, &mut interrupt).await });
    reloads.abort();
    if cut > 0 { ExitCode::from(EXIT_FAILED) } else { ExitCode::SUCCESS }
}

fn terminate() -> std::io::Result<Signal> {
    signal(SignalKind::terminate())
}

fn interrupt() -> std::io::Result<Signal> {
    signal(SignalKind::interrupt())
}

fn hang_up() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Logs reload signals. They need no other action, because the secret file, the only file that may
/// change while the daemon runs, is checked every few seconds. Without a handler the signal would
/// end the process.
async fn log_reload_requests(mut hang_up: Signal, logger: Logger) {
    while hang_up.recv().await.is_some() {
        info!(logger, "reload-requested");
    }
}

async fn first_signal(one: &mut Signal, other: &mut Signal) {
    tokio::select! {
        _ = one.recv() => {}
        _ = other.recv() => {}
    }
}
