//! Tells the traffic side that the process shuts down.

use std::sync::{Arc, OnceLock};

use pulley_core::process::ShutdownSchedule;
use tokio::sync::Notify;

/// The schedule of the process's shutdown, once it has begun. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ShutdownCell {
    state: Arc<ShutdownState>,
}

#[derive(Debug, Default)]
struct ShutdownState {
    schedule: OnceLock<ShutdownSchedule>,
    begun: Notify,
}

impl ShutdownCell {
    /// Begins the shutdown. Only the first call has an effect.
    pub fn begin(&self, schedule: ShutdownSchedule) {
        if self.state.schedule.set(schedule).is_ok() {
            self.state.begun.notify_waiters();
        }
    }

    /// Returns the schedule; `None` before the shutdown.
    #[must_use]
    pub fn schedule(&self) -> Option<ShutdownSchedule> {
        self.state.schedule.get().copied()
    }

    /// Whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.state.schedule.get().is_some()
    }

    /// Waits until the shutdown has begun.
    pub async fn wait(&self) -> ShutdownSchedule {
        loop {
            // Registered before the check, so that a shutdown that begins in between wakes it.
            let mut begun = std::pin::pin!(self.state.begun.notified());
            begun.as_mut().enable();
            if let Some(schedule) = self.schedule() {
                return schedule;
            }
            begun.await;
        }
    }
}
