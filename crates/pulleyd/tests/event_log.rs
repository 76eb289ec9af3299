//! The event log: one line per event, values that cannot forge an event, and a rate limit on
//! repeated lines.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::io;
use std::sync::{Arc, Mutex};

use pulleyd::process::EventLog;
use slog::{Drain, Level, Logger, info, o, warn};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_lines(events: impl FnOnce(&Logger)) -> Vec<String> {
    let buffer = SharedBuffer::default();
    let drain = EventLog::new(buffer.clone(), Level::Info).ignore_res();
    events(&Logger::root(drain, o!("host" => "a")));
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    text.lines().map(|line| line.split_once(' ').unwrap().1.to_owned()).collect()
}

/// A caller sends a path with line breaks and equals signs. Written without quotes, it would appear
/// in the log as an event that never happened.
#[test]
fn a_value_cannot_forge_an_event() {
    let lines = log_lines(|logger| {
        info!(logger, "request-refused"; "path" => "/a\nlevel=info event=\"x\"", "cause" => "");
        slog::debug!(logger, "unseen");
    });
    let expected =
        r#"level=info event=request-refused cause="" path="/a\nlevel=info event=\"x\"" host=a"#;
    assert_eq!(lines, [expected]);
}

/// An upstream fails every request, thousands per second. Without a rate limit, the repeated line
/// would fill the disk and hide all other events.
#[test]
fn repeated_lines_are_limited_and_others_are_not() {
    let lines = log_lines(|logger| {
        for _ in 0..1_000 {
            warn!(logger, "upstream-failed");
        }
        info!(logger, "config-in-force"; "version" => 3);
    });
    let repeats = lines.iter().filter(|line| line.contains("upstream-failed")).count();
    // On a busy machine the loop may take longer than one window, so a second window may begin.
    assert!((20..1_000).contains(&repeats), "{repeats}");
    assert!(lines.last().unwrap().contains("config-in-force version=3"), "{lines:?}");
}
