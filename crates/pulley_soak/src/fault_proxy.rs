//! A loopback proxy in front of an upstream that injects connection faults.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use parking_lot::Mutex;
use pulley_core::process::FastMap;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Connections that may wait until they are accepted.
const LISTEN_QUEUE: u32 = 1_024;

/// The fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards all bytes.
    #[default]
    Pass,
    /// Forwards all bytes after a delay.
    Delay(Duration),
    /// Resets open and new connections.
    Reset,
    /// Resets open connections and refuses new ones, as the machine of an ended process does.
    Refuse,
    /// Drops what entries send. Affected connections stay open and drop it permanently.
    DropRequests,
    /// Drops what upstreams send. Affected connections stay open and drop it permanently.
    DropAnswers,
    /// Drops what both sides send.
    DropAll,
}

/// The hosts that are cut off from all upstreams, and how. All proxies of a run share it.
#[derive(Clone, Debug)]
pub struct HostCuts {
    cuts: watch::Sender<FastMap<IpAddr, ProxyMode>>,
}

impl Default for HostCuts {
    fn default() -> Self {
        Self { cuts: watch::channel(FastMap::default()).0 }
    }
}

impl HostCuts {
    /// Sets the fault that a host's connections to all upstreams have, in place of the proxies' own.
    pub fn cut(&self, host: IpAddr, mode: ProxyMode) {
        self.cuts.send_modify(|cuts| {
            cuts.insert(host, mode);
        });
    }

    /// Lets a host reach the upstreams again.
    pub fn heal(&self, host: IpAddr) {
        self.cuts.send_modify(|cuts| {
            cuts.remove(&host);
        });
    }
}

/// The faults that apply to one connection.
#[derive(Clone, Debug)]
struct ConnectionFaults {
    host: IpAddr,
    modes: watch::Receiver<ProxyMode>,
    cuts: watch::Receiver<FastMap<IpAddr, ProxyMode>>,
}

impl ConnectionFaults {
    fn mode(&self) -> ProxyMode {
        let cut = self.cuts.borrow().get(&self.host).copied();
        cut.unwrap_or_else(|| *self.modes.borrow())
    }

    /// Waits until the connection is to be reset.
    async fn wait_for_reset(mut self) {
        while !matches!(self.mode(), ProxyMode::Reset | ProxyMode::Refuse) {
            let changed = tokio::select! {
                changed = self.modes.changed() => changed,
                changed = self.cuts.changed() => changed,
            };
            if changed.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

/// A proxy that runs until it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    /// The address that entries connect to.
    pub address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    target: Arc<Mutex<SocketAddr>>,
    /// Kept, because connections wait for its changes.
    _cuts: HostCuts,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Listens on a port chosen by the operating system, and forwards connections to a target.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr, cuts: &HostCuts) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(ProxyMode::Pass);
        let target = Arc::new(Mutex::new(target));
        let (cuts, changes) = (cuts.clone(), cuts.cuts.subscribe());
        let task = tokio::spawn(accept_all(listener, Arc::clone(&target), modes, changes));
        Ok(Self { address, mode, target, _cuts: cuts, task })
    }

    /// Sets the fault that its connections have.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    /// Forwards new connections to another address.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock() = target;
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(
    mut listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    modes: watch::Receiver<ProxyMode>,
    cuts: watch::Receiver<FastMap<IpAddr, ProxyMode>>,
) {
    let mut refusals = modes.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = refusals.wait_for(|mode| *mode == ProxyMode::Refuse) => None,
            accepted = listener.accept() => accepted.ok(),
        };
        let Some((stream, peer)) = accepted else {
            let Ok(address) = listener.local_addr() else { return };
            drop(listener);
            let _ = refusals.wait_for(|mode| *mode != ProxyMode::Refuse).await;
            let Ok(again) = listen_again(address) else { return };
            listener = again;
            continue;
        };
        let (modes, cuts) = (modes.clone(), cuts.clone());
        let faults = ConnectionFaults { host: peer.ip(), modes, cuts };
        if faults.mode() == ProxyMode::Reset {
            reset(&stream);
            continue;
        }
        let target = *target.lock();
        tokio::spawn(proxy_connection(stream, target, faults));
    }
}

/// Listens on a port that the proxy has used before.
fn listen_again(address: SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket.listen(LISTEN_QUEUE)?)
}

async fn proxy_connection(entry: TcpStream, target: SocketAddr, faults: ConnectionFaults) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        reset(&entry);
        return;
    };
    let _ = (entry.set_nodelay(true), upstream.set_nodelay(true));
    let sockets = [&entry, &upstream].map(|stream| SockRef::from(stream).try_clone());
    let (entry_in, entry_out) = entry.into_split();
    let (upstream_in, upstream_out) = upstream.into_split();
    let requests = [ProxyMode::DropRequests, ProxyMode::DropAll];
    let answers = [ProxyMode::DropAnswers, ProxyMode::DropAll];
    tokio::select! {
        () = forward(entry_in, upstream_out, faults.clone(), requests) => {}
        () = forward(upstream_in, entry_out, faults.clone(), answers) => {}
        () = faults.wait_for_reset() => {
            for socket in sockets.into_iter().flatten() {
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
        }
    }
}

/// Forwards bytes in one direction until its source closes. After it has dropped any bytes, it
/// drops all that follow.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: ConnectionFaults,
    dropping: [ProxyMode; 2],
) {
    let mut buffer = vec![0; 16 * 1_024];
    let mut is_silent = false;
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let mode = faults.mode();
        is_silent |= dropping.contains(&mode);
        if is_silent {
            continue;
        }
        if let ProxyMode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    if is_silent {
        // The close of the source is not forwarded either.
        std::future::pending::<()>().await;
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
