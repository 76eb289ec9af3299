//! The quotas of all organisations as one entry sees them.

use std::time::Duration;

use super::isolated_allowance::QuotaScope;
use super::organisation_quota::{OrganisationQuota, PermitRequest, QuotaDecision};
use super::request_urgency::RequestUrgency;
use crate::process::{FastMap, Moment, OrganisationName, QuotaAsk, QuotaTerms, QuotaVerdict};
use crate::version::RequestQuota;

/// The number of organisations above which those that this entry has no use for are dropped.
const IDLE_LIMIT: usize = 1_024;

/// How long after the last verdict this entry may admit requests on its own. Members of the cluster
/// are forgotten 600 s after they were lost, and its part of the allowance would grow then.
const ALLOWANCE_SPAN: Duration = Duration::from_secs(300);

/// The quotas of all organisations as one entry sees them. It makes decisions only; the caller sends
/// the asks and waits.
#[derive(Clone, Debug)]
pub struct QuotaTable {
    terms: QuotaTerms,
    /// The number of the last ask.
    number: u32,
    quotas: FastMap<OrganisationName, OrganisationQuota>,
    asks: Vec<QuotaAsk>,
    /// When the first and the last verdict arrived.
    answered: Option<(Moment, Moment)>,
    isolated_admissions: u64,
}

impl QuotaTable {
    /// Creates the table of an entry that has just started. `first_number` is a random number, so
    /// that a keeper does not take asks for those of the process before.
    #[must_use]
    pub fn new(terms: QuotaTerms, first_number: u32) -> Self {
        Self {
            terms,
            number: first_number,
            quotas: FastMap::default(),
            asks: Vec::new(),
            answered: None,
            isolated_admissions: 0,
        }
    }

    /// Decides on a request of an organisation.
    pub fn admit(
        &mut self,
        now: Moment,
        organisation: &OrganisationName,
        quota: RequestQuota,
        scope: &QuotaScope,
        request: PermitRequest,
    ) -> QuotaDecision {
        self.drop_idle(now);
        let allowance = self.allowance(now, quota);
        let terms = self.terms;
        let known = self.quota_of(organisation);
        let is_isolated = known.is_isolated(now);
        let decision = known.admit(now, &terms, allowance, (scope, organisation), request);
        if is_isolated {
            self.push_ask(now, organisation);
            self.isolated_admissions += u64::from(decision == QuotaDecision::Admit);
        }
        decision
    }

    /// Counts a request that begins to wait for a permit.
    pub fn begin_wait(
        &mut self,
        now: Moment,
        organisation: &OrganisationName,
        urgency: RequestUrgency,
    ) {
        let known = self.quota_of(organisation);
        known.begin_wait(urgency);
        self.push_ask(now, organisation);
    }

    /// Counts a request that no longer waits.
    pub fn end_wait(&mut self, organisation: &OrganisationName, urgency: RequestUrgency) {
        if let Some(known) = self.quotas.get_mut(organisation) {
            known.end_wait(urgency);
        }
    }

    /// Gives back a request that was admitted and has not run.
    pub fn give_back(&mut self, now: Moment, organisation: &OrganisationName) {
        self.quota_of(organisation).give_back(now);
    }

    /// Takes the verdict on an ask.
    pub fn receive(&mut self, now: Moment, verdict: &QuotaVerdict) {
        let first = self.answered.map_or(now, |(first, _)| first);
        self.answered = Some((first, now));
        self.quota_of(&verdict.organisation).receive(now, verdict);
    }

    /// Learns that no keeper of an organisation's account answers.
    pub fn isolate(&mut self, now: Moment, organisation: &OrganisationName) {
        self.quota_of(organisation).isolate(now);
    }

    /// Takes the asks to send.
    pub fn take_asks(&mut self) -> Vec<QuotaAsk> {
        std::mem::take(&mut self.asks)
    }

    /// Returns the requests that this entry has admitted while no keeper answered.
    #[must_use]
    pub fn isolated_admissions(&self) -> u64 {
        self.isolated_admissions
    }

    /// Returns the requests per window that all isolated entries may admit together. An entry that
    /// has just started may have admitted its part in the process before, and knows the others only
    /// after a while.
    fn allowance(&self, now: Moment, quota: RequestQuota) -> f32 {
        match self.answered {
            Some((first, last))
                if now.since(first) > self.terms.window && now.since(last) < ALLOWANCE_SPAN =>
            {
                self.terms.isolated_sum(quota)
            }
            _ => 0.0,
        }
    }

    /// Asks for permits, unless the verdict on an earlier ask is awaited.
    fn push_ask(&mut self, now: Moment, organisation: &OrganisationName) {
        let number = self.number.wrapping_add(1);
        if let Some(ask) = self.quota_of(organisation).take_ask(now, organisation, number) {
            self.number = number;
            self.asks.push(ask);
        }
    }

    fn quota_of(&mut self, organisation: &OrganisationName) -> &mut OrganisationQuota {
        if !self.quotas.contains_key(organisation) {
            self.quotas.insert(organisation.clone(), OrganisationQuota::default());
        }
        self.quotas.get_mut(organisation).expect("inserted above")
    }

    fn drop_idle(&mut self, now: Moment) {
        if self.quotas.len() > IDLE_LIMIT {
            self.quotas.retain(|_, quota| !quota.is_idle(now, self.terms.window));
        }
    }
}
