//! Opens connections to upstreams through other hosts.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use parking_lot::Mutex;
use pulley_core::process::{ClusterId, RelayHost, UpstreamStart};
use pulley_core::{HostId, Moment, PoolName, UpstreamId};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::peer_gate::{LinkNonces, NONCE_LENGTH};
use super::peer_key_ring::KeyRing;
use super::relay_handshake::{
    RELAY_PREAMBLE, RelayOutcome, RelayReply, RelayRequest, RelayRest, RelaySigner, read_message,
    read_nonce, write_message,
};
use super::relay_stream::RelayStream;
use super::{LinkFault, UpstreamDialer};
use crate::process::{ControlHandle, ControlRequest, ProcessClock, TimerService};

/// The result of opening a connection.
type Result<T> = std::result::Result<T, LinkFault>;

/// Maximum number of hosts asked for one connection.
const MAX_HOSTS_ASKED: usize = 4;

/// How long one host may take to open a connection. Hosts that take longer are short of processor
/// time, or can't be reached either.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// How long one host has to answer before another is asked beside it. Hosts whose own paths have
/// just been lost don't know it yet, and take long.
const ASK_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout for the control thread's answer.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(50);

/// How long the list of hosts is used, and the interval at which it may be replaced sooner because
/// none of them helps.
const LIST_LIFETIME: Duration = Duration::from_secs(5);
const MIN_LIST_AGE: Duration = Duration::from_millis(200);

/// Number of hosts, from the front of the list, that share the connections.
const SHARING_HOSTS: usize = 4;

/// How long a host that has failed or refused is not asked.
const AVOID_SPAN: Duration = Duration::from_secs(2);

/// How long a host that shuts down is not asked. It has left the membership by then.
const DRAINING_SPAN: Duration = Duration::from_secs(10);

/// Requests in a row that may stay unanswered over a host before it is avoided. It may have lost its
/// own path to upstreams.
const MAX_SILENCES: u32 = 3;

/// How often a host is told of a rest until it has answered.
const NOTICE_ATTEMPTS: usize = 3;

/// A rest that an upstream has asked of the host that relayed its answer.
#[derive(Clone, Debug)]
pub(crate) struct RestNotice {
    pub(crate) pool: PoolName,
    pub(crate) start: UpstreamStart,
    pub(crate) span: Duration,
}

/// Who this host is towards others that it asks.
#[derive(Clone, Debug)]
pub struct RelayIdentity {
    /// This host.
    pub host: HostId,
    /// The installation.
    pub cluster: ClusterId,
    /// The installation's keys.
    pub key_ring: KeyRing,
}

/// Another host that opens connections for this one, and whether it is asked now.
#[derive(Debug)]
pub(crate) struct RelayState {
    host: RelayHost,
    clock: ProcessClock,
    /// In microseconds.
    avoid_until: AtomicU64,
    silences: AtomicU32,
}

impl RelayState {
    fn new(host: RelayHost, clock: ProcessClock) -> Self {
        Self { host, clock, avoid_until: AtomicU64::new(0), silences: AtomicU32::new(0) }
    }

    pub(crate) fn host(&self) -> &HostId {
        &self.host.host
    }

    /// Whether no request is to be sent over the host, also on connections that are open.
    pub(crate) fn is_avoided(&self) -> bool {
        self.clock.now().micros() < self.avoid_until.load(Ordering::Relaxed)
    }

    /// Records that the host shuts down.
    pub(crate) fn record_draining(&self) {
        self.avoid_for(DRAINING_SPAN);
    }

    /// Records that an upstream has answered over the host.
    pub(crate) fn record_answer(&self) {
        self.silences.store(0, Ordering::Relaxed);
    }

    /// Records that a request over the host stayed unanswered.
    pub(crate) fn record_silence(&self) {
        if self.silences.fetch_add(1, Ordering::Relaxed) + 1 >= MAX_SILENCES {
            self.silences.store(0, Ordering::Relaxed);
            self.avoid_for(AVOID_SPAN);
        }
    }

    fn avoid_for(&self, span: Duration) {
        let until = (self.clock.now() + span).micros();
        self.avoid_until.fetch_max(until, Ordering::Relaxed);
    }
}

#[derive(Debug, Default)]
struct RelayList {
    hosts: Vec<Arc<RelayState>>,
    fetched: Option<Moment>,
    fetches: u64,
}

/// Opens connections to upstreams through other hosts of the installation.
#[derive(Debug)]
pub(crate) struct RelayClient {
    identity: RelayIdentity,
    control: ControlHandle,
    clock: ProcessClock,
    timer: TimerService,
    list: Mutex<RelayList>,
}

impl RelayClient {
    pub(crate) fn new(
        identity: RelayIdentity,
        control: ControlHandle,
        clock: ProcessClock,
        timer: TimerService,
    ) -> Self {
        Self { identity, control, clock, timer, list: Mutex::default() }
    }

    /// Opens a connection to an upstream through another host.
    ///
    /// # Errors
    /// `Unreachable` if no host connects to the upstream, `RelaysResting` if one would and owes the
    /// upstream rest, `ConnectTimeout` if the deadline passes.
    /// Nothing was sent to the upstream.
    pub(crate) async fn open(
        &self,
        dialer: &UpstreamDialer,
        (upstream, pool): (&UpstreamId, &PoolName),
        deadline: Moment,
    ) -> Result<RelayStream> {
        let mut asked: Vec<HostId> = Vec::new();
        let mut pending = FuturesUnordered::new();
        let mut owes_rest = false;
        loop {
            if asked.len() < MAX_HOSTS_ASKED
                && let Some(state) = self.next_host(&asked).await
            {
                asked.push(state.host().clone());
                pending.push(self.ask_in_time(dialer, state, (upstream, pool)));
            }
            let may_ask = asked.len() < MAX_HOSTS_ASKED;
            let now = self.clock.now();
            let limit = if may_ask { deadline.min(now + ASK_INTERVAL) } else { deadline };
            match self.timer.run_until(limit, pending.next()).await {
                Some(Some(Ok(stream))) => return Ok(stream),
                Some(None) => break,
                None if limit == deadline => return Err(LinkFault::ConnectTimeout),
                Some(Some(Err(refusal))) => owes_rest |= refusal == Some(RelayOutcome::Resting),
                None => {}
            }
        }
        if owes_rest {
            return Err(LinkFault::RelaysResting);
        }
        let fault = format!("{} other hosts do not connect to it", asked.len());
        Err(LinkFault::Unreachable(io::Error::other(fault)))
    }

    /// Asks one host for a connection, and records what that shows of the host.
    ///
    /// # Errors
    /// What the host answered instead; `None` if it gave no answer in time.
    async fn ask_in_time(
        &self,
        dialer: &UpstreamDialer,
        state: Arc<RelayState>,
        target: (&UpstreamId, &PoolName),
    ) -> std::result::Result<RelayStream, Option<RelayOutcome>> {
        let asking = self.ask(dialer, &state, target, None);
        let limit = self.clock.now() + ASK_TIMEOUT;
        let answer = self.timer.run_until(limit, asking).await.and_then(io::Result::ok);
        let outcome = match answer {
            Some((stream, RelayOutcome::Connected)) => return Ok(RelayStream::new(stream, state)),
            Some((_, outcome)) => Some(outcome),
            None => None,
        };
        match outcome {
            Some(RelayOutcome::Draining) => state.record_draining(),
            None | Some(RelayOutcome::Full | RelayOutcome::CutOff) => state.avoid_for(AVOID_SPAN),
            Some(_) => {}
        }
        Err(outcome)
    }

    /// Tells a host that an upstream has asked it for rest, in an answer that the host has passed on
    /// without reading it.
    pub(crate) async fn tell_rest(
        &self,
        dialer: &UpstreamDialer,
        state: &RelayState,
        notice: RestNotice,
    ) {
        let until = self.clock.now() + notice.span;
        for _ in 0..NOTICE_ATTEMPTS {
            let left = until.since(self.clock.now());
            let rest = RelayRest { incarnation: notice.start.incarnation, span: left };
            let target = (&notice.start.id, &notice.pool);
            let telling = self.ask(dialer, state, target, Some(rest));
            let limit = self.clock.now() + ASK_TIMEOUT;
            if let Some(Ok((_, RelayOutcome::Resting))) = self.timer.run_until(limit, telling).await
            {
                return;
            }
        }
    }

    /// Whether there is a host to ask.
    pub(crate) async fn finds_host(&self) -> bool {
        self.next_host(&[]).await.is_some()
    }

    /// Returns a host to ask. Connections are spread over the first usable ones of the list.
    async fn next_host(&self, asked: &[HostId]) -> Option<Arc<RelayState>> {
        if self.needs_list(asked) {
            self.fetch_list().await;
        }
        let list = self.list.lock();
        let usable: Vec<_> = list.hosts.iter().filter(|state| is_usable(state, asked)).collect();
        let sharing = usable.len().min(SHARING_HOSTS);
        let chosen = (sharing > 0).then(|| rand::random_range(0..sharing))?;
        Some(Arc::clone(usable[chosen]))
    }

    fn needs_list(&self, asked: &[HostId]) -> bool {
        let list = self.list.lock();
        let age = list.fetched.map(|at| self.clock.now().since(at));
        let is_useless = !list.hosts.iter().any(|state| is_usable(state, asked));
        age.is_none_or(|age| age >= LIST_LIFETIME || (is_useless && age >= MIN_LIST_AGE))
    }

    /// Asks the control thread for live hosts. What is known of hosts that stay listed is kept.
    async fn fetch_list(&self) {
        let fetches = {
            let mut list = self.list.lock();
            list.fetches += 1;
            list.fetched = Some(self.clock.now());
            list.fetches
        };
        let question = self.control.ask(|reply| ControlRequest::RelayHosts(fetches, reply));
        let limit = self.clock.now() + CONTROL_TIMEOUT;
        let Some(Ok(hosts)) = self.timer.run_until(limit, question).await else { return };
        let mut list = self.list.lock();
        let known = std::mem::take(&mut list.hosts);
        let state = |host: RelayHost| {
            let known = known.iter().find(|state| state.host == host).map(Arc::clone);
            known.unwrap_or_else(|| Arc::new(RelayState::new(host, self.clock)))
        };
        list.hosts = hosts.into_iter().map(state).collect();
    }

    /// Asks one host for a connection, or tells it of a rest.
    async fn ask(
        &self,
        dialer: &UpstreamDialer,
        state: &RelayState,
        (upstream, pool): (&UpstreamId, &PoolName),
        rest: Option<RelayRest>,
    ) -> io::Result<(BufReader<TcpStream>, RelayOutcome)> {
        let mut stream = BufReader::new(dialer.connect(state.host.address).await?);
        let initiator: [u8; NONCE_LENGTH] = rand::random();
        let mut opening = RELAY_PREAMBLE.to_vec();
        opening.extend_from_slice(&initiator);
        stream.write_all(&opening).await?;
        let responder = read_nonce(&mut stream).await?;
        let RelayIdentity { host, cluster, key_ring } = &self.identity;
        let signer = RelaySigner { key_ring, cluster, nonces: LinkNonces { initiator, responder } };
        let mut request = RelayRequest {
            host: host.clone(),
            upstream: upstream.clone(),
            pool: pool.clone(),
            rest,
            proof: [0; 32],
        };
        signer.sign_request(&mut request);
        write_message(&mut stream, &request).await?;
        let reply: RelayReply = read_message(&mut stream).await?;
        if !signer.verify_reply(&reply) {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        Ok((stream, reply.outcome))
    }
}

fn is_usable(state: &RelayState, asked: &[HostId]) -> bool {
    !state.is_avoided() && !asked.contains(state.host())
}
