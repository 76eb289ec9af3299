//! Parses the command line.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use getopts::{Matches, Options};
use pulley_core::process::{ActorName, ChangeId, ContentDigest, MemberId, UpstreamId};
use pulley_core::version::{AuditFilter, ConfigVersion, ZoneUpload, ZoneUse};
use pulley_core::{HostId, PoolName};
use smol_str::SmolStr;

/// Default time for a complete answer. It is longer than the 5 s after which a host itself gives
/// up.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Default time after which an answer counts as late.
const DEFAULT_LATE: Duration = Duration::from_secs(1);

/// Default number of audit records to show.
const DEFAULT_LIMIT: u32 = 50;

/// Default address of a host's operator listener.
const DEFAULT_SERVER: &str = "127.0.0.1:8082";

/// Why there is no command to execute.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EarlyExit {
    /// The operator asked for the help text or the version.
    Text(String),
    /// All faults of the command line.
    Faults(Vec<String>),
}

/// The arguments of `sheet apply`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ApplyOptions {
    /// The sheet's file.
    pub(crate) file: PathBuf,
    /// The version that the change is based on; the one in force if absent.
    pub(crate) expect: Option<ConfigVersion>,
    /// The version to give the sheet.
    pub(crate) given: Option<ConfigVersion>,
    /// The change id of an earlier attempt; a new one is generated if absent.
    pub(crate) change_id: Option<ChangeId>,
    /// The operator's name for the audit trail.
    pub(crate) actor: ActorName,
}

/// Which contents an operator clears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClearedContents {
    One(ContentDigest),
    Pool(PoolName),
}

/// One command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    SheetCheck(PathBuf),
    SheetApply(ApplyOptions),
    SheetShow,
    Status,
    Upstreams,
    Organisations,
    Drain(UpstreamId),
    /// Prints the contents that end upstreams.
    ContentList,
    /// Ends the suspicion of contents.
    ContentClear {
        what: ClearedContents,
        actor: ActorName,
    },
    Audit(AuditFilter),
    ReplicaAdd(HostId),
    ReplicaRemove(MemberId),
    ReplicaList,
    /// Evacuates or restores a zone.
    ZoneOrder(ZoneUpload),
    ZoneList,
    /// Prints the log lines of a request from the log files of several hosts.
    Explain {
        id: String,
        files: Vec<PathBuf>,
    },
    /// Summarizes late and refused requests from the log files of several hosts.
    Summarize {
        late: Duration,
        as_csv: bool,
        files: Vec<PathBuf>,
    },
}

/// A parsed and valid command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CommandLine {
    /// The hosts to try, in this order.
    pub(crate) servers: Vec<SocketAddr>,
    /// The file whose first line is the key.
    pub(crate) secret_file: Option<PathBuf>,
    /// Longest wait for a complete answer.
    pub(crate) timeout: Duration,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// The command to execute.
    pub(crate) command: Command,
}

impl CommandLine {
    /// Parses arguments and environment; a flag takes precedence over its variable.
    pub(crate) fn parse(
        args: impl IntoIterator<Item = String>,
        env: impl IntoIterator<Item = (String, String)>,
    ) -> Result<Self, EarlyExit> {
        let args: Vec<String> = args.into_iter().collect();
        let options = options();
        let matches =
            options.parse(&args).map_err(|fault| EarlyExit::Faults(vec![fault.to_string()]))?;
        if matches.opt_present("help") {
            return Err(EarlyExit::Text(options.usage(USAGE)));
        }
        if matches.opt_present("version") {
            return Err(EarlyExit::Text(format!("pulleyctl {}", env!("CARGO_PKG_VERSION"))));
        }
        let env = env.into_iter().collect();
        let mut reader = ArgumentReader { matches, env, faults: Vec::new() };
        let servers = reader.servers();
        let secret_file = reader.text("secret-file", Some("PULLEYCTL_SECRET_FILE"));
        let timeout = reader.duration("timeout").unwrap_or(DEFAULT_TIMEOUT);
        let command = reader.command();
        match command {
            Some(command) if reader.faults.is_empty() => Ok(Self {
                servers,
                secret_file: secret_file.map(PathBuf::from),
                timeout,
                json: reader.matches.opt_present("json"),
                command,
            }),
            _ => Err(EarlyExit::Faults(reader.faults)),
        }
    }
}

const USAGE: &str = "\
Usage: pulleyctl [FLAGS] COMMAND

Commands:
    sheet check FILE       name every fault of a sheet; speaks to no host
    sheet apply FILE       put a sheet in force (--expect, --change-id, --actor)
    sheet show             print the sheet in force
    explain ID FILE...     print what became of a request, or of all with a content's digest,
                           from hosts' log files
    summary FILE...        print late and refused requests by second, kind and cause, from
                           hosts' log files (--late, --csv)
    status                 print what a host knows of the system
    upstreams              print the upstreams a host knows
    organisations          print organisations, their keys' fingerprints, quotas and what a host
                           has made of their requests
    drain UPSTREAM         send an upstream no new work
    content list           print the contents under which upstreams have ended
    content clear DIGEST   allow a content again (--actor)
    content clear-pool POOL  allow all contents of a pool again (--actor)
    zone evacuate ZONE     send the upstreams of a zone no new work (--change-id, --actor)
    zone restore ZONE      take the zone back (--change-id, --actor)
    zone list              print the zones that are evacuated
    audit                  print the trail of changes (--since, --until, --actor,
                           --change-id, --outcome, --limit)
    replica list           print who holds the log
    replica add HOST       let a host join the log
    replica remove MEMBER  take a member out of the log for good

Exit codes: 0 done; 1 refused or failed, not done; 2 usage; 3 outcome unknown: send it
again with the same change id.

Variables: PULLEYCTL_SERVERS, PULLEYCTL_SECRET_FILE, PULLEYCTL_ACTOR; a flag wins.";

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("s", "server", "host to ask; several are tried in turn", "IP:PORT");
    options.optopt("", "secret-file", "file whose first line is the key", "FILE");
    options.optopt("", "timeout", "longest wait for an answer (default 10s)", "TIME");
    options.optflag("", "json", "print JSON");
    options.optopt("", "as-version", "version to give the sheet; the highest wins", "VERSION");
    options.optopt("", "expect", "version that the sheet is based on", "VERSION");
    options.optopt("", "change-id", "id of an earlier try, or of audit records", "ID");
    options.optopt("", "actor", "who asks, or whose audit records", "NAME");
    options.optopt("", "since", "audit: not before 2h ago, or 2026-12-02T08:00:00Z", "TIME");
    options.optopt("", "until", "audit: not after", "TIME");
    options.optopt("", "outcome", "audit: accepted, refused, member or zone", "WORD");
    options.optopt("", "late", "summary: answers that took longer are late (default 1s)", "TIME");
    options.optflag("", "csv", "summary: print CSV");
    options.optopt("", "limit", "audit: most records (default 50)", "COUNT");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

struct ArgumentReader {
    matches: Matches,
    env: BTreeMap<String, String>,
    faults: Vec<String>,
}

impl ArgumentReader {
    fn command(&mut self) -> Option<Command> {
        let words = self.matches.free.clone();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match words[..] {
            ["sheet", "check", file] => Some(Command::SheetCheck(PathBuf::from(file))),
            ["sheet", "apply", file] => self.apply_options(file).map(Command::SheetApply),
            ["sheet", "show"] => Some(Command::SheetShow),
            ["status"] => Some(Command::Status),
            ["upstreams"] => Some(Command::Upstreams),
            ["organisations"] => Some(Command::Organisations),
            ["audit"] => Some(Command::Audit(self.audit_filter())),
            ["drain", upstream] => self.parsed("drain", upstream).map(Command::Drain),
            ["content", "list"] => Some(Command::ContentList),
            ["content", "clear", digest] => {
                let what = self.parsed("content clear", digest).map(ClearedContents::One);
                self.content_clear(what)
            }
            ["content", "clear-pool", pool] => {
                let what = self.parsed("content clear-pool", pool).map(ClearedContents::Pool);
                self.content_clear(what)
            }
            ["explain", id, ref files @ ..] if !files.is_empty() => Some(Command::Explain {
                id: id.to_owned(),
                files: files.iter().map(PathBuf::from).collect(),
            }),
            ["summary", ref files @ ..] if !files.is_empty() => Some(Command::Summarize {
                late: self.duration("late").unwrap_or(DEFAULT_LATE),
                as_csv: self.matches.opt_present("csv"),
                files: files.iter().map(PathBuf::from).collect(),
            }),
            ["zone", "evacuate", zone] => self.zone_order(zone, ZoneUse::Evacuated),
            ["zone", "restore", zone] => self.zone_order(zone, ZoneUse::InUse),
            ["zone", "list"] => Some(Command::ZoneList),
            ["replica", "list"] => Some(Command::ReplicaList),
            ["replica", "add", host] => self.parsed("replica add", host).map(Command::ReplicaAdd),
            ["replica", "remove", member] => {
                self.parsed("replica remove", member).map(Command::ReplicaRemove)
            }
            [] => self.fault("no command".to_owned()),
            _ => self.fault(format!("no such command: {}", words.join(" "))),
        }
    }

    fn apply_options(&mut self, file: &str) -> Option<ApplyOptions> {
        let expect = self.parsed_flag("expect");
        let given = self.parsed_flag("as-version");
        let change_id = self.parsed_flag("change-id");
        // A resend must be the same change. If it were based on the version now in force, it would
        // be a different change with the same id.
        if change_id.is_some() && expect.is_none() && given.is_none() {
            self.faults
                .push("--change-id needs the --expect or --as-version of the first try".to_owned());
        }
        let actor = self.actor()?;
        Some(ApplyOptions { file: PathBuf::from(file), expect, given, change_id, actor })
    }

    fn content_clear(&mut self, what: Option<ClearedContents>) -> Option<Command> {
        let actor = self.actor()?;
        Some(Command::ContentClear { what: what?, actor })
    }

    fn zone_order(&mut self, zone: &str, zone_use: ZoneUse) -> Option<Command> {
        let zone = self.parsed("zone", zone)?;
        let actor = self.actor()?;
        let given = self.parsed_flag("change-id");
        let change_id =
            given.or_else(|| format!("z-{:016x}", rand::random::<u64>()).parse().ok())?;
        Some(Command::ZoneOrder(ZoneUpload { change_id, actor, zone, zone_use }))
    }

    /// Reads the operator's name.
    fn actor(&mut self) -> Option<ActorName> {
        let name = self.text("actor", Some("PULLEYCTL_ACTOR"));
        let Some(name) = name.or_else(|| self.env.get("USER").cloned()) else {
            return self.fault("--actor: missing, as are PULLEYCTL_ACTOR and USER".to_owned());
        };
        self.parsed("--actor", &name)
    }

    fn audit_filter(&mut self) -> AuditFilter {
        AuditFilter {
            since_unix_ms: self.unix_ms("since"),
            until_unix_ms: self.unix_ms("until"),
            actor: self.parsed_flag("actor"),
            change_id: self.parsed_flag("change-id"),
            outcome: self.outcome(),
            limit: self.parsed_flag("limit").unwrap_or(DEFAULT_LIMIT),
        }
    }

    fn outcome(&mut self) -> Option<SmolStr> {
        let text = self.text("outcome", None)?;
        match text.as_str() {
            "accepted" | "refused" | "member" | "zone" => Some(SmolStr::from(text)),
            _ => self.fault(format!(
                "--outcome: {text:?} is not allowed; expected: accepted, refused, member or zone"
            )),
        }
    }

    fn servers(&mut self) -> Vec<SocketAddr> {
        let given = self.matches.opt_strs("server");
        let variable = self.env.get("PULLEYCTL_SERVERS").cloned();
        let lists = match (given.is_empty(), variable) {
            (false, _) => given,
            (true, Some(list)) => vec![list],
            (true, None) => vec![DEFAULT_SERVER.to_owned()],
        };
        let servers = lists.iter().flat_map(|list| list.split(',')).map(str::trim);
        let servers: Vec<&str> = servers.filter(|server| !server.is_empty()).collect();
        servers.into_iter().filter_map(|server| self.parsed("--server", server)).collect()
    }

    /// Reads a time, given as a timestamp or as an age, and returns it in milliseconds of Unix
    /// time.
    fn unix_ms(&mut self, flag: &str) -> Option<u64> {
        let text = self.text(flag, None)?;
        let age = humantime::parse_duration(&text).ok();
        let time = age.and_then(|age| SystemTime::now().checked_sub(age));
        let time = time.or_else(|| humantime::parse_rfc3339_weak(&text).ok());
        let Some(time) = time else {
            return self.fault(format!(
                "--{flag}: {text:?} is not allowed; expected: 2h, 30m or 2026-12-02T08:00:00Z"
            ));
        };
        let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).ok()
    }

    fn duration(&mut self, flag: &str) -> Option<Duration> {
        let text = self.text(flag, None)?;
        match humantime::parse_duration(&text) {
            Ok(span) if !span.is_zero() => Some(span),
            _ => self.fault(format!("--{flag}: {text:?} is not allowed; expected: 500ms, 10s")),
        }
    }

    fn parsed_flag<T: FromStr<Err: std::fmt::Display>>(&mut self, flag: &str) -> Option<T> {
        let text = self.text(flag, None)?;
        self.parsed(&format!("--{flag}"), &text)
    }

    fn text(&self, flag: &str, variable: Option<&str>) -> Option<String> {
        let given = self.matches.opt_str(flag);
        given.or_else(|| variable.and_then(|variable| self.env.get(variable).cloned()))
    }

    fn parsed<T: FromStr<Err: std::fmt::Display>>(&mut self, what: &str, text: &str) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(fault) => self.fault(format!("{what}: {text:?} is not allowed: {fault}")),
        }
    }

    fn fault<T>(&mut self, fault: String) -> Option<T> {
        self.faults.push(fault);
        None
    }
}
