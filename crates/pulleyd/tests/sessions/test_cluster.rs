//! Real daemons on loopback addresses, with stand-in upstreams in the test process.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;
use tempfile::TempDir;

use crate::http_caller::{self, CallerAnswer};
use crate::stand_in_upstream::{StandInRole, StandInUpstream};

/// Timeout for conditions. Even on a busy machine it is reached only when there is a fault.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The secret key of all test clusters.
const SECRET: &str = "test-key-test-key-test-key-test-key\n";

/// Ports of each daemon. Each host has its own loopback address, so that no other test can take a
/// port while a daemon restarts. These ports are outside the range that the system uses for
/// outgoing connections.
const CALLERS_PORT: u16 = 8080;
const UPSTREAMS_PORT: u16 = 8081;
const OPERATORS_PORT: u16 = 8082;
const PEERS_PORT: u16 = 8083;

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that is unique to this test process and host.
fn unique_address() -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high, low, NEXT_HOST.fetch_add(1, Ordering::Relaxed)))
}

/// A host that runs one daemon.
#[derive(Debug)]
pub(crate) struct TestHost {
    name: String,
    address: IpAddr,
    child: Option<Child>,
}

impl TestHost {
    /// Returns the address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLERS_PORT)
    }

    /// Returns the address at which upstreams announce themselves.
    pub(crate) fn upstreams(&self) -> SocketAddr {
        SocketAddr::new(self.address, UPSTREAMS_PORT)
    }

    /// Returns the address for operators.
    pub(crate) fn operators(&self) -> SocketAddr {
        SocketAddr::new(self.address, OPERATORS_PORT)
    }

    fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.address, PEERS_PORT)
    }

    /// Returns the answer of `/healthz`, or `None` if there is none.
    pub(crate) async fn health(&self) -> Option<CallerAnswer> {
        http_caller::call(self.upstreams(), "GET", "/healthz", &[], "").await.ok()
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        kill(self.process_id(), signal).expect("the daemon is there");
    }

    /// Freezes the daemon. Waits until the system reports the stop, because the signal is delivered
    /// asynchronously and a thread of the daemon may still answer until then.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        let stopped = waitpid(self.process_id(), Some(WaitPidFlag::WUNTRACED));
        assert!(matches!(stopped, Ok(WaitStatus::Stopped(..))), "{stopped:?}");
    }

    fn process_id(&self) -> Pid {
        let child = self.child.as_ref().expect("the daemon runs");
        Pid::from_raw(i32::try_from(child.id()).expect("process ids are small"))
    }

    /// Waits until the daemon has exited by itself.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("the daemon runs");
        let start_time = Instant::now();
        loop {
            if let Some(status) = child.try_wait().expect("a child can be waited for") {
                return status;
            }
            assert!(start_time.elapsed() < WAIT_TIMEOUT, "{} does not end", self.name);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the daemon, as a power loss would.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for TestHost {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A cluster of daemons, each with the roles entry and replica.
#[derive(Debug)]
pub(crate) struct TestCluster {
    /// The daemons.
    pub(crate) hosts: Vec<TestHost>,
    folder: TempDir,
    settings: Vec<(&'static str, &'static str)>,
}

impl TestCluster {
    /// Starts daemons and waits until an operator can read the configuration.
    pub(crate) async fn start(count: usize) -> Self {
        Self::start_with(count, &[]).await
    }

    /// The same as [`Self::start`], with additional settings as environment variables.
    pub(crate) async fn start_with(
        count: usize,
        settings: &[(&'static str, &'static str)],
    ) -> Self {
        let folder = TempDir::new().expect("a folder for the test");
        fs::write(folder.path().join("secret"), SECRET).expect("the secret is written");
        let hosts = (0..count).map(|index| TestHost {
            name: format!("host-{}", index + 1),
            address: unique_address(),
            child: None,
        });
        let mut cluster = Self { hosts: hosts.collect(), folder, settings: settings.to_vec() };
        for index in 0..count {
            cluster.start_host(index);
        }
        cluster
            .wait_for("a leader", async |cluster| cluster.pulleyctl(&["sheet", "show"]).code == 0)
            .await;
        cluster
    }

    /// Starts or restarts one daemon.
    pub(crate) fn start_host(&mut self, index: usize) {
        let seeds: Vec<String> = self.hosts.iter().map(|host| host.peers().to_string()).collect();
        let replicas: Vec<String> = (0..self.hosts.len())
            .map(|index| format!("{}=m{}", self.hosts[index].name, index + 1))
            .collect();
        let host = &self.hosts[index];
        let log = File::options().create(true).append(true).open(self.log_file(index));
        let log = log.expect("the log can be opened");
        let stderr_log = log.try_clone().expect("another handle");
        let child = Command::new(env!("CARGO_BIN_EXE_pulleyd"))
            .env_clear()
            .envs(self.settings.iter().copied())
            .env("PULLEYD_CLUSTER", "test")
            .env("PULLEYD_ZONE", "zone-1")
            .env("PULLEYD_SECRET_FILE", self.folder.path().join("secret"))
            .env("PULLEYD_SEEDS", seeds.join(","))
            .env("PULLEYD_REPLICAS", replicas.join(","))
            .env("PULLEYD_ROLES", "entry,replica")
            .env("PULLEYD_DATA_FOLDER", self.folder.path().join(&host.name))
            .env("PULLEYD_HOST_ID", &host.name)
            .env("PULLEYD_CALLERS_LISTEN", host.callers().to_string())
            .env("PULLEYD_UPSTREAMS_LISTEN", host.upstreams().to_string())
            .env("PULLEYD_OPERATORS_LISTEN", host.operators().to_string())
            .env("PULLEYD_PEERS_LISTEN", host.peers().to_string())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(stderr_log)
            .spawn();
        self.hosts[index].child = Some(child.expect("pulleyd starts"));
    }

    /// Starts a stand-in upstream that announces itself to all hosts in turn.
    pub(crate) async fn start_upstream(&self, id: &str, pool: &str, slots: u32) -> StandInUpstream {
        let role = StandInRole {
            id: id.to_owned(),
            pool: pool.to_owned(),
            zone: "zone-1".to_owned(),
            slots,
            service_time: Duration::ZERO,
            address: unique_address(),
            hosts: self.hosts.iter().map(TestHost::upstreams).collect(),
        };
        StandInUpstream::start(role).await.expect("the upstream starts")
    }

    /// Returns the path of one daemon's log.
    pub(crate) fn log_file(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("{}.log", self.hosts[index].name))
    }

    /// Returns the key that operators send.
    pub(crate) fn secret(&self) -> &'static str {
        SECRET.trim_end()
    }

    /// Returns the folder of this test.
    pub(crate) fn folder(&self) -> &Path {
        self.folder.path()
    }

    // -------------------------------------------------------------------------------------
    // Waiting

    /// Waits until a condition holds. Fails the test with the daemons' logs on timeout.
    pub(crate) async fn wait_for(&self, what: &str, condition: impl AsyncFn(&Self) -> bool) {
        let start_time = Instant::now();
        while !condition(self).await {
            if start_time.elapsed() > WAIT_TIMEOUT {
                panic!("timed out waiting for {what}\n{}", self.logs());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every running host is ready with this version or a later one.
    pub(crate) async fn wait_for_version(&self, version: u64) {
        self.wait_for(&format!("version {version} everywhere"), async |cluster| {
            for host in cluster.running() {
                let Some(answer) = host.health().await else { return false };
                let body: serde_json::Value =
                    serde_json::from_str(&answer.body).unwrap_or_default();
                if answer.status != 200 || body["version"].as_u64() < Some(version) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Waits until every running host knows exactly `count` upstreams that take work.
    pub(crate) async fn wait_for_upstreams(&self, count: usize) {
        self.wait_for(&format!("{count} upstreams everywhere"), async |cluster| {
            cluster.running().all(|host| {
                let server = format!("--server={}", host.operators());
                let out = cluster.pulleyctl_with_args(&[&server, "--json", "upstreams"]).out;
                out.matches("\"takes_work\":true").count() == count
            })
        })
        .await;
    }

    fn running(&self) -> impl Iterator<Item = &TestHost> {
        self.hosts.iter().filter(|host| host.child.is_some())
    }

    fn logs(&self) -> String {
        let log = |index| fs::read_to_string(self.log_file(index)).unwrap_or_default();
        (0..self.hosts.len()).map(log).collect::<Vec<_>>().join("\n")
    }

    // -------------------------------------------------------------------------------------
    // Operators

    /// Runs `pulleyctl` against all hosts in turn.
    pub(crate) fn pulleyctl(&self, args: &[&str]) -> PulleyctlOutput {
        let servers: Vec<String> =
            self.hosts.iter().map(|host| format!("--server={}", host.operators())).collect();
        let servers = servers.iter().map(String::as_str);
        self.pulleyctl_with_args(&servers.chain(args.iter().copied()).collect::<Vec<_>>())
    }

    /// Runs `pulleyctl` with exactly these arguments.
    pub(crate) fn pulleyctl_with_args(&self, args: &[&str]) -> PulleyctlOutput {
        let output = Command::new(pulleyctl_binary())
            .env_clear()
            .env("PULLEYCTL_SECRET_FILE", self.folder.path().join("secret"))
            .current_dir(self.folder.path())
            .args(args)
            .output()
            .expect("pulleyctl runs");
        PulleyctlOutput {
            code: output.status.code().expect("pulleyctl ends by itself"),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// The result of a run of `pulleyctl`.
#[derive(Debug)]
pub(crate) struct PulleyctlOutput {
    /// Its exit code.
    pub(crate) code: i32,
    /// What it printed on standard output.
    pub(crate) out: String,
    /// What it printed on standard error.
    pub(crate) err: String,
}

/// Builds `pulleyctl` and returns its path. Cargo builds only the binaries of a test's own package,
/// so an existing binary of another package could be stale.
fn pulleyctl_binary() -> &'static Path {
    static BINARY: std::sync::OnceLock<PathBuf> = std::sync::OnceLock::new();
    BINARY.get_or_init(|| {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--quiet", "--locked", "--package", "pulleyctl"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let built = build.current_dir(env!("CARGO_MANIFEST_DIR")).status();
        assert!(built.is_ok_and(|status| status.success()), "pulleyctl cannot be built");
        Path::new(env!("CARGO_BIN_EXE_pulleyd")).with_file_name("pulleyctl")
    })
}
