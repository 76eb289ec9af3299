//! Finds out whether an upstream has ended when a connection to it breaks.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{FastMap, UpstreamStart};
use slog::info;
use tokio::sync::OnceCell;

use super::upstream_links::UpstreamLinks;
use super::{LinkFault, UpstreamConnections, UpstreamTarget};

/// Time limit of a check. A connection to an upstream of the same region opens, or is refused, within
/// a few milliseconds. The next attempt at the request waits for the result.
const CHECK_TIMEOUT: Duration = Duration::from_millis(60);

/// How long a new connection must last to show that the upstream is alive, and the pause before
/// another one is opened where that is not known.
const CONFIRM_TIME: Duration = Duration::from_millis(10);
const RETRY_PAUSE: Duration = Duration::from_millis(2);

/// How long the result of a check holds for other connections to the same upstream that break.
const CHECK_VALIDITY: Duration = Duration::from_millis(100);

/// What is known of an upstream after a connection to it has broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndFinding {
    /// Nothing listens at its address any more.
    Ended,
    /// It accepts connections and keeps them. Only the one connection has ended.
    Alive,
    /// Neither is certain.
    Unknown,
}

impl EndFinding {
    /// Returns the finding as written in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Unknown => "unknown",
        }
    }
}

/// The checks of the last moments. Connections to one upstream that break together share a check.
#[derive(Debug, Default)]
pub(super) struct EndChecks {
    recent: FastMap<UpstreamStart, (Moment, Arc<OnceCell<EndFinding>>)>,
}

impl EndChecks {
    /// Returns the check of an upstream that holds now.
    fn current(&mut self, now: Moment, start: &UpstreamStart) -> Arc<OnceCell<EndFinding>> {
        self.recent.retain(|_, (began, _)| now.since(*began) < CHECK_VALIDITY);
        let (_, check) = self.recent.entry(start.clone()).or_insert_with(|| (now, Arc::default()));
        Arc::clone(check)
    }
}

impl UpstreamConnections {
    /// Finds out whether an upstream has ended, after a connection to it broke during a request.
    ///
    /// A process that ends takes its listening socket along, so that its machine refuses new
    /// connections. After a reset of one connection it still accepts others, and keeps them.
    pub async fn check_end(&self, target: &UpstreamTarget) -> EndFinding {
        let check = self.end_checks.lock().current(self.clock.now(), &target.start);
        *check.get_or_init(|| self.reconnect(target)).await
    }

    async fn reconnect(&self, target: &UpstreamTarget) -> EndFinding {
        let began = self.clock.now();
        let limit = began + CHECK_TIMEOUT;
        let links = self.links(&target.start.id, target.address);
        let mut tries = 0;
        let (finding, fault) = loop {
            tries += 1;
            let (finding, fault) = self.try_once(&links, limit).await;
            if finding != EndFinding::Unknown || self.clock.now() + CONFIRM_TIME >= limit {
                break (finding, fault);
            }
            let _ = self.timer.after(RETRY_PAUSE).await;
        };
        let took = self.clock.now().since(began);
        info!(self.logger, "upstream-check"; "upstream" => %target.start.id,
            "incarnation" => target.start.incarnation.0, "finding" => finding.as_str(),
            "fault" => fault.map(|fault| fault.to_string()), "tries" => tries,
            "took_us" => u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        finding
    }

    /// Opens a connection and watches for a moment whether it lasts. A process that ends closes its
    /// sockets one after the other, and its listening socket may be the last.
    async fn try_once(
        &self,
        links: &Arc<UpstreamLinks>,
        limit: Moment,
    ) -> (EndFinding, Option<LinkFault>) {
        let link = match links.open_for_check(limit).await {
            Ok(link) => link,
            Err(fault) if fault.is_refusal() => return (EndFinding::Ended, Some(fault)),
            Err(fault) => return (EndFinding::Unknown, Some(fault)),
        };
        let _ = self.timer.after(CONFIRM_TIME).await;
        if link.is_closed() {
            return (EndFinding::Unknown, Some(LinkFault::ClosedUnsent));
        }
        link.give_back();
        (EndFinding::Alive, None)
    }
}
