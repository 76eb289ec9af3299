//! Summarizes late and refused requests from the log files of many hosts.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::request_trace::{field_value, without_collector_prefix};

/// Maximum number of rows to keep; requests that would need another row are only counted. Causes
/// and kinds are few, so this is enough for an afternoon of any installation. It takes a few
/// megabytes.
const ROW_LIMIT: usize = 100_000;

/// Number of files between progress messages.
const PROGRESS_INTERVAL: usize = 50;

/// An upstream counts as slowed down if its work takes at least this many times the usual time.
const SLOWDOWN_THRESHOLD: f64 = 1.5;

/// Identifies a row: requests of one kind in one second with the same outcome and cause.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SummaryKey {
    /// Seconds of Unix time.
    second: u64,
    kind: String,
    outcome: RequestOutcome,
    cause: String,
}

/// An outcome that is listed in the summary.
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

/// The number of requests of a row, and the id of one of them as an example.
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
    /// Number of requests without a row, because `ROW_LIMIT` had been reached.
    left_out: u64,
}

impl LogSummary {
    /// Reads log files line by line. An answer is late if it took longer than `late`.
    ///
    /// # Errors
    /// Returns the path and the error of the first file that cannot be read.
    pub(crate) fn read(late: Duration, files: &[PathBuf]) -> Result<Self, (PathBuf, io::Error)> {
        let mut summary = Self::default();
        for (index, file) in files.iter().enumerate() {
            summary.read_file(late, file).map_err(|error| (file.clone(), error))?;
            let done = index + 1;
            if done % PROGRESS_INTERVAL == 0 && done < files.len() {
                eprintln!("{done} of {} files, {} lines", files.len(), summary.lines);
            }
        }
        Ok(summary)
    }

    /// Returns the rows as a table, followed by the totals.
    pub(crate) fn to_text(&self) -> String {
        let mut text = format!(
            "{:<20} {:<24} {:<8} {:<24} {:>7}  example\n",
            "second", "kind", "outcome", "cause", "count"
        );
        for (key, row) in &self.rows {
            let SummaryKey { second, kind, outcome, cause } = key;
            let (second, outcome) = (format_second(*second), outcome.as_str());
            let SummaryRow { count, example } = row;
            text += &format!(
                "{second:<20} {kind:<24} {outcome:<8} {cause:<24} {count:>7}  {example}\n"
            );
        }
        text + &self.totals()
    }

    /// Returns the rows as CSV.
    ///
    /// # Errors
    /// Returns an error if a row cannot be written.
    pub(crate) fn csv(&self) -> Result<String, csv::Error> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer.write_record(["second", "kind", "outcome", "cause", "count", "example"])?;
        for (key, row) in &self.rows {
            let (second, count) = (format_second(key.second), row.count.to_string());
            let outcome = key.outcome.as_str();
            writer.write_record([&second, &key.kind, outcome, &key.cause, &count, &row.example])?;
        }
        let bytes = writer.into_inner().map_err(|error| error.into_error())?;
        Ok(String::from_utf8_lossy(&bytes).trim_end().to_owned())
    }

    /// Returns the totals as one line.
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

    /// Counts a line. Returns `None` if the line cannot be parsed.
    fn read_line(&mut self, late: Duration, line: &str) -> Option<()> {
        let text = without_collector_prefix(line.trim_end())?;
        let at = humantime::parse_rfc3339(field_value(text, "ts")?).ok()?;
        match field_value(text, "event")? {
            "request-answered" => {
                self.answered += 1;
                let duration = micros(text, "added_us")? + micros(text, "upstream_us")?;
                if duration > late {
                    self.count(at, RequestOutcome::Late, late_cause(text)?, text);
                }
            }
            "request-refused" => {
                let cause = field_value(text, "cause")?;
                self.count(at, RequestOutcome::Refused, cause, text);
            }
            _ => {}
        }
        Some(())
    }

    fn count(&mut self, at: SystemTime, outcome: RequestOutcome, cause: &str, text: &str) {
        let second = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let kind = field_value(text, "kind").unwrap_or_default().to_owned();
        let key = SummaryKey { second, kind, outcome, cause: cause.to_owned() };
        if !self.rows.contains_key(&key) && self.rows.len() >= ROW_LIMIT {
            self.left_out += 1;
            return;
        }
        let row = self.rows.entry(key).or_default();
        row.count += 1;
        if row.example.is_empty() {
            field_value(text, "id").unwrap_or_default().clone_into(&mut row.example);
        }
    }
}

/// Returns the likely cause of a late answer, which an operator should look at first.
fn late_cause(text: &str) -> Option<&'static str> {
    let number = |key| field_value(text, key).and_then(|value| value.parse::<f64>().ok());
    let mostly_at_entry = micros(text, "added_us")? >= micros(text, "upstream_us")?;
    let attempts = number("attempts").unwrap_or(1.0);
    let running = number("running").unwrap_or(0.0);
    let slowdown = number("slowdown").unwrap_or(1.0);
    Some(match () {
        () if mostly_at_entry => "kept-at-entry",
        () if attempts > 1.0 => "second-attempt",
        () if slowdown >= SLOWDOWN_THRESHOLD => "upstream-slowed-down",
        () if running > 0.0 => "beside-other-work",
        () => "long-at-upstream",
    })
}

fn micros(text: &str, key: &str) -> Option<Duration> {
    field_value(text, key)?.parse().ok().map(Duration::from_micros)
}

fn format_second(second: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_secs(second)).to_string()
}
