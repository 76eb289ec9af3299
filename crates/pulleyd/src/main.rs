//! The daemon's binary: parses the settings and runs until a signal stops it.

use std::process::ExitCode;

use pulleyd::connection::TrafficThreads;
use pulleyd::process::{
    Daemon, DaemonResult, DaemonSettings, EventLog, ProcessSignals, SettingsRequest,
};
use slog::{Logger, error, info};

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
    match start(settings, logger) {
        Ok((daemon, signals)) => serve(daemon, signals, logger),
        Err(fault) => {
            error!(logger, "start-failed"; "error" => %fault);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn start(settings: DaemonSettings, logger: &Logger) -> DaemonResult<(Daemon, ProcessSignals)> {
    let threads = TrafficThreads::start(settings.traffic_threads)?;
    let signals = ProcessSignals::register(&threads)?;
    Ok((Daemon::start(settings, threads, logger.clone())?, signals))
}

/// Serves until a signal stops the daemon.
fn serve(daemon: Daemon, mut signals: ProcessSignals, logger: &Logger) -> ExitCode {
    daemon.runtime().block_on(async {
        // The secret file, the only file that may change while the daemon runs, is checked every few
        // seconds, so that a reload signal needs no other action.
        while !signals.next_is_stop().await {
            info!(logger, "reload-requested");
        }
    });
    info!(logger, "signal-received");
    let cut = daemon.shut_down(async move { signals.stop_requested().await });
    if cut > 0 { ExitCode::from(EXIT_FAILED) } else { ExitCode::SUCCESS }
}
