//! Parses and checks the daemon's settings from flags and environment variables, and reports every
//! fault at once.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Fail, Options};
use pulley_core::process::{ClusterId, FastMap};
use pulley_core::{HostId, ZoneName};
use thiserror::Error;

use super::setting_list::{SETTINGS, VARIABLE_PREFIX};
use super::{BootstrapReplica, HostRoles, ReplicationSettings, TrafficSettings};

/// Result of parsing settings.
type Result<T> = std::result::Result<T, SettingsFaults>;

/// The longest duration that a setting may have: a day.
const MAX_DURATION: Duration = Duration::from_secs(86_400);

/// The maximum number of keys in a ledger. At 138 bytes each they take 69 MB of a host's 128 MB of
/// memory.
const LEDGER_CAPACITY_LIMIT: usize = 500_000;

/// The shortest ledger retention. A caller resends a request after a lost answer well within it.
const MIN_LEDGER_RETENTION: Duration = Duration::from_secs(10);

/// The shortest lease of an upstream: three announcements, one second apart, and half a second
/// more.
const MIN_UPSTREAM_LEASE: Duration = Duration::from_secs(3);

/// The largest number of requests beyond its burst that an organisation's account may let pass.
const QUOTA_TOLERANCE_LIMIT: usize = 1_000;

/// The longest window of quotas, in seconds. A new keeper refuses more for the whole window.
const QUOTA_WINDOW_LIMIT_S: usize = 60;

/// The maximum number of upstreams probed for one request. Probing more than a few costs more than
/// it gains.
const ARRIVAL_PROBES_LIMIT: usize = 8;

/// The maximum number of copies that an acknowledgement may wait for. A cluster has at most nine
/// members.
const COPIES_LIMIT: usize = 9;

/// The checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// The name of this host.
    pub host_id: HostId,
    /// The availability zone of this host.
    pub zone: ZoneName,
    /// The name of the installation.
    pub cluster: ClusterId,
    /// The file with the keys of operators and peers.
    pub secret_file: PathBuf,
    /// The address to which callers connect.
    pub callers_listen: SocketAddr,
    /// The address for the announcements of upstreams and the platform's health checks.
    pub upstreams_listen: SocketAddr,
    /// The address to which operators connect.
    pub operators_listen: SocketAddr,
    /// The address to which other hosts connect.
    pub peers_listen: SocketAddr,
    /// The peer addresses that this host contacts first.
    pub seeds: Vec<SocketAddr>,
    /// The roles of this host.
    pub roles: HostRoles,
    /// The founding members of the replicated log.
    pub replicas: Vec<BootstrapReplica>,
    /// The folder of a replica's state. Present if and only if the host is a replica.
    pub data_folder: Option<PathBuf>,
    /// The longest wait for requests in flight at shutdown.
    pub drain_grace: Duration,
    /// The least severe level that is logged.
    pub log_level: slog::Level,
    /// The number of threads that serve requests.
    pub traffic_threads: usize,
    /// The callers whose attempt and priority headers are trusted.
    pub trusted_callers: Vec<IpAddr>,
    /// The maximum number of open connections from callers.
    pub callers_limit: usize,
    /// The maximum number of idempotency keys in the ledger while this host leads the log.
    pub ledger_capacity: usize,
    /// The shortest time for which the ledger remembers a key.
    pub ledger_retention: Duration,
    /// Whether this host shares load counts with other hosts. If not, it places requests by its own
    /// counts alone.
    pub share_counts: bool,
    /// Settings for entries and upstreams.
    pub traffic: TrafficSettings,
    /// Settings for the replication of the log.
    pub replication: ReplicationSettings,
    /// The time that the platform's balancer gets to notice that this host shuts down.
    pub ready_grace: Option<Duration>,
    /// The address at which metrics are served without a key.
    pub metrics_listen: Option<SocketAddr>,
}

/// What the command line requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsRequest {
    /// Run with these settings.
    Run(Box<DaemonSettings>),
    /// Print this help text and exit.
    Help(String),
    /// Print this version and exit.
    Version(String),
    /// Print these settings and exit.
    Check(Box<DaemonSettings>),
}

/// Every fault of the settings, one per line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
#[error("{}", .faults.join("\n"))]
pub struct SettingsFaults {
    /// The faults. Each names the setting, its value and what is allowed.
    pub faults: Vec<String>,
}

impl DaemonSettings {
    /// Parses flags (without the program's name) and environment variables. A flag overrides its
    /// variable.
    ///
    /// # Errors
    /// Returns every fault at once: unknown flags and `PULLEYD_` variables, missing and invalid
    /// values, and settings that contradict each other.
    pub fn parse(
        args: impl IntoIterator<Item = String>,
        env: impl IntoIterator<Item = (String, String)>,
    ) -> Result<SettingsRequest> {
        let mut reader = SettingsReader::new(args, env);
        if reader.help {
            return Ok(SettingsRequest::Help(help_text()));
        }
        if reader.version {
            return Ok(SettingsRequest::Version(version_text()));
        }
        let settings = reader.read();
        let settings = settings.filter(|settings| reader.check_consistency(settings));
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(if reader.check {
                SettingsRequest::Check(Box::new(settings))
            } else {
                SettingsRequest::Run(Box::new(settings))
            }),
            _ => Err(SettingsFaults { faults: reader.faults }),
        }
    }

    /// Returns the local address of connections to other hosts and to upstreams.
    #[must_use]
    pub fn own_address(&self) -> IpAddr {
        self.peers_listen.ip()
    }
}

impl fmt::Display for DaemonSettings {
    /// Prints one setting per line, as `--check` shows them. The output holds no secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "host-id={}", self.host_id)?;
        writeln!(f, "zone={}", self.zone)?;
        writeln!(f, "cluster={}", self.cluster)?;
        writeln!(f, "secret-file={}", self.secret_file.display())?;
        writeln!(f, "callers-listen={}", self.callers_listen)?;
        writeln!(f, "upstreams-listen={}", self.upstreams_listen)?;
        writeln!(f, "operators-listen={}", self.operators_listen)?;
        writeln!(f, "peers-listen={}", self.peers_listen)?;
        writeln!(f, "seeds={}", joined(&self.seeds))?;
        writeln!(f, "roles={}", self.roles)?;
        writeln!(f, "replicas={}", joined(&self.replicas))?;
        let folder = self.data_folder.as_deref().unwrap_or("".as_ref());
        writeln!(f, "data-folder={}", folder.display())?;
        writeln!(f, "drain-grace={}ms", self.drain_grace.as_millis())?;
        writeln!(f, "log-level={}", self.log_level.as_str().to_ascii_lowercase())?;
        writeln!(f, "traffic-threads={}", self.traffic_threads)?;
        writeln!(f, "ledger-capacity={}", self.ledger_capacity)?;
        writeln!(f, "ledger-retention={}ms", self.ledger_retention.as_millis())?;
        writeln!(f, "share-counts={}", if self.share_counts { "yes" } else { "no" })?;
        writeln!(f, "trusted-callers={}", joined(&self.trusted_callers))?;
        writeln!(f, "callers-limit={}", self.callers_limit)?;
        write!(f, "{}{}", self.traffic, self.replication)?;
        let grace = self.ready_grace.map(|grace| format!("{}ms", grace.as_millis()));
        writeln!(f, "ready-grace={}", grace.unwrap_or_default())?;
        let metrics = self.metrics_listen.map(|address| address.to_string());
        write!(f, "metrics-listen={}", metrics.unwrap_or_default())
    }
}

// -----------------------------------------------------------------------------------------
// Parsing

/// Collects values and faults while the settings are parsed.
struct SettingsReader {
    values: FastMap<&'static str, String>,
    faults: Vec<String>,
    help: bool,
    version: bool,
    check: bool,
}

impl SettingsReader {
    fn new(
        args: impl IntoIterator<Item = String>,
        env: impl IntoIterator<Item = (String, String)>,
    ) -> Self {
        let mut reader = Self {
            values: FastMap::default(),
            faults: Vec::new(),
            help: false,
            version: false,
            check: false,
        };
        reader.read_variables(env);
        reader.read_flags(args.into_iter().collect());
        reader
    }

    fn read_variables(&mut self, env: impl IntoIterator<Item = (String, String)>) {
        let variables = env.into_iter().filter(|(name, _)| name.starts_with(VARIABLE_PREFIX));
        let mut variables: Vec<(String, String)> = variables.collect();
        variables.sort();
        for (name, value) in variables {
            match SETTINGS.iter().find(|entry| entry.variable() == name) {
                Some(entry) => drop(self.values.insert(entry.flag, value)),
                None => self.faults.push(format!("{name}: no such variable; see --help")),
            }
        }
    }

    /// Parses the flags. `getopts` stops at its first fault, so the faulty argument is removed and
    /// the rest is parsed again. An operator thus sees all faults at once.
    fn read_flags(&mut self, mut args: Vec<String>) {
        let options = options();
        let matches = loop {
            let fault = match options.parse(&args) {
                Ok(matches) => break matches,
                Err(fault) => fault,
            };
            let name = match &fault {
                Fail::UnrecognizedOption(name)
                | Fail::ArgumentMissing(name)
                | Fail::UnexpectedArgument(name)
                | Fail::OptionMissing(name)
                | Fail::OptionDuplicated(name) => name,
            };
            let flag = format!("--{name}");
            let is_faulty = |arg: &String| arg.split('=').next() == Some(flag.as_str());
            let index = args.iter().rposition(is_faulty);
            self.faults.push(format!("{flag}: {fault}; see --help"));
            let Some(index) = index else { return };
            args.remove(index);
        };
        self.help = matches.opt_present("help");
        self.version = matches.opt_present("version");
        self.check = matches.opt_present("check");
        for free in &matches.free {
            self.faults.push(format!("{free}: not a flag; see --help"));
        }
        for entry in SETTINGS {
            let given = matches.opt_strs(entry.flag);
            if given.len() > 1 {
                self.faults.push(format!("--{}: given more than once", entry.flag));
            }
            if let Some(value) = given.into_iter().next() {
                self.values.insert(entry.flag, value);
            }
        }
    }

    fn read(&mut self) -> Option<DaemonSettings> {
        let host_id = self.name("host-id");
        let zone = self.name("zone");
        let cluster = self.name("cluster");
        let secret_file = self.checked("secret-file", "a file", path);
        let callers_listen = self.address("callers-listen");
        let upstreams_listen = self.address("upstreams-listen");
        let operators_listen = self.address("operators-listen");
        let peers_listen = self.address("peers-listen");
        let seeds = self.checked("seeds", "a list such as 10.0.0.1:8083,10.0.0.2:8083", list);
        let roles = self.parsed("roles", "entry, replica or entry,replica");
        let replicas = self.checked("replicas", "a list such as host-a=m1,host-b=m2", list);
        let data_folder = self.checked("data-folder", "a folder", |text| Some(path(text)));
        let drain_grace = self.time("drain-grace", Duration::ZERO);
        let log_level = self.checked("log-level", "error, warning, info or debug", level);
        let traffic_threads = self.count("traffic-threads", 64);
        let trusted_callers =
            self.checked("trusted-callers", "a list such as 10.0.0.7,10.0.0.8", list);
        let callers_limit = self.count("callers-limit", 100_000);
        let ledger_capacity = self.count("ledger-capacity", LEDGER_CAPACITY_LIMIT);
        let ledger_retention = self.time("ledger-retention", MIN_LEDGER_RETENTION);
        let share_counts = self.checked("share-counts", "yes or no", yes_or_no);
        let traffic = self.read_traffic();
        let replication = self.read_replication();
        let ready_grace = self.optional("ready-grace", "a time such as 3s, or nothing", time_span);
        let metrics_listen =
            self.optional("metrics-listen", "an IP address and a port, or nothing", |text| {
                text.parse().ok()
            });
        Some(DaemonSettings {
            host_id: host_id?,
            zone: zone?,
            cluster: cluster?,
            secret_file: secret_file?,
            callers_listen: callers_listen?,
            upstreams_listen: upstreams_listen?,
            operators_listen: operators_listen?,
            peers_listen: peers_listen?,
            seeds: seeds?,
            roles: roles?,
            replicas: replicas?,
            data_folder: data_folder?,
            drain_grace: drain_grace?,
            log_level: log_level?,
            traffic_threads: traffic_threads?,
            trusted_callers: trusted_callers?,
            callers_limit: callers_limit?,
            ledger_capacity: ledger_capacity?,
            ledger_retention: ledger_retention?,
            share_counts: share_counts?,
            traffic: traffic?,
            replication: replication?,
            ready_grace: ready_grace?,
            metrics_listen: metrics_listen?,
        })
    }

    fn read_traffic(&mut self) -> Option<TrafficSettings> {
        let upstream_lease = self.time("upstream-lease", MIN_UPSTREAM_LEASE);
        let serves_without_quorum =
            self.checked("without-quorum", "serve or refuse", serve_or_refuse);
        let expected = "a whole number, or nothing";
        let retry_allowance = self.optional("retry-allowance", expected, |text| text.parse().ok());
        let retry_percent = self.count_from("retry-percent", 0, 100);
        let arrival_probes = self.count_from("arrival-probes", 0, ARRIVAL_PROBES_LIMIT);
        let arrival_probe_rate = self.count("arrival-probe-rate", 1_000);
        let expected = "a whole number of at least 1, or nothing";
        let link_kbps =
            self.optional("link-kbps", expected, |text| text.parse().ok().filter(|rate| *rate > 0));
        let key_lease = self.optional("key-lease", "a time such as 4s, or nothing", time_span);
        let quota_tolerance = self.count_from("quota-tolerance", 0, QUOTA_TOLERANCE_LIMIT);
        let quota_window = self.count("quota-window", QUOTA_WINDOW_LIMIT_S);
        let quota_overage = self.count_from("quota-overage", 0, 100);
        Some(TrafficSettings {
            upstream_lease: upstream_lease?,
            serves_without_quorum: serves_without_quorum?,
            retry_allowance: retry_allowance?,
            retry_percent: u32::try_from(retry_percent?).unwrap_or(0),
            arrival_probes: arrival_probes?,
            arrival_probe_rate: arrival_probe_rate?,
            link_kbps: link_kbps?,
            key_lease: key_lease?,
            quota_tolerance: u16::try_from(quota_tolerance?).unwrap_or(u16::MAX),
            quota_window: Duration::from_secs(quota_window? as u64),
            quota_overage: u8::try_from(quota_overage?).unwrap_or(u8::MAX),
        })
    }

    fn read_replication(&mut self) -> Option<ReplicationSettings> {
        let growth = self.checked("replica-growth", "yes or no", yes_or_no);
        let copies = self.count("replica-copies", COPIES_LIMIT);
        Some(ReplicationSettings { growth: growth?, copies: copies? })
    }

    /// Checks that the settings are consistent with each other. Returns whether they are.
    fn check_consistency(&mut self, settings: &DaemonSettings) -> bool {
        let before = self.faults.len();
        if settings.roles.replica != settings.data_folder.is_some() {
            self.faults.push(format!(
                "--data-folder: needed for the role replica and for no other; roles are {}",
                settings.roles
            ));
        }
        let listeners = [
            ("--callers-listen", settings.callers_listen),
            ("--upstreams-listen", settings.upstreams_listen),
            ("--operators-listen", settings.operators_listen),
            ("--peers-listen", settings.peers_listen),
        ];
        for (index, (flag, address)) in listeners.iter().enumerate() {
            let taken = listeners[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = taken.filter(|_| address.port() != 0) {
                self.faults.push(format!("{flag}: {address} is also used by {other}"));
            }
        }
        if settings.peers_listen.ip().is_unspecified() {
            self.faults.push(format!(
                "--peers-listen: {} is not an address that other hosts can connect to",
                settings.peers_listen
            ));
        }
        for (index, replica) in settings.replicas.iter().enumerate() {
            let same = |other: &&BootstrapReplica| {
                other.host == replica.host || other.member == replica.member
            };
            if settings.replicas[..index].iter().any(|other| same(&other)) {
                self.faults.push(format!("--replicas: {replica} repeats a host or a member"));
            }
        }
        self.faults.len() == before
    }

    // -------------------------------------------------------------------------------------
    // Values

    fn checked<T>(
        &mut self,
        flag: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let entry = SETTINGS.iter().find(|entry| entry.flag == flag)?;
        let given = self.values.get(flag).map(String::as_str).or(entry.default);
        let Some(text) = given else {
            let variable = entry.variable();
            self.faults
                .push(format!("--{flag}: missing, and so is {variable}; expected: {expected}"));
            return None;
        };
        let value = parse(text.trim());
        if value.is_none() {
            self.faults.push(format!("--{flag}: {text:?} is not allowed; expected: {expected}"));
        }
        value
    }

    /// Parses a value that may be empty.
    fn optional<T>(
        &mut self,
        flag: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<Option<T>> {
        self.checked(flag, expected, |text| match text {
            "" => Some(None),
            text => parse(text).map(Some),
        })
    }

    fn parsed<T: FromStr>(&mut self, flag: &'static str, expected: &str) -> Option<T> {
        self.checked(flag, expected, |text| text.parse().ok())
    }

    fn name<T: FromStr>(&mut self, flag: &'static str) -> Option<T> {
        self.parsed(flag, "1 to 64 letters, digits and . _ : -")
    }

    fn address(&mut self, flag: &'static str) -> Option<SocketAddr> {
        self.parsed(flag, "an IP address and a port, such as 10.0.0.1:8080")
    }

    fn time(&mut self, flag: &'static str, minimum: Duration) -> Option<Duration> {
        let expected =
            format!("a time such as 500ms, 3s or 2m, from {}ms to 24h", minimum.as_millis());
        let allowed = minimum..=MAX_DURATION;
        self.checked(flag, &expected, |text| time_span(text).filter(|span| allowed.contains(span)))
    }

    fn count(&mut self, flag: &'static str, maximum: usize) -> Option<usize> {
        self.count_from(flag, 1, maximum)
    }

    fn count_from(&mut self, flag: &'static str, minimum: usize, maximum: usize) -> Option<usize> {
        let expected = format!("a whole number from {minimum} to {maximum}");
        self.checked(flag, &expected, |text| {
            text.parse().ok().filter(|count| (minimum..=maximum).contains(count))
        })
    }
}

// -----------------------------------------------------------------------------------------
// Helpers

fn yes_or_no(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn serve_or_refuse(text: &str) -> Option<bool> {
    match text {
        "serve" => Some(true),
        "refuse" => Some(false),
        _ => None,
    }
}

fn options() -> Options {
    let mut options = Options::new();
    for entry in SETTINGS {
        let help = match entry.default {
            None => format!("{} (needed; {})", entry.help, entry.variable()),
            Some("") => format!("{} ({})", entry.help, entry.variable()),
            Some(default) => format!("{} (default {default}; {})", entry.help, entry.variable()),
        };
        options.optmulti("", entry.flag, &help, entry.hint);
    }
    options.optflagmulti("", "check", "print what would run, and end");
    options.optflagmulti("h", "help", "print this text, and end");
    options.optflagmulti("V", "version", "print the version, and end");
    options
}

fn help_text() -> String {
    let brief = "Usage: pulleyd [FLAGS]\n\nRuns one host of the load balancer. Each flag has an \
                 environment variable; the flag wins. Port 0 takes any free port; the one bound \
                 is logged.\n\nExit codes: 0 ended as asked, 1 failed or cut off requests at \
                 shutdown, 2 settings faulty.";
    options().usage(brief)
}

fn version_text() -> String {
    format!("pulleyd {}", env!("CARGO_PKG_VERSION"))
}

fn joined<T: ToString>(items: &[T]) -> String {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

fn list<T: FromStr>(text: &str) -> Option<Vec<T>> {
    let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(|item| item.parse().ok()).collect()
}

fn path(text: &str) -> Option<PathBuf> {
    (!text.is_empty()).then(|| PathBuf::from(text))
}

fn level(text: &str) -> Option<slog::Level> {
    match text {
        "error" => Some(slog::Level::Error),
        "warning" => Some(slog::Level::Warning),
        "info" => Some(slog::Level::Info),
        "debug" => Some(slog::Level::Debug),
        _ => None,
    }
}

fn time_span(text: &str) -> Option<Duration> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(unit_at);
    let count: u64 = digits.parse().ok()?;
    let unit_ms = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    count.checked_mul(unit_ms).map(Duration::from_millis)
}
