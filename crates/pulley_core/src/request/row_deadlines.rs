//! The deadlines of callers' first attempts at all rows, as one entry sees them.

use std::time::Duration;

use super::DeadlineRange;
use crate::process::{FastMap, KindName, Moment, ServiceName};
use crate::version::KindPlan;

/// Time without a refusal after which a row's requests count as first attempts. A caller makes its
/// second retry within this time after the first refusal of a burst.
const CALM_SPAN: Duration = Duration::from_secs(5);

/// The number of rows above which those without recent requests are dropped, and how long a row is
/// kept at least after its last request.
const ROW_LIMIT: usize = 1_024;
const ROW_RETENTION: Duration = Duration::from_secs(300);

/// The deadlines of one row's requests.
#[derive(Clone, Debug, Default)]
struct Row {
    range: DeadlineRange,
    used_at: Moment,
    /// When this entry last refused a request of the row.
    refused_at: Option<Moment>,
}

/// The deadlines of callers' first attempts at all rows, as one entry sees them.
#[derive(Clone, Debug, Default)]
pub struct RowDeadlines {
    rows: FastMap<(ServiceName, KindName), Row>,
}

impl RowDeadlines {
    /// Records the deadline of an arriving request as its caller sent it. Returns the age that the
    /// request has at least.
    pub fn record(&mut self, now: Moment, row: &KindPlan, deadline: Duration) -> Duration {
        let known = self.row_of(now, row);
        let is_calm = known.refused_at.is_none_or(|at| now.since(at) >= CALM_SPAN);
        let least_age = known.range.least_age(deadline);
        known.range.record(now, deadline, is_calm);
        least_age
    }

    /// Records that this entry has refused a request of a row.
    pub fn record_refusal(&mut self, now: Moment, row: &KindPlan) {
        self.row_of(now, row).refused_at = Some(now);
    }

    fn row_of(&mut self, now: Moment, row: &KindPlan) -> &mut Row {
        if self.rows.len() > ROW_LIMIT {
            self.rows.retain(|_, known| now.since(known.used_at) < ROW_RETENTION);
        }
        let known = self.rows.entry((row.service.clone(), row.kind.clone())).or_default();
        known.used_at = now;
        known
    }
}
