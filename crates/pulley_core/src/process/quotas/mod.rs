//! Quotas of organisations, which all hosts together keep to.
//!
//! A replica, the keeper, has the account of each organisation. Every request needs a permit, which
//! the keeper charges to the account before it answers. The voters of the replicated log find out by
//! heartbeats which of them keeps an account.

mod account_ranking;
mod account_tenure;
mod ask_forwarder;
mod ask_round;
mod ask_route;
mod keeper_beat;
mod keeper_watch;
mod peer_paths;
mod permit_order;
mod quota_account;
mod quota_exchange;
mod quota_ledger;
mod quota_message;
mod quota_terms;
mod refusal_span;
mod replica_paths;
mod watched_voter;

pub use account_tenure::AccountTenure;
pub use keeper_beat::{HeardBeat, KeeperBeat};
pub use keeper_watch::{KeeperStanding, KeeperWatch};
pub use quota_exchange::{AccountStatus, QuotaCounts, QuotaExchange, QuotaOutput};
pub use quota_ledger::QuotaLedger;
pub use quota_message::{QUOTA_BODY_LIMIT, QuotaAnswer, QuotaAsk, QuotaVerdict};
pub use quota_terms::QuotaTerms;

use super::limits::PermitBucket;
use super::members::encoded;
use super::{FastMap, FastSet, HostId, Moment, OrganisationName, stable_hash};
