//! Traces one request through the log files of many hosts.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Time before a request's first line and after its last one in which other events are included.
const CONTEXT: Duration = Duration::from_secs(1);

/// Prefixes of the events of requests. They identify the lines of other requests, which are
/// omitted.
const REQUEST_EVENTS: [&str; 2] = ["request-", "attempt-"];

/// One line of a host's log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    time: SystemTime,
    file: PathBuf,
    text: String,
}

/// The log lines of one request from all hosts, with other events of those hosts from around the
/// same time.
#[derive(Debug, Default)]
pub(crate) struct RequestTrace {
    lines: Vec<LogLine>,
    own_count: usize,
}

impl RequestTrace {
    /// Searches log files for the lines with a request's id, or with a content's digest.
    ///
    /// # Errors
    /// Returns the path and the error of the first file that cannot be read.
    pub(crate) fn read(id: &str, files: &[PathBuf]) -> Result<Self, (PathBuf, io::Error)> {
        let mut own = Vec::new();
        let mut others = Vec::new();
        for file in files {
            let text = fs::read(file).map_err(|error| (file.clone(), error))?;
            let text = String::from_utf8_lossy(&text);
            let lines: Vec<LogLine> =
                text.lines().filter_map(|line| parse_line(file, line)).collect();
            let found = lines.iter().filter(|line| names(&line.text, id));
            let found: Vec<LogLine> = found.cloned().collect();
            if !found.is_empty() {
                others.extend(lines.into_iter().filter(|line| is_host_event(&line.text)));
            }
            own.extend(found);
        }
        let count = own.len();
        let span =
            own.iter().map(|line| line.time).min().zip(own.iter().map(|line| line.time).max());
        if let Some((first, last)) = span {
            let near = |line: &LogLine| line.time + CONTEXT >= first && line.time <= last + CONTEXT;
            own.extend(others.into_iter().filter(near));
        }
        own.sort();
        Ok(Self { lines: own, own_count: count })
    }

    /// Whether no line has the request's id.
    pub(crate) const fn is_empty(&self) -> bool {
        self.own_count == 0
    }

    /// Returns the lines in order of time, each prefixed with the name of its file.
    pub(crate) fn to_text(&self) -> String {
        let lines = self.lines.iter().map(|line| {
            let name = line.file.file_stem().unwrap_or_default().to_string_lossy();
            format!("{name}: {}", line.text)
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}

fn parse_line(file: &Path, line: &str) -> Option<LogLine> {
    let text = without_collector_prefix(line)?;
    let time = humantime::parse_rfc3339(field_value(text, "ts")?).ok()?;
    Some(LogLine { time, file: file.to_owned(), text: text.to_owned() })
}

/// Returns a line from its timestamp on, because a log collector may have added a prefix.
pub(crate) fn without_collector_prefix(line: &str) -> Option<&str> {
    Some(&line[line.find("ts=")?..])
}

/// Whether a line is about the request with an id, or about the content with a digest.
fn names(line: &str, id: &str) -> bool {
    ["id", "content", "digest"].iter().any(|key| field_value(line, key) == Some(id))
}

fn is_host_event(line: &str) -> bool {
    let event = field_value(line, "event").unwrap_or_default();
    !REQUEST_EVENTS.iter().any(|prefix| event.starts_with(prefix))
}

/// Returns the value of a key, without quotes.
pub(crate) fn field_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let pair = line.split(' ').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))?;
    Some(pair.trim_matches('"'))
}
