//! Knows exactly whether any byte of a request has left.

use std::io;
use std::sync::Arc;

use parking_lot::Mutex;

#[derive(Debug, Default)]
struct MeterState {
    written: u64,
    request_start: u64,
    sealed: bool,
}

/// Counts what is written to one connection and can stop it for good.
///
/// A request whose connection fails, or whose time is up while it is being sent, may say "not run"
/// only if no byte of it has left. Asking the counter alone would race with the task that writes;
/// [`Self::seal`] first forbids any further write, under the lock that each write holds, so its
/// answer stays true.
#[derive(Clone, Debug, Default)]
pub struct LinkMeter {
    state: Arc<Mutex<MeterState>>,
}

impl LinkMeter {
    /// Marks the start of a request.
    pub fn begin_request(&self) {
        let mut state = self.state.lock();
        state.request_start = state.written;
    }

    /// Forbids further writes and says whether any byte of the current request has left.
    #[must_use]
    pub fn seal(&self) -> bool {
        let mut state = self.state.lock();
        state.sealed = true;
        state.written > state.request_start
    }

    /// Runs one write and counts it, unless the meter is sealed.
    ///
    /// # Errors
    /// The write's, or `BrokenPipe` once sealed.
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
