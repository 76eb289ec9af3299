//! The list of settings with their flags, environment variables, defaults and help texts.

/// One setting of the daemon.
pub(super) struct SettingEntry {
    /// The flag without its dashes. The variable is `PULLEYD_` followed by the flag in capitals,
    /// with `_` for `-`.
    pub(super) flag: &'static str,
    /// The form of a value, for the help text.
    pub(super) hint: &'static str,
    /// The value when neither flag nor variable is given. `None` if the setting is required.
    pub(super) default: Option<&'static str>,
    /// The help text.
    pub(super) help: &'static str,
}

impl SettingEntry {
    pub(super) fn variable(&self) -> String {
        format!("{VARIABLE_PREFIX}{}", self.flag.to_ascii_uppercase().replace('-', "_"))
    }
}

/// The prefix of every environment variable of the daemon.
pub(super) const VARIABLE_PREFIX: &str = "PULLEYD_";

const fn required(flag: &'static str, hint: &'static str, help: &'static str) -> SettingEntry {
    SettingEntry { flag, hint, default: None, help }
}

const fn optional(
    flag: &'static str,
    hint: &'static str,
    default: &'static str,
    help: &'static str,
) -> SettingEntry {
    SettingEntry { flag, hint, default: Some(default), help }
}

/// Every setting, in the order of the help text.
pub(super) const SETTINGS: &[SettingEntry] = &[
    required("host-id", "NAME", "name of this host, unique in the cluster"),
    required("zone", "NAME", "availability zone of this host"),
    required("cluster", "NAME", "name of the installation; hosts of another one are not let in"),
    required("secret-file", "FILE", "file with one or two keys, a line each; the first is sent"),
    optional("callers-listen", "IP:PORT", "127.0.0.1:8080", "where callers connect"),
    optional(
        "upstreams-listen",
        "IP:PORT",
        "127.0.0.1:8081",
        "where upstreams announce themselves and the platform asks /healthz",
    ),
    optional("operators-listen", "IP:PORT", "127.0.0.1:8082", "where operators connect, by key"),
    optional("peers-listen", "IP:PORT", "127.0.0.1:8083", "where other hosts connect, by key"),
    optional("seeds", "IP:PORT,…", "", "peer addresses of hosts that this host asks first"),
    optional("roles", "ROLE,…", "entry", "entry (serves callers), replica (holds the log)"),
    optional(
        "replicas",
        "HOST=mN,…",
        "",
        "the first members of the log, the same on every host; used on an empty data folder only",
    ),
    optional("data-folder", "FOLDER", "", "where a replica keeps its state; one process only"),
    optional("drain-grace", "TIME", "30s", "longest wait for requests in flight at shutdown"),
    optional("log-level", "LEVEL", "info", "error, warning, info or debug"),
    optional("traffic-threads", "COUNT", "2", "threads that carry requests, 1 to 64"),
    optional(
        "ledger-capacity",
        "COUNT",
        "200000",
        "most idempotency keys held, 1 to 500000; a full ledger refuses as not run",
    ),
    optional(
        "ledger-retention",
        "TIME",
        "1h",
        "how long an idempotency key is remembered at least, from 10s",
    ),
    optional(
        "share-counts",
        "yes|no",
        "yes",
        "no: place by this host's own counts only, should shared ones ever do harm",
    ),
    optional(
        "trusted-callers",
        "IP,…",
        "",
        "callers whose attempt and priority headers are believed, such as upstreams that call on",
    ),
    optional(
        "upstream-lease",
        "TIME",
        "3s",
        "how long an upstream takes work after its last announcement, the same on every host",
    ),
    optional(
        "without-quorum",
        "serve|refuse",
        "refuse",
        "what an entry does that reaches no quorum: serve by the configuration it has, or refuse",
    ),
    optional(
        "replica-growth",
        "yes|no",
        "no",
        "yes: hosts with a data folder become replicas by themselves, and replace silent ones",
    ),
    optional(
        "replica-copies",
        "COUNT",
        "1",
        "disks that hold a change before it is acknowledged, besides a majority; 1 to 9",
    ),
    optional(
        "retry-allowance",
        "COUNT",
        "",
        "retries for one pool that all entries may make at once beside their part of requests",
    ),
    optional(
        "retry-percent",
        "COUNT",
        "10",
        "retries for 100 requests, with an allowance; 0 to 100",
    ),
    optional(
        "arrival-probes",
        "COUNT",
        "0",
        "upstreams asked how loaded they are when a request arrives, 0 to 8",
    ),
    optional(
        "arrival-probe-rate",
        "COUNT",
        "20",
        "such questions to one upstream a second, over all entries; 1 to 1000",
    ),
    optional(
        "link-kbps",
        "COUNT",
        "",
        "kilobits a second of this host's link, of which large answers leave a quarter free; if \
         empty, they are not paced",
    ),
    optional(
        "key-lease",
        "TIME",
        "4s",
        "how long keys of organisations work on a host without news of the configuration; if empty, \
         without limit",
    ),
    optional(
        "quota-tolerance",
        "COUNT",
        "10",
        "requests beyond an organisation's burst that pass; 0 to 1000",
    ),
    optional(
        "quota-window",
        "SECONDS",
        "5",
        "time over which an organisation's requests are compared with its quota; 1 to 60",
    ),
    optional(
        "quota-overage",
        "PERCENT",
        "0",
        "by how much the requests of such a time may exceed the quota while hosts cannot reach each \
         other; 0 to 100",
    ),
    optional(
        "ready-grace",
        "TIME",
        "",
        "time the platform's balancer gets at shutdown before callers are turned away; if empty, \
         a fifth of the drain grace",
    ),
    optional("metrics-listen", "IP:PORT", "", "where /metrics is served without a key"),
    optional("callers-limit", "COUNT", "10000", "most connections of callers, 1 to 100000"),
];
