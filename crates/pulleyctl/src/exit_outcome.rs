//! The exit codes, from which scripts learn the outcome of a command.

use std::process::ExitCode;

/// The outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitOutcome {
    /// Done. Exit code 0.
    Done,
    /// Refused or failed, and certainly not done. Exit code 1.
    NotDone,
    /// The command line or a file is not usable; nothing was sent. Exit code 2.
    Usage,
    /// It may or may not have been done; the operator should send it again with the same change id.
    /// Exit code 3.
    Unknown,
}

impl ExitOutcome {
    /// Returns the process's exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::NotDone => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
        }
    }
}

impl From<ExitOutcome> for ExitCode {
    fn from(outcome: ExitOutcome) -> Self {
        Self::from(outcome.code())
    }
}
