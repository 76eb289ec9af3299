//! The quotas of all organisations as one entry sees them.

use std::time::Duration;

use super::organisation_quota::{OrganisationQuota, QuotaDecision};
use crate::process::{FastMap, Moment, OrganisationName, QuotaReport, QuotaVerdict};
use crate::version::RequestQuota;

/// The number of organisations above which those that this entry has no use for are dropped.
const IDLE_LIMIT: usize = 1_024;

/// The quotas of all organisations as one entry sees them. It makes decisions only; the caller sends
/// the reports and waits.
#[derive(Clone, Debug, Default)]
pub struct QuotaTable {
    quotas: FastMap<OrganisationName, OrganisationQuota>,
    reports: Vec<QuotaReport>,
}

impl QuotaTable {
    /// Decides on a request of an organisation. `entries` is the number of entries that share its
    /// quota.
    pub fn admit(
        &mut self,
        now: Moment,
        organisation: &OrganisationName,
        quota: RequestQuota,
        entries: u32,
    ) -> QuotaDecision {
        self.drop_idle(now);
        let known = self.quota_of(now, organisation);
        let decision = known.admit(now, quota, entries);
        let report = known.take_report(now, organisation);
        self.reports.extend(report);
        decision
    }

    /// Counts a request that begins to wait for a permit.
    pub fn begin_wait(&mut self, now: Moment, organisation: &OrganisationName) {
        let known = self.quota_of(now, organisation);
        known.begin_wait(now);
        let report = known.take_report(now, organisation);
        self.reports.extend(report);
    }

    /// Counts a request that no longer waits.
    pub fn end_wait(&mut self, organisation: &OrganisationName) {
        if let Some(known) = self.quotas.get_mut(organisation) {
            known.end_wait();
        }
    }

    /// Gives back a request that was admitted and has not run.
    pub fn give_back(&mut self, now: Moment, organisation: &OrganisationName) {
        let known = self.quota_of(now, organisation);
        known.give_back();
        let report = known.take_report(now, organisation);
        self.reports.extend(report);
    }

    /// Takes the answer to a report.
    pub fn receive(&mut self, now: Moment, verdict: &QuotaVerdict) {
        self.quota_of(now, &verdict.organisation).receive(now, verdict);
    }

    /// Learns that organisations need permits for a time.
    pub fn limit(&mut self, now: Moment, organisations: &[OrganisationName], span: Duration) {
        for organisation in organisations {
            self.quota_of(now, organisation).limit(now, span);
        }
    }

    /// Takes the reports to send.
    pub fn take_reports(&mut self) -> Vec<QuotaReport> {
        std::mem::take(&mut self.reports)
    }

    fn quota_of(&mut self, now: Moment, organisation: &OrganisationName) -> &mut OrganisationQuota {
        if !self.quotas.contains_key(organisation) {
            self.quotas.insert(organisation.clone(), OrganisationQuota::new(now));
        }
        self.quotas.get_mut(organisation).expect("inserted above")
    }

    fn drop_idle(&mut self, now: Moment) {
        if self.quotas.len() > IDLE_LIMIT {
            self.quotas.retain(|_, quota| !quota.is_idle(now));
        }
    }
}
