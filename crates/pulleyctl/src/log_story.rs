//! Tells what became of one request, from the log files of many hosts.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// How long before a request's first line and after its last one other events are told.
const AROUND: Duration = Duration::from_secs(1);

/// What lines of requests begin their event with; those of other requests are left out.
const REQUEST_EVENTS: [&str; 2] = ["request-", "attempt-"];

/// One line of a host's log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    at: SystemTime,
    file: PathBuf,
    text: String,
}

/// What became of one request: its own lines on all hosts, and what those hosts noted around it.
#[derive(Debug, Default)]
pub(crate) struct LogStory {
    lines: Vec<LogLine>,
    own: usize,
}

impl LogStory {
    /// Reads the log files of some hosts for a request's id.
    ///
    /// # Errors
    /// The first file that cannot be read, with its path.
    pub(crate) fn read(id: &str, files: &[PathBuf]) -> Result<Self, (PathBuf, io::Error)> {
        let mut own = Vec::new();
        let mut others = Vec::new();
        for file in files {
            let text = fs::read(file).map_err(|error| (file.clone(), error))?;
            let text = String::from_utf8_lossy(&text);
            let lines: Vec<LogLine> =
                text.lines().filter_map(|line| read_line(file, line)).collect();
            let found = lines.iter().filter(|line| value_of(&line.text, "id") == Some(id));
            let found: Vec<LogLine> = found.cloned().collect();
            if !found.is_empty() {
                others.extend(lines.into_iter().filter(|line| is_of_host(&line.text)));
            }
            own.extend(found);
        }
        let count = own.len();
        let span = own.iter().map(|line| line.at).min().zip(own.iter().map(|line| line.at).max());
        if let Some((first, last)) = span {
            let near = |line: &LogLine| line.at + AROUND >= first && line.at <= last + AROUND;
            own.extend(others.into_iter().filter(near));
        }
        own.sort();
        Ok(Self { lines: own, own: count })
    }

    /// Whether no line names the request.
    pub(crate) const fn is_empty(&self) -> bool {
        self.own == 0
    }

    /// The lines in order of time, each after its file's name.
    pub(crate) fn printed(&self) -> String {
        let lines = self.lines.iter().map(|line| {
            let name = line.file.file_stem().unwrap_or_default().to_string_lossy();
            format!("{name}: {}", line.text)
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}

fn read_line(file: &Path, line: &str) -> Option<LogLine> {
    let text = text_of(line)?;
    let at = humantime::parse_rfc3339(value_of(text, "ts")?).ok()?;
    Some(LogLine { at, file: file.to_owned(), text: text.to_owned() })
}

/// A line's text; a collector may have put something before it.
pub(crate) fn text_of(line: &str) -> Option<&str> {
    Some(&line[line.find("ts=")?..])
}

fn is_of_host(line: &str) -> bool {
    let event = value_of(line, "event").unwrap_or_default();
    !REQUEST_EVENTS.iter().any(|prefix| event.starts_with(prefix))
}

/// The value of a key, without quotes.
pub(crate) fn value_of<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let pair = line.split(' ').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))?;
    Some(pair.trim_matches('"'))
}
