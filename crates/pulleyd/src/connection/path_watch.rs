//! Finds out whether this host has lost its own path to upstreams, and when it is back.
//!
//! A host that can't reach upstreams sees the same as one whose upstreams are down or overloaded. It
//! finds out which it is by reaching some of them both ways at the same time, directly and over
//! another host. While its own path is lost, connections are opened over other hosts.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use futures::future::{Either, join_all, select};
use http::Uri;
use pulley_core::connection::{PathCheck, UpstreamRoute};
use pulley_core::{Moment, PoolName};
use rand::seq::IndexedRandom;
use slog::info;

use super::upstream_links::UpstreamLinks;
use super::upstream_prober::PROBE_PATH;
use super::{UpstreamConnections, UpstreamTarget};

/// Number of upstreams that a check reaches both ways.
const CHECKED_UPSTREAMS: usize = 3;

/// Time limit of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// How much longer an upstream may take to answer directly once it has answered over another host.
const DIRECT_GRACE: Duration = Duration::from_millis(30);

/// Interval between checks while they find nothing. The paths' states may suggest a cut for long,
/// such as while many upstreams are down.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of upstreams that are tried directly at a time while the host is cut off.
const MAX_TRIALS: usize = 32;

/// Upstreams that no request has used within this time are tried last.
const TRIAL_SPAN: Duration = Duration::from_secs(10);

/// The progress of checks.
#[derive(Debug, Default)]
pub(super) struct PathWatch {
    is_checking: AtomicBool,
    /// When the next check may begin, in microseconds.
    next_check: AtomicU64,
}

impl UpstreamConnections {
    /// Reacts to a request that stayed unanswered or a connection that could not be opened.
    pub fn consider_paths(self: &Arc<Self>) {
        if !self.dialer.can_relay() {
            return;
        }
        let now = self.clock.now();
        if self.is_cut_off() {
            self.relay_lost_paths(now);
            return;
        }
        if !self.may_check_paths() || !self.path_survey().suggests_cut() {
            return;
        }
        if !self.watch.is_checking.swap(true, Ordering::AcqRel) {
            let connections = Arc::clone(self);
            tokio::spawn(async move { connections.check_paths().await });
        }
    }

    /// Whether no check has found a moment ago that the own path works.
    pub(super) fn may_check_paths(&self) -> bool {
        self.clock.now().micros() >= self.watch.next_check.load(Ordering::Relaxed)
    }

    /// Tries the upstreams directly to which requests go over other hosts.
    pub(super) fn watch_paths(self: &Arc<Self>) {
        if self.is_cut_off() && !self.watch.is_checking.swap(true, Ordering::AcqRel) {
            let connections = Arc::clone(self);
            tokio::spawn(async move { connections.try_own_paths().await });
        }
    }

    fn all_links(&self) -> Vec<Arc<UpstreamLinks>> {
        self.upstreams.load().values().cloned().collect()
    }

    fn relay_lost_paths(&self, now: Moment) {
        for links in self.all_links() {
            let path = links.path();
            if path.route == UpstreamRoute::Direct && path.is_lost(now) {
                links.use_relays(now);
            }
        }
    }

    /// Checks whether the own path is lost, if there is another host to compare with.
    async fn check_paths(&self) {
        if self.dialer.finds_relay().await {
            self.compare_paths().await;
        }
        let next = self.clock.now() + CHECK_INTERVAL;
        self.watch.next_check.store(next.micros(), Ordering::Relaxed);
        self.watch.is_checking.store(false, Ordering::Release);
    }

    async fn compare_paths(&self) {
        let started = self.clock.now();
        let lost = self.all_links().into_iter().filter(|links| links.path().is_lost(started));
        let lost: Vec<_> = lost.filter(|links| self.may_check(links)).collect();
        let checked = lost.choose_multiple(&mut rand::rng(), CHECKED_UPSTREAMS);
        let checks = join_all(checked.map(|links| self.check(links))).await;
        let is_cut_off = PathCheck::prove_cut(&checks);
        let survey = self.path_survey();
        info!(self.logger, "path-check"; "cut_off" => is_cut_off, "checked" => checks.len(),
            "direct" => checks.iter().filter(|check| check.direct).count(),
            "relayed" => checks.iter().filter(|check| check.relayed).count(),
            "known" => survey.known, "lost" => survey.lost, "proven" => survey.proven);
        if is_cut_off {
            self.dialer.set_cut_off(true);
            self.all_links().iter().for_each(|links| links.use_relays(started));
        }
    }

    /// Reaches an upstream directly and over another host at the same time.
    async fn check(&self, links: &Arc<UpstreamLinks>) -> PathCheck {
        let limit = self.clock.now() + CHECK_TIMEOUT;
        let direct = pin!(self.reach(links, UpstreamRoute::Direct, limit));
        let relayed = pin!(self.reach(links, UpstreamRoute::Relayed, limit));
        match select(direct, relayed).await {
            Either::Left((true, _)) => PathCheck { direct: true, relayed: true },
            Either::Left((false, relayed)) => PathCheck { direct: false, relayed: relayed.await },
            Either::Right((true, direct)) => {
                let limit = self.clock.now() + DIRECT_GRACE;
                let direct = self.timer.run_until(limit, direct).await.unwrap_or(false);
                PathCheck { direct, relayed: true }
            }
            Either::Right((false, direct)) => PathCheck { direct: direct.await, relayed: false },
        }
    }

    /// Tries upstreams directly. Those that answer get requests directly again, and once at least
    /// half of them do, all get them.
    async fn try_own_paths(&self) {
        let mut relayed: Vec<_> = self
            .all_links()
            .into_iter()
            .filter(|links| links.path().route == UpstreamRoute::Relayed)
            .collect();
        let count = relayed.len();
        relayed.retain(|links| self.may_check(links));
        if relayed.is_empty() && count > 0 {
            self.watch.is_checking.store(false, Ordering::Release);
            return;
        }
        relayed.sort_by_key(|links| !links.was_used_within(TRIAL_SPAN));
        relayed.truncate(MAX_TRIALS);
        let limit = self.clock.now() + CHECK_TIMEOUT;
        let trials = relayed.iter().map(|links| async move {
            let is_back = self.reach(links, UpstreamRoute::Direct, limit).await;
            if is_back {
                links.use_own_path();
            }
            is_back
        });
        let trials = join_all(trials).await;
        let back = trials.iter().filter(|is_back| **is_back).count();
        if 2 * back >= trials.len() {
            self.dialer.set_cut_off(false);
            self.all_links().iter().for_each(|links| links.use_own_path());
        }
        info!(self.logger, "path-trial"; "cut_off" => self.is_cut_off(), "tried" => trials.len(),
            "back" => back);
        self.watch.is_checking.store(false, Ordering::Release);
    }

    /// Whether a check may be sent to an upstream now. One that rests is owed its rest by checks too.
    fn may_check(&self, links: &UpstreamLinks) -> bool {
        let target = self.target_of(links);
        target.is_some_and(|(pool, target)| self.send_block(&pool, &target).is_none())
    }

    fn target_of(&self, links: &UpstreamLinks) -> Option<(PoolName, UpstreamTarget)> {
        let pool = links.pool()?;
        let target = self.target(pool, links.upstream(), links.address())?;
        Some((pool.clone(), target))
    }

    /// Reaches an upstream on a route. What it asks for in its answer holds as in any other.
    async fn reach(&self, links: &Arc<UpstreamLinks>, route: UpstreamRoute, limit: Moment) -> bool {
        let Some((pool, target)) = self.target_of(links) else { return false };
        let path = self.probe_path(links);
        let may_send = || self.send_block(&pool, &target).is_none();
        let reached = links.reach(route, &path, limit, may_send).await;
        let Some((parts, link)) = reached else { return false };
        let relay = link.relay().cloned();
        self.observe_stops((&pool, &target.start), parts.status, &parts.headers, relay.as_ref());
        link.give_back();
        true
    }

    /// Returns the path at which an upstream answers probes.
    pub(super) fn probe_path(&self, links: &UpstreamLinks) -> Uri {
        let view = self.view.load();
        let planned = links.pool().and_then(|pool| view.plan.probe_path(pool)?.parse().ok());
        planned.unwrap_or_else(|| Uri::from_static(PROBE_PATH))
    }
}
