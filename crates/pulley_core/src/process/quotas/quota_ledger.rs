//! The accounts that one replica keeps.

use std::sync::Arc;
use std::time::Duration;

use super::quota_account::{LIMITED_SPAN, QuotaAccount};
use super::{FastMap, HostId, Moment, OrganisationName, QuotaReport, QuotaVerdict};
use crate::version::{PolicyPlan, RequestQuota};

/// The interval at which entries are told again which organisations' requests need permits.
pub(super) const REMINDER_INTERVAL: Duration = Duration::from_secs(1);

/// How long this host must have been the keeper of all reported accounts before one that it does not
/// know counts as unused. Until then another replica may have kept it.
const SETTLED_SPAN: Duration = Duration::from_secs(3);

/// How long an account is kept after its last use. By then it is full.
const ACCOUNT_RETENTION: Duration = Duration::from_secs(60);

// Entries must be reminded before they stop to demand permits, also if one reminder is lost.
const _: () = assert!(LIMITED_SPAN.as_millis() >= 2 * REMINDER_INTERVAL.as_millis());

/// The accounts that one replica keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct QuotaLedger {
    plan: Arc<PolicyPlan>,
    quotas: FastMap<OrganisationName, RequestQuota>,
    accounts: FastMap<OrganisationName, QuotaAccount>,
    /// Requests beyond its burst that an account lets pass.
    tolerance: f32,
    /// When the accounts that this replica keeps were last reassigned.
    reassigned_at: Moment,
}

impl QuotaLedger {
    pub(super) fn new(tolerance: f32) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Learns that the accounts are divided anew among the replicas, and drops those that are no
    /// longer kept here. If one of them returns, another replica has kept it meanwhile.
    pub(super) fn reassign(&mut self, now: Moment, is_kept: impl Fn(&OrganisationName) -> bool) {
        self.reassigned_at = now;
        self.accounts.retain(|name, _| is_kept(name));
    }

    /// Sets the plan in force.
    pub(super) fn set_plan(&mut self, now: Moment, plan: &Arc<PolicyPlan>) {
        if Arc::ptr_eq(&self.plan, plan) {
            return;
        }
        self.plan = Arc::clone(plan);
        let quotas = plan.organisations.iter();
        self.quotas = quotas.filter_map(|terms| Some((terms.name.clone(), terms.quota?))).collect();
        self.accounts.retain(|name, _| self.quotas.contains_key(name));
        for (name, account) in &mut self.accounts {
            account.set_quota(now, self.quotas[name], self.tolerance);
        }
    }

    /// Answers reports. Returns the verdicts, and the organisations whose requests need permits
    /// from now on. Organisations without a quota in the plan in force get no verdict.
    pub(super) fn answer(
        &mut self,
        now: Moment,
        from: &HostId,
        reports: &[QuotaReport],
    ) -> (Vec<QuotaVerdict>, Vec<OrganisationName>) {
        let (mut verdicts, mut limited) = (Vec::new(), Vec::new());
        for report in reports {
            let Some(quota) = self.quotas.get(&report.organisation) else { continue };
            let is_settled = now.since(self.reassigned_at) >= SETTLED_SPAN;
            let open = if is_settled { QuotaAccount::open } else { QuotaAccount::take_over };
            let account = self
                .accounts
                .entry(report.organisation.clone())
                .or_insert_with(|| open(now, *quota, self.tolerance));
            let (verdict, is_news) = account.answer(now, from, report);
            verdicts.push(verdict);
            if is_news {
                limited.push(report.organisation.clone());
            }
        }
        (verdicts, limited)
    }

    /// Returns the organisations whose requests need permits.
    pub(super) fn limited(&mut self, now: Moment) -> Vec<OrganisationName> {
        self.accounts.retain(|_, account| now.since(account.used_at) < ACCOUNT_RETENTION);
        self.accounts.values_mut().for_each(|account| account.refill(now));
        let limited = self.accounts.iter().filter(|(_, account)| account.is_limited());
        limited.map(|(name, _)| name.clone()).collect()
    }

    /// Whether any account is open.
    pub(super) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
