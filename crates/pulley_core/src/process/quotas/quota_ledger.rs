//! The accounts that one replica keeps.

use std::sync::Arc;
use std::time::Duration;

use super::quota_account::QuotaAccount;
use super::{
    AccountTenure, FastMap, HostId, Moment, OrganisationName, QuotaAnswer, QuotaAsk, QuotaTerms,
    QuotaVerdict,
};
use crate::version::{PolicyPlan, RequestQuota};

/// The interval at which accounts are dropped that need not be remembered.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// The accounts that one replica keeps or has kept recently.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    terms: QuotaTerms,
    plan: Arc<PolicyPlan>,
    quotas: FastMap<OrganisationName, RequestQuota>,
    accounts: FastMap<OrganisationName, QuotaAccount>,
    pruned_at: Moment,
}

impl QuotaLedger {
    /// Creates the ledger of a replica that has just started.
    #[must_use]
    pub fn new(terms: QuotaTerms) -> Self {
        Self { terms, ..Self::default() }
    }

    /// Sets the plan in force.
    pub fn set_plan(&mut self, now: Moment, plan: &Arc<PolicyPlan>) {
        if Arc::ptr_eq(&self.plan, plan) {
            return;
        }
        self.plan = Arc::clone(plan);
        let quotas = plan.organisations.iter();
        self.quotas = quotas.filter_map(|terms| Some((terms.name.clone(), terms.quota?))).collect();
        self.accounts.retain(|name, _| self.quotas.contains_key(name));
        for (name, account) in &mut self.accounts {
            account.set_quota(now, self.quotas[name], &self.terms);
        }
    }

    /// Answers permit requests of an entry. `serves_since` tells since when this replica has served
    /// an organisation's account, `None` if it doesn't, as
    /// [`KeeperWatch::serves_since`](super::KeeperWatch::serves_since) does. An organisation without
    /// a quota in the plan in force gets no verdict: the entry has a newer plan and will ask again.
    pub fn answer(
        &mut self,
        now: Moment,
        from: &HostId,
        asks: &[QuotaAsk],
        serves_since: impl Fn(&OrganisationName) -> Option<AccountTenure>,
    ) -> Vec<QuotaVerdict> {
        self.prune(now);
        let verdict = |ask: &QuotaAsk| {
            let answer = match serves_since(&ask.organisation) {
                Some(tenure) => self.charge(now, from, ask, tenure)?,
                None => QuotaAnswer::NotKeeper,
            };
            let (organisation, number) = (ask.organisation.clone(), ask.number);
            Some(QuotaVerdict { organisation, number, answer })
        };
        asks.iter().filter_map(verdict).collect()
    }

    /// Returns the accounts that this replica has served within the last window, and since when.
    pub fn kept(&self, now: Moment) -> impl Iterator<Item = (&OrganisationName, Moment)> {
        let since = move |account: &QuotaAccount| account.kept_since(now, &self.terms);
        self.accounts.iter().filter_map(move |(name, account)| Some((name, since(account)?)))
    }

    fn charge(
        &mut self,
        now: Moment,
        from: &HostId,
        ask: &QuotaAsk,
        tenure: AccountTenure,
    ) -> Option<QuotaAnswer> {
        let quota = *self.quotas.get(&ask.organisation)?;
        let open = || QuotaAccount::open(now, quota, &self.terms, tenure);
        let account = self.accounts.entry(ask.organisation.clone()).or_insert_with(open);
        account.keep(now, &self.terms, tenure);
        account.answer(now, from, ask)
    }

    fn prune(&mut self, now: Moment) {
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.accounts.retain(|_, account| !account.is_forgettable(now, &self.terms));
        }
    }
}
