//! A cluster of daemon processes.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

use super::{DaemonProcess, HttpAnswer, HttpClient};

/// The secret key of all test clusters.
pub(crate) const KEY: &str = "a-key-for-tests-only-0123456789abcdef";

/// Timeout for conditions. It allows for a busy machine and is not normally reached.
const WAIT_LIMIT: Duration = Duration::from_secs(40);

/// Polls a condition. Returns whether it became true within the limit.
pub(crate) fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start_time = Instant::now();
    loop {
        if condition() {
            return true;
        }
        if start_time.elapsed() >= limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A cluster of daemons. Dropping it stops them and removes their folder.
#[derive(Debug)]
pub(crate) struct TestCluster {
    /// The daemons, in the order of their host ids h1, h2, ….
    pub(crate) hosts: Vec<DaemonProcess>,
    folder: TempDir,
}

impl TestCluster {
    /// Starts `replicas` hosts that store the log and `entries` hosts that do not.
    pub(crate) fn start(replicas: usize, entries: usize) -> Self {
        let folder = TempDir::new().expect("a folder");
        fs::write(folder.path().join("secret"), format!("{KEY}\n")).expect("a secret file");
        let founders: Vec<String> = (1..=replicas).map(|n| format!("h{n}=m{n}")).collect();
        let mut cluster = Self { hosts: Vec::new(), folder };
        for number in 1..=replicas + entries {
            let roles = if number <= replicas { "entry,replica" } else { "entry" };
            cluster.add(&format!("h{number}"), roles, &founders.join(","));
        }
        let seeds: Vec<String> =
            cluster.hosts.iter().take(3).map(|host| host.addresses[3].to_string()).collect();
        for host in &mut cluster.hosts {
            host.set_flag("--seeds", &seeds.join(","));
        }
        cluster
    }

    /// Starts another host.
    pub(crate) fn add(&mut self, host: &str, roles: &str, founders: &str) {
        let secret = self.folder.path().join("secret");
        let mut flags: Vec<String> = Vec::new();
        for (name, value) in [
            ("--zone", "z1"),
            ("--cluster", "test"),
            ("--secret-file", secret.to_str().expect("a plain path")),
            ("--roles", roles),
            ("--replicas", founders),
            ("--drain-grace", "5s"),
            ("--traffic-threads", "1"),
        ] {
            flags.extend([name.to_owned(), value.to_owned()]);
        }
        if let Some(first) = self.hosts.first() {
            flags.extend(["--seeds".to_owned(), first.addresses[3].to_string()]);
        }
        self.hosts.push(DaemonProcess::start(host, self.folder.path(), flags));
    }

    /// Returns a client for a host's operator API.
    pub(crate) fn operator(&self, host: usize) -> HttpClient {
        HttpClient::new(self.hosts[host].addresses[2])
            .with_header("authorization", &format!("Bearer {KEY}"))
            .with_header("content-type", "application/json")
    }

    /// Returns a client for a host's caller listener.
    pub(crate) fn caller(&self, host: usize) -> HttpClient {
        HttpClient::new(self.hosts[host].addresses[0])
    }

    /// Returns the addresses at which upstreams announce themselves.
    pub(crate) fn announce_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.addresses[1]).collect()
    }

    /// Asks a host to apply a sheet. An error means that the answer was lost.
    pub(crate) fn apply(
        &self,
        host: usize,
        change_id: &str,
        expect: u64,
        sheet: &str,
    ) -> io::Result<HttpAnswer> {
        let body = json!({
            "change_id": change_id, "actor": "tester", "expect": expect, "sheet": sheet,
        });
        self.operator(host).send("POST", "/v1/sheet", body.to_string().as_bytes())
    }

    /// Applies a sheet, retrying through the hosts in turn until it is accepted or refused.
    pub(crate) fn apply_until_answered(
        &self,
        hosts: &[usize],
        change_id: &str,
        expect: u64,
        sheet: &str,
    ) -> Value {
        let mut last = Value::Null;
        let mut next_hosts = hosts.iter().cycle();
        let is_answered = wait_until(WAIT_LIMIT, || {
            let host = *next_hosts.next().expect("at least one host");
            let Ok(answer) = self.apply(host, change_id, expect, sheet) else { return false };
            last = answer.json();
            last.get("accepted").is_some() || last.get("refused").is_some()
        });
        assert!(is_answered, "no definite answer to {change_id}: {last}");
        last
    }

    /// Returns the version in force at a host and whether it is ready, as the platform's balancer
    /// sees it.
    pub(crate) fn health(&self, host: usize) -> Option<(u64, bool)> {
        let answer = HttpClient::new(self.hosts[host].addresses[1]).get("/healthz").ok()?;
        let json = answer.json();
        Some((json.get("version")?.as_u64()?, json.get("ready")?.as_bool()?))
    }

    /// Returns a host's status.
    pub(crate) fn status(&self, host: usize) -> Option<Value> {
        self.operator(host).get("/status").ok().map(|answer| answer.json())
    }

    /// Returns the first of these hosts that reports itself as the leader.
    pub(crate) fn leader(&self, hosts: &[usize]) -> Option<usize> {
        hosts.iter().find_map(|asked| {
            let status = self.status(*asked)?;
            if status.pointer("/replica/role")?.as_str()? == "leader" { Some(*asked) } else { None }
        })
    }

    /// Waits until all of these hosts are ready with this version. Panics with their logs on
    /// timeout.
    pub(crate) fn wait_for_version(&self, hosts: &[usize], version: u64) {
        self.wait_for("version in force", hosts, |cluster| {
            hosts.iter().all(|host| cluster.health(*host) == Some((version, true)))
        });
    }

    /// Waits for a condition. Panics with the hosts' logs on timeout.
    pub(crate) fn wait_for(&self, what: &str, hosts: &[usize], condition: impl Fn(&Self) -> bool) {
        if wait_until(WAIT_LIMIT, || condition(self)) {
            return;
        }
        for host in hosts {
            eprintln!("--- {} {:?}\n{}", self.hosts[*host].host, self.health(*host), {
                self.hosts[*host].log()
            });
        }
        panic!("timed out waiting for: {what}");
    }
}
