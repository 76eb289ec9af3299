//! Since when a replica has served an account.

use std::time::Duration;

use super::Moment;

/// Since when a replica has served an account, and how calm the time before was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountTenure {
    /// Since when it has served the account without interruption.
    pub since: Moment,
    /// Since when this process has run, and at most two other voters have been down or have
    /// restarted. Before that, more than two others may have served the account.
    pub calm_since: Moment,
    /// How long before it no replica can have served any account, at least.
    pub unserved: Duration,
}
