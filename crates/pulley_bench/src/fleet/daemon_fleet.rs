//! Runs the daemons of one installation as processes on this machine.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;

/// The installation's key. It can be fixed because the hosts listen on loopback only and are ended
/// with the benchmark.
const KEY: &str = "the-key-of-a-bench-on-loopback-0123456789";

/// How long to wait for a condition before giving up.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Names of a daemon's listeners, in the order of [`DaemonProcess::addresses`].
const LISTENERS: [&str; 4] = ["callers", "upstreams", "operators", "peers"];

/// Parameters of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetPlan {
    /// Number of daemons.
    pub(crate) hosts: usize,
    /// How many of the daemons are replicas, which hold the log.
    pub(crate) replicas: usize,
    /// Whether the entries share counts or use only their own.
    pub(crate) share_counts: bool,
}

#[derive(Debug)]
struct DaemonProcess {
    addresses: [SocketAddr; 4],
    child: Child,
}

/// Running daemons. Dropping the fleet kills them.
#[derive(Debug)]
pub(crate) struct DaemonFleet {
    hosts: Vec<DaemonProcess>,
    _folder: TempDir,
}

/// Resource usage of a fleet, up to a sample or between two samples. The vectors hold one value for
/// each host.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetCost {
    /// Time of the sample, or time between two samples, in seconds.
    pub(crate) at: f64,
    /// Processor time, in seconds.
    pub(crate) cpu_seconds: Vec<f64>,
    /// Control bytes sent, without IP headers.
    pub(crate) control_bytes: Vec<f64>,
    /// Resident memory, in MB.
    pub(crate) resident_mb: Vec<f64>,
}

impl FleetCost {
    /// Returns the usage since an earlier sample. Memory is the current value.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let difference = |now: &[f64], before: &[f64]| -> Vec<f64> {
            now.iter().zip(before).map(|(now, before)| now - before).collect()
        };
        Self {
            at: self.at - earlier.at,
            cpu_seconds: difference(&self.cpu_seconds, &earlier.cpu_seconds),
            control_bytes: difference(&self.control_bytes, &earlier.control_bytes),
            resident_mb: self.resident_mb.clone(),
        }
    }
}

impl DaemonFleet {
    /// Starts the daemons and waits until they listen.
    pub(crate) fn start(plan: FleetPlan) -> Result<Self> {
        let folder = TempDir::new()?;
        fs::write(folder.path().join("secret"), format!("{KEY}\n"))?;
        let founders: Vec<String> = (1..=plan.replicas).map(|n| format!("h{n}=m{n}")).collect();
        let mut hosts: Vec<DaemonProcess> = Vec::new();
        for number in 1..=plan.hosts {
            let seeds: Vec<String> =
                hosts.iter().take(3).map(|host| host.addresses[3].to_string()).collect();
            let mut command = Command::new(daemon_path()?);
            command
                .args(["--host-id", &format!("h{number}"), "--zone", &format!("z{}", number % 3)])
                .args(["--cluster", "bench", "--traffic-threads", "1"])
                .args(["--replicas", &founders.join(",")])
                .args(["--share-counts", if plan.share_counts { "yes" } else { "no" }])
                .arg("--secret-file")
                .arg(folder.path().join("secret"));
            for name in LISTENERS {
                command.args([&format!("--{name}-listen"), "127.0.0.1:0"]);
            }
            if !seeds.is_empty() {
                command.args(["--seeds", &seeds.join(",")]);
            }
            if number <= plan.replicas {
                let data = folder.path().join(format!("data-{number}"));
                command.args(["--roles", "entry,replica", "--data-folder"]).arg(data);
            }
            hosts.push(start_daemon(command, &folder.path().join(format!("log-{number}")))?);
        }
        Ok(Self { hosts, _folder: folder })
    }

    /// Returns the addresses on which the entries accept callers.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.addresses[0]).collect()
    }

    /// Returns the addresses to which upstreams announce themselves.
    pub(crate) fn announce_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.addresses[1]).collect()
    }

    /// Applies a sheet as the first version and waits until all hosts are ready to serve it.
    pub(crate) fn apply_sheet(&self, sheet: &str) -> Result<()> {
        let body = json!({
            "change_id": "bench-1", "actor": "bench", "expect": 0, "sheet": sheet,
        });
        wait_until("the sheet is accepted", || {
            let answer =
                request_json(self.hosts[0].addresses[2], "POST", "/v1/sheet", &body.to_string());
            answer.is_ok_and(|answer| answer.get("accepted").is_some())
        })?;
        wait_until("all hosts serve", || {
            self.hosts.iter().all(|host| {
                request_json(host.addresses[1], "GET", "/healthz", "")
                    .is_ok_and(|answer| answer["ready"] == true)
            })
        })
    }

    /// Waits until every host knows this many upstreams.
    pub(crate) fn wait_for_upstreams(&self, count: usize) -> Result<()> {
        wait_until("all upstreams are known", || {
            self.statuses().is_ok_and(|all| all.iter().all(|status| status["upstreams"] == count))
        })
    }

    /// Samples the fleet's resource usage.
    pub(crate) fn cost(&self) -> Result<FleetCost> {
        let statuses = self.statuses()?;
        let sent = |status: &Value| status.pointer("/control/sent_bytes").and_then(Value::as_f64);
        Ok(FleetCost {
            at: process_clock(),
            cpu_seconds: self.hosts.iter().map(|host| cpu_seconds_of(host.child.id())).collect(),
            control_bytes: statuses.iter().map(|status| sent(status).unwrap_or(0.0)).collect(),
            resident_mb: self.hosts.iter().map(|host| resident_mb(host.child.id())).collect(),
        })
    }

    fn statuses(&self) -> Result<Vec<Value>> {
        self.hosts
            .iter()
            .map(|host| request_json(host.addresses[2], "GET", "/status", ""))
            .collect()
    }
}

impl Drop for DaemonFleet {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            let id = i32::try_from(host.child.id()).unwrap_or(i32::MAX);
            let _ = kill(Pid::from_raw(id), Signal::SIGKILL);
            let _ = host.child.wait();
        }
    }
}

// -------------------------------------------------------------------------------------------------
// Processes

/// Returns the path of the daemon that was built next to this program.
fn daemon_path() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let path = own.with_file_name("pulleyd");
    if !path.exists() {
        bail!("{} is missing: build the package pulleyd in the same profile", path.display());
    }
    Ok(path)
}

fn start_daemon(mut command: Command, log: &Path) -> Result<DaemonProcess> {
    let output = File::create(log)?;
    command.env_clear().stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output);
    let child = command.spawn().wrap_err("the daemon could not be started")?;
    let mut host = DaemonProcess { addresses: [SocketAddr::from(([127, 0, 0, 1], 0)); 4], child };
    let mut found = None;
    let listening = wait_until("the daemon listens", || {
        found = fs::read_to_string(log).ok().and_then(|text| read_addresses(&text));
        found.is_some()
    });
    if let Err(fault) = listening {
        let _ = host.child.kill();
        bail!("{fault}: {}", fs::read_to_string(log).unwrap_or_default());
    }
    host.addresses = found.unwrap_or(host.addresses);
    Ok(host)
}

fn read_addresses(log: &str) -> Option<[SocketAddr; 4]> {
    let line = log.lines().find(|line| line.contains("event=listening"))?;
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); 4];
    for (name, address) in LISTENERS.iter().zip(&mut addresses) {
        let key = format!("{name}=");
        let value = line.split(' ').find_map(|value| value.strip_prefix(key.as_str()))?;
        *address = value.parse().ok()?;
    }
    Some(addresses)
}

fn cpu_seconds_of(id: u32) -> f64 {
    /// Clock ticks per second; 100 on every platform that this runs on.
    const TICKS: f64 = 100.0;
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS
}

fn resident_mb(id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}

fn process_clock() -> f64 {
    use std::sync::OnceLock;
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    ORIGIN.get_or_init(Instant::now).elapsed().as_secs_f64()
}

// -------------------------------------------------------------------------------------------------
// Requests

fn wait_until(condition_text: &str, mut condition: impl FnMut() -> bool) -> Result<()> {
    let began = Instant::now();
    while !condition() {
        if began.elapsed() > WAIT_TIMEOUT {
            return Err(eyre!("timed out waiting: {condition_text}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn request_json(address: SocketAddr, method: &str, path: &str, body: &str) -> Result<Value> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (_, answer) = text.split_once("\r\n\r\n").ok_or_else(|| eyre!("no answer"))?;
    Ok(serde_json::from_str(answer)?)
}
