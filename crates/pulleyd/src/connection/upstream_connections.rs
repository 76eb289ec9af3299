//! The connections of this process to all upstreams.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use http::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use pulley_core::connection::{PathSurvey, RepeatSafety, UpstreamPath};
use pulley_core::process::{FastMap, SendBlock, UpstreamRecord, UpstreamStart};
use pulley_core::{Moment, PoolName, UpstreamId};
use slog::Logger;

use super::end_check::EndChecks;
use super::path_watch::PathWatch;
use super::relay_client::{RelayClient, RelayIdentity, RelayState, RestNotice};
use super::upstream_links::UpstreamLinks;
use super::{AnswerStops, LinkFault, SendGate, Unused, UpstreamDialer, UpstreamLink};
use crate::process::{ControlHandle, ProcessClock, RunningView, TimerService, ViewCell};

/// The result of checking out a connection.
type Result<T> = std::result::Result<T, LinkFault>;

/// How often idle connections are checked.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(1);

/// A request for a connection.
#[derive(Clone, Copy, Debug)]
pub struct LinkRequest<'a> {
    /// The upstream to connect to.
    pub upstream: &'a UpstreamId,
    /// The address the upstream listens on.
    pub address: SocketAddr,
    /// Whether the caller's request may be sent again.
    pub safety: RepeatSafety,
    /// The time after which the connection is no longer needed.
    pub deadline: Moment,
}

/// An upstream as a request was placed at it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamTarget {
    /// The upstream, and which of its starts.
    pub start: UpstreamStart,
    /// The address it listens on.
    pub address: SocketAddr,
}

/// The connections of this process to all upstreams.
#[derive(Debug)]
pub struct UpstreamConnections {
    pub(super) clock: ProcessClock,
    pub(super) timer: TimerService,
    pub(super) view: ViewCell,
    pub(super) logger: Logger,
    pub(super) dialer: Arc<UpstreamDialer>,
    pub(super) watch: PathWatch,
    pub(super) end_checks: Mutex<EndChecks>,
    pub(super) gate: Arc<SendGate>,
    /// Read by every request, but changed only when an upstream appears, moves or goes.
    pub(super) upstreams: ArcSwap<FastMap<UpstreamId, Arc<UpstreamLinks>>>,
}

impl UpstreamConnections {
    /// Creates a set without connections. The view provides each upstream's limit.
    #[must_use]
    pub fn new(
        clock: ProcessClock,
        timer: TimerService,
        view: ViewCell,
        logger: Logger,
        gate: Arc<SendGate>,
    ) -> Self {
        let dialer = Arc::new(UpstreamDialer::new(clock, timer.clone()));
        let (watch, upstreams) = (PathWatch::default(), ArcSwap::default());
        let end_checks = Mutex::default();
        Self { clock, timer, view, logger, dialer, watch, end_checks, gate, upstreams }
    }

    /// Opens connections from a local address, and over other hosts while this one has lost its own
    /// path to upstreams. The control thread lists those hosts. Reads from upstreams take at most
    /// `read_limit` bytes.
    #[must_use]
    pub fn with_relays(
        mut self,
        identity: RelayIdentity,
        local_ip: IpAddr,
        control: ControlHandle,
        read_limit: Option<usize>,
    ) -> Self {
        let relays = RelayClient::new(identity, control, self.clock, self.timer.clone());
        let dialer = UpstreamDialer::new(self.clock, self.timer.clone()).with_relays(relays);
        let dialer = dialer.with_local_ip(local_ip);
        self.dialer = Arc::new(dialer.with_read_limit(read_limit.unwrap_or(usize::MAX)));
        self
    }

    /// Whether this host has lost its own path to upstreams.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.dialer.is_cut_off()
    }

    /// Whether this host has lost its own path to upstreams, or is about to find out.
    #[must_use]
    pub fn doubts_own_path(&self) -> bool {
        self.is_cut_off() || (self.may_check_paths() && self.path_survey().suggests_cut())
    }

    pub(super) fn clock(&self) -> ProcessClock {
        self.clock
    }

    pub(super) fn dialer(&self) -> &UpstreamDialer {
        &self.dialer
    }

    /// Returns why nothing may be sent to an upstream now, if that is so. Everything that sends asks
    /// this right before it does.
    #[must_use]
    pub fn send_block(&self, pool: &PoolName, target: &UpstreamTarget) -> Option<SendBlock> {
        let view = self.view.load();
        let record = view.upstreams.get(pool).and_then(|records| records.find(&target.start.id));
        let is_current = record.is_some_and(|record| {
            record.takes_work && record.announcement.address == target.address
        });
        if !is_current {
            return Some(SendBlock::Departed);
        }
        self.gate.find(&target.start).block(self.clock.now())
    }

    /// Returns an upstream that listens on an address as a target of a request.
    pub(super) fn target(
        &self,
        pool: &PoolName,
        upstream: &UpstreamId,
        address: SocketAddr,
    ) -> Option<UpstreamTarget> {
        let view = self.view.load();
        let record = view.upstreams.get(pool)?.find(upstream)?;
        Some(UpstreamTarget { start: record.announcement.start(), address })
    }

    /// Keeps what an answer of an upstream asks of this host. If another host relayed it, the upstream
    /// has spoken to that host as well, which is told.
    pub(crate) fn observe_stops(
        &self,
        (pool, start): (&PoolName, &UpstreamStart),
        status: StatusCode,
        headers: &HeaderMap,
        relay: Option<&Arc<RelayState>>,
    ) -> AnswerStops {
        let stops = self.gate.observe(start, status, headers);
        if let (Some(span), Some(relay)) = (stops.rest.span(), relay) {
            let notice = RestNotice { pool: pool.clone(), start: start.clone(), span };
            let (dialer, relay) = (Arc::clone(&self.dialer), Arc::clone(relay));
            tokio::spawn(async move { dialer.tell_rest(&relay, notice).await });
        }
        stops
    }

    /// Returns what upstreams have asked of this host.
    #[must_use]
    pub fn gate(&self) -> &Arc<SendGate> {
        &self.gate
    }

    /// Takes an idle connection or opens a new one, within this entry's share.
    ///
    /// # Errors
    /// `Unreachable`, `ConnectTimeout`, `ShareInUse` or `ClosedUnsent`. Nothing was sent.
    pub async fn checkout(
        self: &Arc<Self>,
        request: LinkRequest<'_>,
    ) -> Result<UpstreamLink<Unused>> {
        let links = self.links(request.upstream, request.address);
        let link = links.checkout(request.safety, request.deadline).await;
        if let Err(LinkFault::Unreachable(_) | LinkFault::ConnectTimeout) = &link {
            self.consider_paths();
        }
        link
    }

    /// Whether an upstream has answered this host directly since a moment.
    #[must_use]
    pub fn has_answered_since(&self, upstream: &UpstreamId, moment: Moment) -> bool {
        let known = self.upstreams.load();
        known.get(upstream).is_some_and(|links| links.has_answered_since(moment))
    }

    /// Returns the number of connections to all upstreams that are open or being opened.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.upstreams.load().values().map(|links| links.open_connections()).sum()
    }

    /// Records that these upstreams have left probes unanswered.
    pub fn record_silence(self: &Arc<Self>, upstreams: &[UpstreamId]) {
        if upstreams.is_empty() {
            return;
        }
        let known = self.upstreams.load();
        upstreams.iter().filter_map(|id| known.get(id)).for_each(|links| links.record_silence());
        self.consider_paths();
    }

    /// Records that an upstream has proved in an answer to a probe that it is the one with this id and
    /// takes work.
    pub fn record_identified(&self, upstream: &UpstreamId) {
        if let Some(links) = self.upstreams.load().get(upstream) {
            links.record_identified();
        }
    }

    /// Whether an upstream has proved since a moment that it is the one with its id and takes work.
    #[must_use]
    pub fn was_identified_since(&self, upstream: &UpstreamId, start: Moment) -> bool {
        let known = self.upstreams.load();
        known.get(upstream).is_some_and(|links| links.was_identified_since(start))
    }

    /// Counts the paths from this host to the upstreams that it has used.
    #[must_use]
    pub fn path_survey(&self) -> PathSurvey {
        let known = self.upstreams.load();
        let paths: Vec<UpstreamPath> = known.values().map(|links| links.path()).collect();
        PathSurvey::of(self.clock.now(), &paths)
    }

    /// In every maintenance period, closes expired idle connections, applies the view's limits and
    /// opens spare connections. The caller listener runs this task.
    pub async fn run(self: Arc<Self>) {
        loop {
            let _ = self.timer.after(MAINTENANCE_PERIOD).await;
            self.maintain();
            self.watch_paths();
        }
    }

    fn maintain(&self) {
        let view = self.view.load();
        self.remove_unknown(&view);
        self.gate.forget_ended(|id| find(&view, id).is_some());
        for (id, links) in self.upstreams.load().iter() {
            links.expire();
            let Some(record) = find(&view, id).filter(|record| record.takes_work) else { continue };
            set_share(links, record, &view);
            if links.was_used_recently() {
                links.ensure_spare();
            }
        }
    }

    /// Removes the connections of upstreams that the view no longer contains.
    fn remove_unknown(&self, view: &RunningView) {
        let is_known = |id: &UpstreamId| find(view, id).is_some();
        if self.upstreams.load().keys().all(is_known) {
            return;
        }
        let before = self.upstreams.rcu(|upstreams| {
            let mut upstreams = FastMap::clone(upstreams);
            upstreams.retain(|id, _| is_known(id));
            upstreams
        });
        let removed = before.iter().filter(|(id, _)| !is_known(id));
        removed.for_each(|(_, links)| links.close());
    }

    pub(super) fn links(&self, upstream: &UpstreamId, address: SocketAddr) -> Arc<UpstreamLinks> {
        let known = self.upstreams.load().get(upstream).cloned();
        if let Some(links) = known.filter(|links| links.address() == address) {
            return links;
        }
        let view = self.view.load();
        let record = find(&view, upstream);
        let pool = record.map(|record| record.announcement.pool.clone());
        let (dialer, timer) = (Arc::clone(&self.dialer), self.timer.clone());
        let links =
            UpstreamLinks::new((upstream.clone(), pool), address, dialer, self.clock, timer);
        let links = Arc::new(links);
        if let Some(record) = record {
            set_share(&links, record, &view);
        }
        self.insert(upstream, links)
    }
}

impl UpstreamConnections {
    /// Replaces an upstream's connections to its former address by those to its current one. If
    /// another request has already done so, returns that request's set, as two sets would each use
    /// the entry's whole share.
    fn insert(&self, upstream: &UpstreamId, links: Arc<UpstreamLinks>) -> Arc<UpstreamLinks> {
        let before = self.upstreams.rcu(|upstreams| {
            let mut upstreams = FastMap::clone(upstreams);
            let known = upstreams.get(upstream);
            if known.is_none_or(|known| known.address() != links.address()) {
                upstreams.insert(upstream.clone(), Arc::clone(&links));
            }
            upstreams
        });
        match before.get(upstream) {
            Some(first) if first.address() == links.address() => Arc::clone(first),
            Some(replaced) => {
                replaced.close();
                links
            }
            None => links,
        }
    }
}

/// Returns a view's record of an upstream.
fn find<'a>(view: &'a RunningView, upstream: &UpstreamId) -> Option<&'a UpstreamRecord> {
    view.upstreams.values().find_map(|list| list.find(upstream)).map(Arc::as_ref)
}

/// Sets the share and the number of useful connections. More connections than slots are never
/// useful, as each carries one request at a time.
fn set_share(links: &UpstreamLinks, record: &UpstreamRecord, view: &RunningView) {
    let announcement = &record.announcement;
    let useful = usize::try_from(announcement.slots.0).unwrap_or(usize::MAX);
    let planned = view.plan.connections(&announcement.pool);
    let connections = planned.unwrap_or(u32::MAX).min(announcement.connections);
    links.set_share(connections, view.sharing_entries, useful.max(1));
}
