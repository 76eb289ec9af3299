//! Tells when, where and why requests were late or refused, from the log files of many hosts.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::log_story::{text_of, value_of};

/// Rows that are kept; what would need another one is counted only. Causes and kinds are few, so
/// that this holds an afternoon of any installation in some megabytes.
const ROW_LIMIT: usize = 100_000;

/// After how many files the progress is told.
const PROGRESS_FILES: usize = 50;

/// From how many times its usual time on an upstream counts as slowed down.
const SLOWED_DOWN: f64 = 1.5;

/// What happened to requests of one kind in one second for one cause.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SummaryKey {
    /// Unix time.
    second: u64,
    kind: String,
    outcome: RequestOutcome,
    cause: String,
}

/// What became of a request that is worth a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RequestOutcome {
    Late,
    Refused,
}

impl RequestOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Refused => "refused",
        }
    }
}

/// How often it happened, and one request to follow.
#[derive(Clone, Debug, Default)]
struct SummaryRow {
    count: u64,
    example: String,
}

/// Late and refused requests of many hosts by second, kind and cause.
#[derive(Debug, Default)]
pub(crate) struct LogSummary {
    rows: BTreeMap<SummaryKey, SummaryRow>,
    lines: u64,
    unreadable: u64,
    answered: u64,
    /// Requests for which there was no row left.
    left_out: u64,
}

impl LogSummary {
    /// Reads log files line by line; an answer that took longer than `late` is late.
    ///
    /// # Errors
    /// The first file that cannot be read, with its path.
    pub(crate) fn read(late: Duration, files: &[PathBuf]) -> Result<Self, (PathBuf, io::Error)> {
        let mut summary = Self::default();
        for (place, file) in files.iter().enumerate() {
            summary.read_file(late, file).map_err(|error| (file.clone(), error))?;
            let done = place + 1;
            if done % PROGRESS_FILES == 0 && done < files.len() {
                eprintln!("{done} of {} files, {} lines", files.len(), summary.lines);
            }
        }
        Ok(summary)
    }

    /// The rows as a table, and what was read.
    pub(crate) fn printed(&self) -> String {
        let mut text = format!(
            "{:<20} {:<24} {:<8} {:<24} {:>7}  example\n",
            "second", "kind", "outcome", "cause", "count"
        );
        for (key, row) in &self.rows {
            let SummaryKey { second, kind, outcome, cause } = key;
            let (second, outcome) = (shown(*second), outcome.as_str());
            let SummaryRow { count, example } = row;
            text += &format!(
                "{second:<20} {kind:<24} {outcome:<8} {cause:<24} {count:>7}  {example}\n"
            );
        }
        text + &self.totals()
    }

    /// The rows as CSV.
    ///
    /// # Errors
    /// If a row cannot be written.
    pub(crate) fn csv(&self) -> Result<String, csv::Error> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer.write_record(["second", "kind", "outcome", "cause", "count", "example"])?;
        for (key, row) in &self.rows {
            let (second, count) = (shown(key.second), row.count.to_string());
            let outcome = key.outcome.as_str();
            writer.write_record([&second, &key.kind, outcome, &key.cause, &count, &row.example])?;
        }
        let bytes = writer.into_inner().map_err(|error| error.into_error())?;
        Ok(String::from_utf8_lossy(&bytes).trim_end().to_owned())
    }

    /// What was read, in one line.
    pub(crate) fn totals(&self) -> String {
        let count = |wanted| {
            let rows = self.rows.iter().filter(|(key, _)| key.outcome == wanted);
            rows.map(|(_, row)| row.count).sum::<u64>()
        };
        format!(
            "{} lines, {} unreadable; {} answered, {} of them late; {} refused; {} left out",
            self.lines,
            self.unreadable,
            self.answered,
            count(RequestOutcome::Late),
            count(RequestOutcome::Refused),
            self.left_out
        )
    }

    fn read_file(&mut self, late: Duration, file: &Path) -> io::Result<()> {
        let mut reader = BufReader::new(File::open(file)?);
        let mut line = Vec::new();
        while reader.read_until(b'\n', &mut line)? > 0 {
            self.lines += 1;
            if self.read_line(late, &String::from_utf8_lossy(&line)).is_none() {
                self.unreadable += 1;
            }
            line.clear();
        }
        Ok(())
    }

    /// Counts a line; nothing if it cannot be read.
    fn read_line(&mut self, late: Duration, line: &str) -> Option<()> {
        let text = text_of(line.trim_end())?;
        let at = humantime::parse_rfc3339(value_of(text, "ts")?).ok()?;
        match value_of(text, "event")? {
            "request-answered" => {
                self.answered += 1;
                let took = micros_of(text, "added_us")? + micros_of(text, "upstream_us")?;
                if took > late {
                    self.count(at, RequestOutcome::Late, late_cause(text)?, text);
                }
            }
            "request-refused" => {
                let cause = value_of(text, "cause")?;
                self.count(at, RequestOutcome::Refused, cause, text);
            }
            _ => {}
        }
        Some(())
    }

    fn count(&mut self, at: SystemTime, outcome: RequestOutcome, cause: &str, text: &str) {
        let second = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let kind = value_of(text, "kind").unwrap_or_default().to_owned();
        let key = SummaryKey { second, kind, outcome, cause: cause.to_owned() };
        if !self.rows.contains_key(&key) && self.rows.len() >= ROW_LIMIT {
            self.left_out += 1;
            return;
        }
        let row = self.rows.entry(key).or_default();
        row.count += 1;
        if row.example.is_empty() {
            value_of(text, "id").unwrap_or_default().clone_into(&mut row.example);
        }
    }
}

/// What made an answer late: what an operator would look at first.
fn late_cause(text: &str) -> Option<&'static str> {
    let number = |key| value_of(text, key).and_then(|value| value.parse::<f64>().ok());
    let waited = micros_of(text, "added_us")? >= micros_of(text, "upstream_us")?;
    let attempts = number("attempts").unwrap_or(1.0);
    let running = number("running").unwrap_or(0.0);
    let slowdown = number("slowdown").unwrap_or(1.0);
    Some(match () {
        () if waited => "kept-at-entry",
        () if attempts > 1.0 => "second-attempt",
        () if slowdown >= SLOWED_DOWN => "upstream-slowed-down",
        () if running > 0.0 => "beside-other-work",
        () => "long-at-upstream",
    })
}

fn micros_of(text: &str, key: &str) -> Option<Duration> {
    value_of(text, key)?.parse().ok().map(Duration::from_micros)
}

fn shown(second: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_secs(second)).to_string()
}
