//! Writes one line of key=value pairs for each event.

use std::fmt::{self, Write as _};
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use pulley_core::process::FastMap;
use slog::{Drain, KV, Key, Level, Logger, OwnedKVList, Record, Serializer, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// The maximum number of lines that wait for the writer. Further lines are dropped and counted, so
/// that a blocked terminal or pipe never blocks a request.
const QUEUE_DEPTH: usize = 4_096;

/// The maximum number of lines that one log statement writes in one window. Otherwise a failing
/// upstream would fill the disk with one repeated line and hide the others.
const LINES_PER_WINDOW: u32 = 20;

/// The length of a rate limit window.
const WINDOW: Duration = Duration::from_secs(1);

/// A drain that writes each event as one line of `key=value` pairs, with a rate limit per log
/// statement.
#[derive(Debug)]
pub struct EventLog<W> {
    state: Mutex<LogState<W>>,
    level: Level,
}

#[derive(Debug)]
struct LogState<W> {
    writer: W,
    windows: FastMap<(&'static str, u32), RepeatWindow>,
}

#[derive(Debug)]
struct RepeatWindow {
    since: Instant,
    lines: u32,
    suppressed: u64,
}

impl EventLog<io::Stdout> {
    /// Starts the process's log on standard output. Dropping the guard flushes the queued lines.
    pub fn start(level: Level) -> (Logger, AsyncGuard) {
        let (drain, guard) = Async::new(EventLog::new(io::stdout(), level).fuse())
            .chan_size(QUEUE_DEPTH)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        (Logger::root(drain.fuse(), o!()), guard)
    }
}

impl<W: Write> EventLog<W> {
    /// Creates a drain that writes events of `level` and above.
    #[must_use]
    pub fn new(writer: W, level: Level) -> Self {
        Self { state: Mutex::new(LogState { writer, windows: FastMap::default() }), level }
    }
}

impl<W: Write> Drain for EventLog<W> {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        if !record.level().is_at_least(self.level) {
            return Ok(());
        }
        // The lock is poisoned if the `Display` of a value panicked. Logging goes on without that
        // event.
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let source = (record.file(), record.line());
        let Some(suppressed) = state.count_line(source, Instant::now()) else { return Ok(()) };
        let mut line = EventLine::begin(record);
        record.kv().serialize(record, &mut line)?;
        values.serialize(record, &mut line)?;
        if suppressed > 0 {
            line.pair("suppressed", &suppressed.to_string());
        }
        line.0.push('\n');
        state.writer.write_all(line.0.as_bytes())
    }
}

impl<W> LogState<W> {
    /// Applies the rate limit to one line. Returns the number of lines suppressed before it, or
    /// `None` if this line is suppressed too.
    fn count_line(&mut self, source: (&'static str, u32), now: Instant) -> Option<u64> {
        let fresh = RepeatWindow { since: now, lines: 0, suppressed: 0 };
        let window = self.windows.entry(source).or_insert(fresh);
        let mut suppressed = 0;
        if now.duration_since(window.since) >= WINDOW {
            suppressed = window.suppressed;
            *window = RepeatWindow { since: now, lines: 0, suppressed: 0 };
        }
        if window.lines >= LINES_PER_WINDOW {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(suppressed)
    }
}

/// A line under construction.
struct EventLine(String);

impl EventLine {
    fn begin(record: &Record<'_>) -> Self {
        let mut line = Self(String::with_capacity(160));
        let time = humantime::format_rfc3339_millis(SystemTime::now());
        let _ = write!(line.0, "ts={time}");
        line.pair("level", &record.level().as_str().to_ascii_lowercase());
        line.pair("event", &record.msg().to_string());
        line
    }

    fn pair(&mut self, key: &str, value: &str) {
        self.0.push(' ');
        self.0.push_str(key);
        self.0.push('=');
        // An unquoted space or line break in a value, such as the path of a request, would look
        // like another pair or a forged event.
        let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
        if !value.is_empty() && value.chars().all(plain) {
            self.0.push_str(value);
        } else {
            let _ = write!(self.0, "{value:?}");
        }
    }
}

impl Serializer for EventLine {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.pair(key, &value.to_string());
        Ok(())
    }
}
