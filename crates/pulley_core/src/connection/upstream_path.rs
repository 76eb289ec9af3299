//! What this host has seen of its own network path to one upstream.

use std::time::Duration;

use crate::process::Moment;

/// How long a failure on the path counts.
const LOSS_SPAN: Duration = Duration::from_secs(1);

/// How long an answer proves that the path works.
const PROOF_SPAN: Duration = Duration::from_millis(300);

/// What this host has seen of its own network path to one upstream.
///
/// Whether answers arrive and whether connections can be opened are recorded apart, because open
/// connections may go on working while new ones are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamPath {
    answered: Option<Moment>,
    unanswered: Option<Moment>,
    opened: Option<Moment>,
    open_failed: Option<Moment>,
}

impl UpstreamPath {
    /// Records that the upstream has answered over a direct connection.
    pub fn record_answer(&mut self, now: Moment) {
        self.answered = Some(now);
    }

    /// Records that the upstream has left a request unanswered over a direct connection.
    pub fn record_silence(&mut self, now: Moment) {
        self.unanswered = Some(now);
    }

    /// Records whether a direct connection could be opened.
    pub fn record_opening(&mut self, now: Moment, succeeded: bool) {
        if succeeded {
            self.opened = Some(now);
        } else {
            self.open_failed = Some(now);
        }
    }

    /// Whether the last request was left unanswered, or the last connection could not be opened.
    #[must_use]
    pub fn is_lost(&self, now: Moment) -> bool {
        let is_last = |failed: Option<Moment>, succeeded: Option<Moment>| {
            failed > succeeded && failed.is_some_and(|at| now.since(at) <= LOSS_SPAN)
        };
        is_last(self.unanswered, self.answered) || is_last(self.open_failed, self.opened)
    }

    /// Whether the upstream has answered over a direct connection a moment ago.
    #[must_use]
    pub fn is_proven(&self, now: Moment) -> bool {
        !self.is_lost(now) && self.answered.is_some_and(|at| now.since(at) <= PROOF_SPAN)
    }
}

/// The state of a host's paths to all upstreams that it has connections to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathSurvey {
    /// Number of upstreams.
    pub known: usize,
    /// Upstreams whose paths are lost.
    pub lost: usize,
    /// Upstreams that have answered a moment ago.
    pub proven: usize,
}

impl PathSurvey {
    /// Counts the paths.
    pub fn of<'a>(now: Moment, paths: impl IntoIterator<Item = &'a UpstreamPath>) -> Self {
        let mut survey = Self::default();
        for path in paths {
            survey.known += 1;
            survey.lost += usize::from(path.is_lost(now));
            survey.proven += usize::from(path.is_proven(now));
        }
        survey
    }
}
