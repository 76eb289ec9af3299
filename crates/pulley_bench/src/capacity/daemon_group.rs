//! Runs the daemons of one installation as processes on loopback and reads their resource use.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, bail, eyre};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tempfile::TempDir;

/// The key of the installation under test.
const KEY: &str = "a-key-for-measurements-0123456789abcdef";
/// The time limit for a daemon to listen and for the group to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// The number of hosts with a replica of the log.
const REPLICAS: usize = 3;
/// The clock ticks per second in `/proc/PID/stat`, the same on all current Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;

/// The HTTP client for all requests of the measurement.
pub(super) type HttpCaller = Client<HttpConnector, Full<Bytes>>;

/// Makes an HTTP client.
pub(super) fn http_caller() -> HttpCaller {
    Client::builder(TokioExecutor::new()).build_http()
}

/// One daemon process, which is killed on drop.
pub(super) struct DaemonChild {
    child: Child,
    /// The addresses for callers, upstreams, operators and peers, in this order.
    addresses: [SocketAddr; 4],
}

impl Drop for DaemonChild {
    fn drop(&mut self) {
        // The process may have ended by itself, and a failure cannot be handled here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The resources that one process has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProcessUsage {
    /// Processor time, in seconds.
    pub(super) processor: f64,
    /// Resident memory, in bytes.
    pub(super) resident: f64,
    /// Bytes sent to other hosts, including the headers of UDP and IP but not those of TCP.
    pub(super) sent: f64,
    /// Messages and frames sent to other hosts.
    pub(super) messages: f64,
}

/// The daemons of one installation.
pub(super) struct DaemonGroup {
    pub(super) daemons: Vec<DaemonChild>,
    caller: HttpCaller,
    temp_folder: TempDir,
}

impl DaemonGroup {
    /// Starts `count` daemons. The first three hold the log.
    pub(super) async fn start(binary: &Path, count: usize) -> Result<Self> {
        let folder = TempDir::new()?;
        fs::write(folder.path().join("secret"), KEY)?;
        let mut group = Self { daemons: Vec::new(), caller: http_caller(), temp_folder: folder };
        for index in 0..count {
            let daemon = group.launch(binary, index).await?;
            group.daemons.push(daemon);
        }
        Ok(group)
    }

    async fn launch(&self, binary: &Path, index: usize) -> Result<DaemonChild> {
        let folder = self.temp_folder.path();
        let name = format!("h{index}");
        let log_path = folder.join(format!("{name}.log"));
        let founders: Vec<String> =
            (0..REPLICAS).map(|replica| format!("h{replica}=m{}", replica + 1)).collect();
        let mut command = Command::new(binary);
        command.args(["--host-id", &name, "--zone", &format!("z{}", index % 3)]);
        command.args(["--cluster", "capacity", "--traffic-threads", "1"]);
        command.arg("--secret-file").arg(folder.join("secret"));
        command.args(["--replicas", &founders.join(",")]);
        for listener in ["callers", "upstreams", "operators", "peers"] {
            command.args([format!("--{listener}-listen"), "127.0.0.1:0".to_owned()]);
        }
        if index < REPLICAS {
            command.args(["--roles", "entry,replica"]);
            command.arg("--data-folder").arg(folder.join(format!("{name}-data")));
        }
        let seeds: Vec<String> =
            self.daemons.iter().take(REPLICAS).map(|d| d.addresses[3].to_string()).collect();
        if !seeds.is_empty() {
            command.args(["--seeds", &seeds.join(",")]);
        }

        let output = fs::File::create(&log_path)?;
        command.env_clear().stdin(Stdio::null()).stdout(output.try_clone()?);
        let child = command.stderr(output).spawn()?;
        // Wrapped before waiting, so that the process is killed even if it never listens.
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = DaemonChild { child, addresses: [any_port; 4] };
        daemon.addresses = read_addresses(&log_path).await?;
        Ok(daemon)
    }

    /// Returns the addresses to which upstreams announce themselves.
    pub(super) fn announce_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.addresses[1]).collect()
    }

    /// Applies a sheet through the first host and returns the new version. Retries until the change is
    /// accepted.
    pub(super) async fn apply(&self, change: &str, expect: u64, sheet: &str) -> Result<u64> {
        let started = Instant::now();
        let body = serde_json::json!({
            "change_id": change, "actor": "bench", "expect": expect, "sheet": sheet,
        });
        loop {
            let result = self.operator_request("POST", "/v1/sheet", &body.to_string()).await;
            let answer = result.unwrap_or(Value::Null);
            if let Some(version) = answer.pointer("/accepted/version").and_then(Value::as_u64) {
                return Ok(version);
            }
            if started.elapsed() > READY_TIMEOUT {
                bail!("the change was not accepted within {READY_TIMEOUT:?}: {answer}");
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn operator_request(&self, method: &str, path: &str, body: &str) -> Result<Value> {
        request(&self.caller, self.daemons[0].addresses[2], (method, path), body).await
    }

    /// Waits until the status of every host meets a condition.
    pub(super) async fn await_status(&self, condition: impl Fn(&Value) -> bool) -> Result<()> {
        let started = Instant::now();
        for daemon in &self.daemons {
            loop {
                let result =
                    request(&self.caller, daemon.addresses[2], ("GET", "/status"), "").await;
                let status = result.unwrap_or(Value::Null);
                if condition(&status) {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    bail!(
                        "a host does not reach the expected status within {READY_TIMEOUT:?}: {status}"
                    );
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the resources that each process has used so far.
    pub(super) async fn usage(&self) -> Result<Vec<ProcessUsage>> {
        // Bytes of the headers of UDP and IPv4.
        const HEADER_BYTES: f64 = 28.0;
        let mut usages = Vec::new();
        for daemon in &self.daemons {
            let status = request(&self.caller, daemon.addresses[2], ("GET", "/status"), "").await?;
            let read = |path| status.pointer(path).and_then(Value::as_f64).unwrap_or(0.0);
            let (processor, resident) = read_process(daemon.child.id())?;
            let (datagrams, frames) =
                (read("/control/datagrams_sent"), read("/control/link_frames"));
            let sent = read("/control/sent_bytes") + datagrams * HEADER_BYTES;
            usages.push(ProcessUsage { processor, resident, sent, messages: datagrams + frames });
        }
        Ok(usages)
    }
}

/// Sends one request with the key of the installation and parses the answer as JSON.
pub(super) async fn request(
    caller: &HttpCaller,
    to: SocketAddr,
    (method, path): (&str, &str),
    body: &str,
) -> Result<Value> {
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
    let answer = tokio::time::timeout(Duration::from_secs(5), caller.request(request)).await??;
    let bytes = answer.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&bytes)?)
}

async fn read_addresses(log: &PathBuf) -> Result<[SocketAddr; 4]> {
    let started = Instant::now();
    loop {
        let text = fs::read_to_string(log)?;
        if let Some(line) = text.lines().find(|line| line.contains("event=listening")) {
            let find = |name: &str| {
                let prefix = format!("{name}=");
                let word = line.split_whitespace().find_map(|word| word.strip_prefix(&prefix));
                word.and_then(|address| address.parse().ok())
                    .ok_or_else(|| eyre!("no {name} in {line}"))
            };
            return Ok([find("callers")?, find("upstreams")?, find("operators")?, find("peers")?]);
        }
        if started.elapsed() > READY_TIMEOUT {
            bail!("a daemon does not listen within {READY_TIMEOUT:?}: {text}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Reads the processor time in seconds and the resident memory in bytes of a process.
fn read_process(id: u32) -> Result<(f64, f64)> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The process name in parentheses may contain spaces, so fields are counted after it.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let number = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    let ticks = number(11).zip(number(12)).map(|(user, system)| user + system);
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
    let processor =
        ticks.ok_or_else(|| eyre!("no processor time in /proc/{id}/stat"))? / TICKS_PER_SECOND;
    Ok((processor, kilobytes.ok_or_else(|| eyre!("no VmRSS for {id}"))? * 1_024.0))
}
