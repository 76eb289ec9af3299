//! What this host has seen of its own network path to one upstream.

use std::time::Duration;

use crate::process::Moment;

/// How long a failure on the path counts.
const LOSS_SPAN: Duration = Duration::from_secs(1);

/// How long an answer proves that the path works.
const PROOF_SPAN: Duration = Duration::from_millis(300);

/// The number of upstreams whose paths must be lost at the same time before this host doubts its
/// own path. One or two upstreams that crash together are common.
const MIN_LOST: usize = 3;

/// How requests get from this host to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamRoute {
    /// Over a connection of this host's own.
    #[default]
    Direct,
    /// Over a connection that another host opens on behalf of this one.
    Relayed,
}

/// What this host has seen of its own network path to one upstream, and the route in use.
///
/// Whether answers arrive and whether connections can be opened are recorded apart, because open
/// connections may go on working while new ones are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamPath {
    /// The route for new connections.
    pub route: UpstreamRoute,
    answered: Option<Moment>,
    unanswered: Option<Moment>,
    opened: Option<Moment>,
    open_failed: Option<Moment>,
}

impl UpstreamPath {
    /// Creates the path to an upstream of which nothing has been seen yet.
    #[must_use]
    pub fn new(route: UpstreamRoute) -> Self {
        Self { route, ..Self::default() }
    }

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

    /// Whether the upstream has answered over a direct connection at `start` or later.
    #[must_use]
    pub fn has_answered_since(&self, start: Moment) -> bool {
        self.answered.is_some_and(|at| at >= start)
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

    /// Whether so many paths are lost that the cause may be this host's own path.
    ///
    /// A host that knows few upstreams has to doubt it sooner, because it can't see more of them
    /// fail.
    #[must_use]
    pub fn suggests_cut(&self) -> bool {
        self.lost >= MIN_LOST.min(self.known).max(1) && self.lost >= self.proven
    }
}

/// The result of reaching an upstream both ways at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathCheck {
    /// Whether the upstream answered this host directly.
    pub direct: bool,
    /// Whether it answered over another host.
    pub relayed: bool,
}

impl PathCheck {
    /// Whether checks show that this host's own path is cut, and not that upstreams are down or
    /// slow: at least half of the upstreams that another host reaches don't answer this one.
    #[must_use]
    pub fn prove_cut(checks: &[Self]) -> bool {
        let reachable = checks.iter().filter(|check| check.relayed);
        let (mut reached, mut cut) = (0, 0);
        for check in reachable {
            reached += 1;
            cut += usize::from(!check.direct);
        }
        cut > 0 && 2 * cut >= reached
    }
}
