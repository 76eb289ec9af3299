//! Finds out whether an upstream has ended when a connection to it breaks.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{FastMap, UpstreamStart};
use pulley_core::{Moment, PoolName};
use slog::info;
use tokio::sync::OnceCell;

use super::upstream_links::UpstreamLinks;
use super::{LinkFault, Unused, UpstreamConnections, UpstreamLink, UpstreamTarget};

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
    /// It has answered over a connection that is older than the break. Only the one connection has
    /// ended.
    Alive,
    /// It accepts new connections and keeps them. So does a later start of it, or a supervisor that
    /// keeps its listening socket.
    Accepts,
    /// Nothing is certain.
    Unknown,
}

impl EndFinding {
    /// Returns the finding as written in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Accepts => "accepts",
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
    /// A process that ends takes its connections along, and mostly its listening socket, so that its
    /// machine refuses new connections. After a reset of one connection it keeps the others.
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
            let (finding, fault) = self.try_once(&links, target, began, limit).await;
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
        target: &UpstreamTarget,
        broken_at: Moment,
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
        let is_alive = self.answers_over_older(links, target, broken_at, limit).await;
        (if is_alive { EndFinding::Alive } else { EndFinding::Accepts }, None)
    }

    /// Whether an upstream answers a probe over an idle connection that is older than a break. A later
    /// start of it has no such connection, and a machine that has stopped leaves it open.
    async fn answers_over_older(
        &self,
        links: &Arc<UpstreamLinks>,
        target: &UpstreamTarget,
        broken_at: Moment,
        limit: Moment,
    ) -> bool {
        let Some(pool) = links.pool() else { return false };
        let Some(link) = links.take_idle_opened_before(broken_at) else { return false };
        let proven = self.prove(pool, target, link, limit).await;
        let is_alive = proven.is_some();
        proven.into_iter().for_each(UpstreamLink::<Unused>::give_back);
        is_alive
    }

    /// Finds out whether an upstream that has left a request unanswered answers a probe.
    pub async fn check_answer(&self, pool: &PoolName, target: &UpstreamTarget) -> EndFinding {
        let limit = self.clock.now() + CHECK_TIMEOUT;
        let links = self.links(&target.start.id, target.address);
        let link = match links.open_for_check(limit).await {
            Ok(link) => link,
            Err(fault) if fault.is_refusal() => return EndFinding::Ended,
            Err(_) => return EndFinding::Unknown,
        };
        match self.prove(pool, target, link, limit).await {
            Some(link) => {
                link.give_back();
                EndFinding::Alive
            }
            None => EndFinding::Unknown,
        }
    }

    /// Probes an upstream over a connection, which proves that the upstream is alive and reads what
    /// is sent over it. Returns the connection if it has answered by the time limit.
    pub async fn prove(
        &self,
        pool: &PoolName,
        target: &UpstreamTarget,
        link: UpstreamLink<Unused>,
        limit: Moment,
    ) -> Option<UpstreamLink<Unused>> {
        let links = self.links(&target.start.id, target.address);
        let request = links.probe_request(&self.probe_path(&links))?;
        if self.send_block(pool, target).is_some() {
            link.give_back();
            return None;
        }
        let (parts, link) = self.timer.run_until(limit, link.probe(request)).await.flatten()?;
        let source = (pool, &target.start);
        let stops = self.observe_stops(source, parts.status, &parts.headers, link.relay());
        if stops.rest.span().is_some() {
            link.give_back();
            return None;
        }
        Some(link)
    }

    /// Watches a connection to an upstream until `until`, to find out whether the upstream ends. Opens
    /// one for that if none is idle. Returns whether the connection was lost or refused.
    pub async fn watch_loss(&self, target: &UpstreamTarget, until: Moment) -> bool {
        let links = self.links(&target.start.id, target.address);
        if let Some(idle) = links.take_idle() {
            let is_lost = self.timer.run_until(until, idle.ended()).await.is_some();
            idle.give_back();
            return is_lost;
        }
        match links.open_for_check(until).await {
            Ok(link) => self.timer.run_until(until, link.ended()).await.is_some(),
            Err(fault) => fault.is_refusal(),
        }
    }
}
