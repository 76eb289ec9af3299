//! The signals that stop the process or announce changed files.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::connection::TrafficThreads;

/// The result of registering for signals.
type Result<T> = std::result::Result<T, io::Error>;

/// Receives the signals of the process.
///
/// Register before the daemon starts: a signal without a handler ends the process at once, with all
/// requests that it has read.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl ProcessSignals {
    /// Registers for the signals. They are received on the given threads.
    ///
    /// # Errors
    /// The operating system's error if a handler cannot be installed.
    pub fn register(threads: &TrafficThreads) -> Result<Self> {
        let _context = threads.handle().enter();
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for `SIGTERM` or `SIGINT`.
    pub async fn stop_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for the next signal. Returns whether it asks the process to stop; if not, it announces
    /// changed files.
    pub async fn next_is_stop(&mut self) -> bool {
        tokio::select! {
            _ = self.terminate.recv() => true,
            _ = self.interrupt.recv() => true,
            _ = self.hang_up.recv() => false,
        }
    }
}
