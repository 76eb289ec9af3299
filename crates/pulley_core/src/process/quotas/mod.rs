//! Quotas of organisations, which all hosts together keep to.
//!
//! A replica keeps the account of each organisation. Entries admit an organisation's requests at
//! once and report them. When the account runs low, the replica tells every entry, and from then on
//! requests need permits from it.

mod account_ranking;
mod quota_account;
mod quota_exchange;
mod quota_ledger;
mod quota_message;

pub use quota_exchange::{QuotaExchange, QuotaOutput};
pub use quota_message::{QUOTA_BODY_LIMIT, QuotaReport, QuotaVerdict};

use super::limits::PermitBucket;
use super::members::encoded;
use super::{FastMap, HostId, Moment, OrganisationName, stable_hash};
