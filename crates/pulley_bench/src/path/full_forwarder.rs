//! The complete forwarder of `pulleyd`, without a control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use pulley_core::process::{
    Announcement, FastMap, Incarnation, ProbeRate, QuotaAnswer, QuotaAsk, QuotaVerdict, SlotCount,
    UpstreamPhase, UpstreamRecord, UpstreamSequence,
};
use pulley_core::version::{
    ApiKeyDigest, KindPlan, MethodMatch, OrganisationTerms, PolicyPlan, RequestPriority,
    RequestQuota, RouteTerms, WorkLength,
};
use pulley_core::{ConfigVersion, PoolName};
use pulleyd::connection::{CallerListener, TrafficThreads};
use pulleyd::process::{
    ControlHandle, ControlRequest, HostReadiness, ProcessClock, RunningView, TimerService, ViewCell,
};
use pulleyd::request::{SchedulerSet, TrafficContext, TrafficLimits};
use tokio::sync::mpsc;

use super::caller_load::CALLERS_KEY;

/// The slots of each stand-in upstream. There are more slots than callers, because queueing is not
/// measured here.
const SLOTS: u32 = 256;

/// Requests to the control thread that may wait.
const CONTROL_QUEUE: usize = 4_096;

/// The running forwarder.
pub(super) struct FullForwarder {
    address: SocketAddr,
    _threads: TrafficThreads,
}

impl FullForwarder {
    /// Starts a forwarder. With `organisations`, requests need the key of one that has a quota far
    /// above the load.
    pub(super) fn start(
        threads: usize,
        upstreams: &[SocketAddr],
        idle: usize,
        organisations: Vec<OrganisationTerms>,
    ) -> Result<Self> {
        let threads = TrafficThreads::start(threads)?;
        let clock = ProcessClock::start();
        let view = ViewCell::default();
        view.store(running_view(upstreams, organisations)?);
        let schedulers = SchedulerSet::new("entry-1".parse()?, "a".parse()?, clock, 7);
        let schedulers = Arc::new(schedulers);
        schedulers.apply_view(&view.load());
        let (control, requests) = ControlHandle::channel(CONTROL_QUEUE);
        let timer = TimerService::start(clock)?;
        threads.handle().spawn(Arc::clone(&schedulers).run(timer.clone()));
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let limits = TrafficLimits::default();
        let caller_connections = limits.caller_connections.max(2 * idle);
        let limits = TrafficLimits { caller_connections, ..limits };
        let context = TrafficContext::new(view, schedulers, control, clock, timer, logger);
        let context = Arc::new(context.with_limits(limits));
        threads.handle().spawn(grant_permits(requests, Arc::clone(&context)));
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = threads.handle().block_on(CallerListener::bind(any_port, context))?;
        let address = listener.local_addr()?;
        threads.handle().spawn(listener.serve(std::future::pending()));
        Ok(Self { address, _threads: threads })
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Grants all permits that the forwarder asks for, in place of a control thread.
async fn grant_permits(mut requests: mpsc::Receiver<ControlRequest>, context: Arc<TrafficContext>) {
    while let Some(request) = requests.recv().await {
        let ControlRequest::AskQuotas(asks) = request else { continue };
        for QuotaAsk { organisation, number, urgent, late, .. } in asks {
            let answer = QuotaAnswer::Permits { urgent, late, retry_ms: 0, pressed_ms: 0 };
            let verdict = QuotaVerdict { organisation, number, answer };
            context.quotas.receive(context.clock.now(), &verdict);
        }
    }
}

/// Returns the organisation whose key the bench's callers send.
pub(super) fn keyed_organisation() -> Result<OrganisationTerms> {
    Ok(OrganisationTerms {
        name: "desk".parse()?,
        keys: vec![ApiKeyDigest::of(CALLERS_KEY)],
        priority: None,
        quota: Some(RequestQuota { rate: "1000000".parse()?, burst: 1_000_000 }),
    })
}

fn running_view(
    upstreams: &[SocketAddr],
    organisations: Vec<OrganisationTerms>,
) -> Result<RunningView> {
    let pool: PoolName = "cover".parse()?;
    let kind = KindPlan {
        pool: pool.clone(),
        service: "gateway".parse()?,
        kind: "lookup".parse()?,
        method: MethodMatch::Any,
        path_prefix: "/cover".into(),
        priority: RequestPriority(1),
        share: "100%".parse()?,
        reserved_slots: SlotCount(0),
        deadline: Duration::from_secs(30),
        idempotent: true,
        length: WorkLength::Short,
        probe_budget: ProbeRate(0),
        route: RouteTerms::default(),
    };
    let records: Result<Vec<_>> = upstreams
        .iter()
        .enumerate()
        .map(|(index, address)| upstream_record(&pool, index, *address))
        .collect();
    let mut pools = FastMap::default();
    pools.insert(pool, records?.into());
    Ok(RunningView {
        version: ConfigVersion::default(),
        awaited_version: None,
        plan: Arc::new(
            PolicyPlan { kinds: vec![kind], organisations, ..PolicyPlan::default() }.into(),
        ),
        upstreams: pools,
        readiness: HostReadiness::Ready,
        evacuated: Arc::default(),
        entries: Arc::default(),
        sharing_entries: 1,
        quota_scope: Arc::default(),
    })
}

fn upstream_record(pool: &PoolName, index: usize, address: SocketAddr) -> Result<UpstreamRecord> {
    let announcement = Announcement {
        id: format!("u{index}").parse()?,
        address,
        zone: "a".parse()?,
        pool: pool.clone(),
        slots: SlotCount(SLOTS),
        connections: 500,
        incarnation: Incarnation(1),
        sequence: UpstreamSequence(1),
        phase: UpstreamPhase::Ready,
    };
    Ok(UpstreamRecord { announcement, takes_work: true })
}
