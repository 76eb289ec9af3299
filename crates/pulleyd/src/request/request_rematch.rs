//! Matching a request again after a new plan has renamed or moved its row.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::version::KindPlan;
use pulley_core::{IndexedPlan, RequestVerdict};
use slog::info;

use super::request_forwarder::requested_host;
use super::request_run::{PlannedKind, RequestRun};

/// How long a request waits until requests are both matched and scheduled by the same plan. The
/// schedulers receive a plan a moment before the requests do.
const SAME_PLAN_WAIT: Duration = Duration::from_millis(100);

/// The interval at which it checks again.
const SAME_PLAN_POLL_INTERVAL: Duration = Duration::from_millis(2);

impl RequestRun {
    /// Finds the request's row in the plan in force, after its former row has left its pool. Returns
    /// false if there is none that it may use.
    ///
    /// The load is a change that splits a route between services, or ends a split, while requests
    /// wait for a slot or probe upstreams. The rows get other names, and these requests were refused
    /// although the plan still serves them. Organisation, deadline and the count of attempts are
    /// kept.
    pub(super) async fn match_again(&mut self) -> bool {
        let context = Arc::clone(self.context());
        let until = (context.clock.now() + SAME_PLAN_WAIT).min(self.terms.deadline);
        loop {
            let plan = Arc::clone(&context.view.load().plan);
            let is_newer = !Arc::ptr_eq(&plan, &self.kind.plan);
            match self.find_row(&plan) {
                Some(row) if context.schedulers.current_row(&plan, row).is_some() => {
                    let kind = PlannedKind::new(plan, row);
                    info!(context.logger, "request-matched-again"; "id" => self.id(),
                        "former_kind" => %self.row().kind, "kind" => %kind.row().kind,
                        "service" => %kind.row().service, "pool" => %kind.row().pool);
                    self.kind = kind;
                    return true;
                }
                None if is_newer => return false,
                _ => {}
            }
            if context.clock.now() + SAME_PLAN_POLL_INTERVAL >= until {
                return false;
            }
            let _ = context.timer.after(SAME_PLAN_POLL_INTERVAL).await;
        }
    }

    fn find_row(&self, plan: &IndexedPlan) -> Option<usize> {
        let host = requested_host(&self.parts.uri, &self.parts.headers);
        let (method, path) = (self.parts.method.as_str(), self.parts.uri.path());
        let (index, row) = plan.find(host, method, path, rand::random())?;
        let may_continue =
            self.may_use(plan, row) && self.is_repeatable_as(row) && self.keeps_claim(row);
        may_continue.then_some(index)
    }

    /// Whether the key that the request carried still allows it to use a row.
    fn may_use(&self, plan: &IndexedPlan, row: &KindPlan) -> bool {
        let holds_key = || self.organisation().is_some_and(|caller| caller.holds_key(plan));
        !plan.needs_key(row) || (self.context().view.keys_valid() && holds_key())
    }

    /// Whether a claim on the request's idempotency key covers another row. The ledger holds keys by
    /// service and kind: a resend under the new names would be granted a second claim.
    fn keeps_claim(&self, row: &KindPlan) -> bool {
        let former = self.row();
        let is_same = former.service == row.service && former.kind == row.kind;
        is_same || !self.has_claim()
    }

    /// Whether the request may be sent as one of another row. A request that was taken as idempotent
    /// has claimed no key, and may have been sent already.
    fn is_repeatable_as(&self, row: &KindPlan) -> bool {
        let is_unsent = self.verdict == RequestVerdict::NotRun;
        match self.row().idempotent {
            true => row.idempotent,
            false => is_unsent,
        }
    }
}
