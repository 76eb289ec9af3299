//! Runs real daemons on loopback and sends them the requests of the measurement.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, bail, eyre};
use serde_json::{Value, json};

const KEY: &str = "a-key-for-measurements-only-0123456789";
const LISTENERS: [&str; 4] = ["callers", "upstreams", "operators", "peers"];

/// The time limit for a daemon to listen and for a cluster to accept changes.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// The time limit for a connection attempt and for each read of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// One daemon process, which is killed on drop.
pub(crate) struct DaemonHost {
    child: Child,
    /// The addresses for callers, upstreams, operators and peers, in this order.
    addresses: [SocketAddr; 4],
}

/// Real daemons of one cluster on loopback.
pub(crate) struct DaemonHosts {
    pub(crate) hosts: Vec<DaemonHost>,
    folder: PathBuf,
    program: PathBuf,
}

impl DaemonHosts {
    /// Starts daemons and applies `sheet` as version 1. The first `replicas` daemons hold the log.
    /// Returns once all daemons serve version 1.
    pub(crate) fn start(
        program: &Path,
        folder: &Path,
        size: usize,
        replicas: usize,
        sheet: &str,
    ) -> Result<Self> {
        fs::write(folder.join("secret"), format!("{KEY}\n"))?;
        let mut hosts =
            Self { hosts: Vec::new(), folder: folder.to_owned(), program: program.to_owned() };
        for number in 0..size {
            hosts.launch(number, replicas)?;
        }
        let started = Instant::now();
        while hosts.apply(0, "first", 0, sheet).ok().and_then(|a| accepted_version(&a)).is_none() {
            if started.elapsed() > START_TIMEOUT {
                bail!("no change is accepted within {START_TIMEOUT:?}");
            }
            thread::sleep(Duration::from_millis(200));
        }
        for number in 0..size {
            hosts.await_version(number, 1, START_TIMEOUT)?;
        }
        Ok(hosts)
    }

    fn launch(&mut self, number: usize, replicas: usize) -> Result<()> {
        let is_replica = number < replicas;
        let founders: Vec<String> = (0..replicas).map(|n| format!("h{n}=m{}", n + 1)).collect();
        let seeds: Vec<String> =
            self.hosts.iter().take(3).map(|host| host.addresses[3].to_string()).collect();
        let log_path = self.folder.join(format!("h{number}.log"));
        let mut command = Command::new(&self.program);
        command
            .args(["--host-id", &format!("h{number}"), "--zone", "z1", "--cluster", "bench"])
            .arg("--secret-file")
            .arg(self.folder.join("secret"))
            .args(["--roles", if is_replica { "entry,replica" } else { "entry" }])
            .args(["--replicas", &founders.join(","), "--seeds", &seeds.join(",")])
            .args(["--traffic-threads", "1"]);
        for name in LISTENERS {
            command.args([&format!("--{name}-listen"), "127.0.0.1:0"]);
        }
        if is_replica {
            command.arg("--data-folder").arg(self.folder.join(format!("h{number}-data")));
        }
        let output = File::create(&log_path)?;
        command.env_clear().stdin(Stdio::null()).stdout(output.try_clone()?);
        let child = command.stderr(output).spawn()?;
        let addresses = await_addresses(&log_path)?;
        self.hosts.push(DaemonHost { child, addresses });
        Ok(())
    }

    /// Applies a sheet through a host and returns its answer.
    pub(crate) fn apply(
        &self,
        host: usize,
        change_id: &str,
        expect: u64,
        sheet: &str,
    ) -> Result<Value> {
        let body = json!({
            "change_id": change_id, "actor": "bench", "expect": expect, "sheet": sheet,
        })
        .to_string();
        let mut connection = HttpConnection::connect(self.hosts[host].addresses[2])?;
        connection.send("POST", "/v1/sheet", &body)
    }

    /// Waits until a host serves a version. Returns the number of health checks made.
    pub(crate) fn await_version(
        &self,
        host: usize,
        version: u64,
        timeout: Duration,
    ) -> Result<u32> {
        let started = Instant::now();
        let mut checks = 0;
        let mut connection = HttpConnection::connect(self.hosts[host].addresses[1])?;
        while started.elapsed() < timeout {
            checks += 1;
            let health = connection.send("GET", "/healthz", "")?;
            let served_version = health.get("version").and_then(Value::as_u64).unwrap_or(0);
            if served_version >= version
                && health.get("ready").and_then(Value::as_bool) == Some(true)
            {
                return Ok(checks);
            }
            thread::sleep(Duration::from_millis(2));
        }
        bail!("host {host} does not serve version {version} within {timeout:?}")
    }

    /// Returns the index of the host whose replica leads.
    pub(crate) fn leader(&self) -> Result<usize> {
        for (number, host) in self.hosts.iter().enumerate() {
            let mut connection = HttpConnection::connect(host.addresses[2])?;
            let status = connection.send("GET", "/status", "")?;
            if status.pointer("/replica/role").and_then(Value::as_str) == Some("leader") {
                return Ok(number);
            }
        }
        bail!("no host is the leader")
    }

    /// Kills a host without a graceful shutdown.
    pub(crate) fn kill(&mut self, host: usize) -> Result<()> {
        self.hosts[host].child.kill()?;
        self.hosts[host].child.wait()?;
        Ok(())
    }

    /// Returns the processor time that each host has used, in seconds.
    pub(crate) fn processor_seconds(&self) -> Vec<f64> {
        self.hosts.iter().map(|host| processor_seconds(host.child.id())).collect()
    }
}

impl Drop for DaemonHost {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the version from an answer, if the change was accepted.
pub(crate) fn accepted_version(answer: &Value) -> Option<u64> {
    answer.pointer("/accepted/version").and_then(Value::as_u64)
}

fn await_addresses(log_path: &Path) -> Result<[SocketAddr; 4]> {
    let started = Instant::now();
    while started.elapsed() < START_TIMEOUT {
        let log = fs::read_to_string(log_path)?;
        if let Some(addresses) = read_addresses(&log) {
            return Ok(addresses);
        }
        thread::sleep(Duration::from_millis(10));
    }
    bail!("a daemon does not listen within {START_TIMEOUT:?}: {}", fs::read_to_string(log_path)?)
}

fn read_addresses(log: &str) -> Option<[SocketAddr; 4]> {
    let line = log.lines().find(|line| line.contains("event=listening"))?;
    let find = |name: &str| {
        let key = format!("{name}=");
        line.split(' ').find_map(|word| word.strip_prefix(key.as_str()))?.parse().ok()
    };
    let [callers, upstreams, operators, peers] = LISTENERS;
    Some([find(callers)?, find(upstreams)?, find(operators)?, find(peers)?])
}

fn processor_seconds(process: u32) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    // User and system time are fields 14 and 15. `after_name` begins at field 3.
    let ticks: u64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    ticks as f64 / TICKS_PER_SECOND
}

/// A persistent HTTP connection, reused for each request.
struct HttpConnection {
    stream: TcpStream,
}

impl HttpConnection {
    fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    fn send(&mut self, method: &str, path: &str, body: &str) -> Result<Value> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer {KEY}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(request.as_bytes())?;
        let mut raw = Vec::new();
        let mut chunk = [0; 16_384];
        loop {
            let read = self.stream.read(&mut chunk)?;
            if read == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            raw.extend_from_slice(&chunk[..read]);
            if let Some(body) = complete_body(&raw)? {
                return Ok(serde_json::from_slice(body).unwrap_or(Value::Null));
            }
        }
    }
}

/// Returns the body of an answer once it is complete.
fn complete_body(raw: &[u8]) -> Result<Option<&[u8]>> {
    let Some(end) = raw.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Ok(None);
    };
    let head = std::str::from_utf8(&raw[..end])?.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .ok_or_else(|| eyre!("an answer without a content length: {head}"))?;
    let body = &raw[end + 4..];
    let length: usize = length.trim().parse()?;
    Ok((body.len() >= length).then(|| &body[..length]))
}
