//! Logs requests that end without a whole answer while the host shuts down.

use std::sync::Arc;

use pulley_core::Moment;
use pulley_core::process::KindName;
use slog::info;
use smol_str::SmolStr;

use super::TrafficContext;

/// Logs a request that is dropped before its answer was passed on whole, if the host shuts down. From
/// the log a caller's missing answer can then be traced to the end of the host, or to the caller's own.
#[derive(Debug)]
pub(super) struct CutNotice {
    context: Arc<TrafficContext>,
    id: Option<SmolStr>,
    kind: KindName,
    arrived: Moment,
    is_whole: bool,
}

impl CutNotice {
    /// Creates a notice for a request that is in progress.
    pub(super) fn new(
        context: Arc<TrafficContext>,
        id: Option<&str>,
        kind: &KindName,
        arrived: Moment,
    ) -> Self {
        Self { context, id: id.map(SmolStr::new), kind: kind.clone(), arrived, is_whole: false }
    }

    /// Records that nothing of the answer is left to be passed on.
    pub(super) fn answered(&mut self) {
        self.is_whole = true;
    }
}

impl Drop for CutNotice {
    fn drop(&mut self) {
        let Some(schedule) = self.context.shutdown.schedule() else { return };
        if self.is_whole {
            return;
        }
        let now = self.context.clock.now();
        let held = u64::try_from(now.since(self.arrived).as_millis()).unwrap_or(u64::MAX);
        info!(self.context.logger, "request-cut"; "id" => self.id.as_deref(),
            "kind" => %self.kind, "held_ms" => held, "by_end" => now >= schedule.ends_at());
    }
}
