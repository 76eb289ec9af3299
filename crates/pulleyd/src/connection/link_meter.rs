//! Tracks exactly whether any byte of a request was written to its connection.

use std::io;
use std::sync::Arc;

use parking_lot::Mutex;

#[derive(Debug, Default)]
struct MeterState {
    written: u64,
    request_start: u64,
    requests: u64,
    sealed: bool,
}

/// Counts the bytes written to one connection and can forbid further writes permanently.
///
/// A request whose connection fails, or whose deadline passes while it is being sent, may be
/// reported as "not run" only if no byte of it was written. Reading the counter alone would race
/// with the task that writes. [`Self::seal`] first forbids further writes, under the lock that each
/// write holds, so its result stays true.
#[derive(Clone, Debug, Default)]
pub struct LinkMeter {
    state: Arc<Mutex<MeterState>>,
}

impl LinkMeter {
    /// Marks the start of a request.
    pub fn begin_request(&self) {
        let mut state = self.state.lock();
        state.request_start = state.written;
        state.requests += 1;
    }

    /// Returns the number of requests that have been started.
    pub(super) fn requests(&self) -> u64 {
        self.state.lock().requests
    }

    /// Forbids further writes. Returns whether any byte of the current request was written.
    #[must_use]
    pub fn seal(&self) -> bool {
        let mut state = self.state.lock();
        state.sealed = true;
        state.written > state.request_start
    }

    /// Runs one write and counts it, unless the meter is sealed.
    ///
    /// # Errors
    /// The error of the write, or `BrokenPipe` once sealed.
    pub(super) fn write<P>(
        &self,
        sealed: impl FnOnce(io::Error) -> P,
        write: impl FnOnce() -> P,
        written: impl FnOnce(&P) -> usize,
    ) -> P {
        let mut state = self.state.lock();
        if state.sealed {
            return sealed(io::ErrorKind::BrokenPipe.into());
        }
        let polled = write();
        state.written += written(&polled) as u64;
        polled
    }
}
