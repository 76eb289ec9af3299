//! What becomes of organisations' requests on one host.

use std::sync::Arc;

use parking_lot::Mutex;
use prometheus::{IntCounterVec, Opts};
use pulley_core::RefusalCause;
use pulley_core::process::{FastSet, OrganisationName};

use super::process_metrics::Result;

/// The number of organisations with series of their own. All others share one.
const ORGANISATION_LIMIT: usize = 256;

/// The name under which further organisations are counted. It cannot be that of an organisation.
const OTHERS: &str = "(others)";

/// The outcome of requests that an upstream answered, and of those that this host refused for
/// another cause than the quota.
const ANSWERED: &str = "answered";
const REFUSED: &str = "refused";

/// What has become of an organisation's requests on one host since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrganisationRequests {
    /// Requests that an upstream answered.
    pub answered: u64,
    /// Requests that this host refused for other causes.
    pub refused: u64,
    /// Requests that this host refused because the organisation was over its quota.
    pub over_quota: u64,
}

/// The metrics of organisations. Names come from the sheet, and their number is bounded.
#[derive(Clone, Debug)]
pub(super) struct OrganisationMetrics {
    requests: IntCounterVec,
    known: Arc<Mutex<FastSet<OrganisationName>>>,
}

impl OrganisationMetrics {
    pub(super) fn new() -> Result<Self> {
        let requests = IntCounterVec::new(
            Opts::new("pulley_organisation_requests_total", "Requests of organisations."),
            &["organisation", "outcome"],
        )?;
        Ok(Self { requests, known: Arc::default() })
    }

    pub(super) fn series(&self) -> IntCounterVec {
        self.requests.clone()
    }

    pub(super) fn record(&self, name: &OrganisationName, cause: Option<&'static str>) {
        let outcome = match cause {
            None => ANSWERED,
            Some(cause) if cause == RefusalCause::OverQuota.as_str() => cause,
            Some(_) => REFUSED,
        };
        self.requests.with_label_values(&[self.label(name), outcome]).inc();
    }

    pub(super) fn requests(&self, name: &OrganisationName) -> OrganisationRequests {
        if !self.known.lock().contains(name) {
            return OrganisationRequests::default();
        }
        let count = |outcome| self.requests.with_label_values(&[name.as_str(), outcome]).get();
        OrganisationRequests {
            answered: count(ANSWERED),
            refused: count(REFUSED),
            over_quota: count(RefusalCause::OverQuota.as_str()),
        }
    }

    fn label<'a>(&self, name: &'a OrganisationName) -> &'a str {
        let mut known = self.known.lock();
        if known.contains(name) {
            return name.as_str();
        }
        if known.len() >= ORGANISATION_LIMIT {
            return OTHERS;
        }
        known.insert(name.clone());
        name.as_str()
    }
}
