//! Checks how the lines of an answer's head end, as its bytes arrive.

use std::io;

/// The result of checking bytes of an answer.
type Result<T> = std::result::Result<T, io::Error>;

/// Where the first digit of the status stands in a status line, counted from 0.
const STATUS_PLACE: usize = 9;

/// The first digit of the status of an interim response. Another head follows.
const INTERIM_DIGIT: u8 = b'1';

/// How a line ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineEnd {
    CarriageReturnLineFeed,
    LineFeed,
}

/// The lines of an answer's head, up to the byte that has arrived last.
///
/// The HTTP library takes a single line feed for the end of a line. Where the others end in a carriage
/// return and a line feed, a byte in between is spoilt or lost. If the line feed makes an empty line,
/// the head ends there, and callers would get the rest of it as the body.
#[derive(Debug, Default)]
pub(super) struct HeadLines {
    /// Whether the head of the final answer is complete. What follows is its body.
    has_ended: bool,
    has_status_line: bool,
    is_interim: bool,
    /// How the lines of this head have ended so far.
    line_end: Option<LineEnd>,
    /// Bytes of the current line.
    length: usize,
    follows_carriage_return: bool,
}

impl HeadLines {
    /// Checks the next bytes of an answer.
    ///
    /// # Errors
    /// `InvalidData` if two lines of a head end in different ways.
    pub(super) fn check(&mut self, bytes: &[u8]) -> Result<()> {
        for byte in bytes {
            if self.has_ended {
                break;
            }
            match byte {
                b'\n' => self.end_line()?,
                _ => self.extend_line(*byte),
            }
        }
        Ok(())
    }

    fn extend_line(&mut self, byte: u8) {
        if !self.has_status_line && self.length == STATUS_PLACE {
            self.is_interim = byte == INTERIM_DIGIT;
        }
        self.length += 1;
        self.follows_carriage_return = byte == b'\r';
    }

    fn end_line(&mut self) -> Result<()> {
        let is_empty = self.length == usize::from(self.follows_carriage_return);
        let end = match self.follows_carriage_return {
            true => LineEnd::CarriageReturnLineFeed,
            false => LineEnd::LineFeed,
        };
        self.length = 0;
        self.follows_carriage_return = false;
        // The HTTP library skips empty lines before a status line.
        if is_empty && !self.has_status_line {
            return Ok(());
        }
        if *self.line_end.get_or_insert(end) != end {
            let fault = "the lines of an answer's head end in different ways";
            return Err(io::Error::new(io::ErrorKind::InvalidData, fault));
        }
        if is_empty {
            *self = Self { has_ended: !self.is_interim, ..Self::default() };
        } else {
            self.has_status_line = true;
        }
        Ok(())
    }
}
