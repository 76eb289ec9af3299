//! Checks that a content which ends its upstreams reaches few of them over all hosts.

use std::time::{Duration, Instant};

use pulley_core::process::FastMap;

use crate::request_history::SoakFinding;
use crate::soak_upstream::EndingWay;

/// Upstreams that one content may end, and how many more for each host that was killed, stopped or
/// paused meanwhile: it may have permitted a trial that nobody else knows of, and it may know nothing
/// of the content when it is back.
const ALLOWED_ENDS: usize = 3;
const ALLOWED_FOR_FAULT: usize = 2;

/// The time before a content's first end in which a host's fault still matters.
const FAULT_MARGIN: Duration = Duration::from_secs(1);

/// When upstreams ended, by content.
#[derive(Debug, Default)]
pub(crate) struct EndLog {
    ends: FastMap<String, Vec<Instant>>,
}

impl EndLog {
    /// Records that an upstream has ended under a content.
    pub(crate) fn record(&mut self, content: &str, at: Instant) {
        self.ends.entry(content.to_owned()).or_default().push(at);
    }

    /// Returns findings for contents that ended more upstreams than allowed. `faults` holds the hosts'
    /// faults with their spans.
    pub(crate) fn check(&self, faults: &[(usize, Instant, Instant)]) -> Vec<SoakFinding> {
        let check = |(content, ends): (&String, &Vec<Instant>)| {
            let (first, last) = (ends.first()?, ends.last()?);
            let concerns = |(_, from, until): &&(usize, Instant, Instant)| {
                *from <= *last && *until + FAULT_MARGIN >= *first
            };
            let faults = faults.iter().filter(concerns).count();
            let allowed = ALLOWED_ENDS + allowed_late(content) + ALLOWED_FOR_FAULT * faults;
            (ends.len() > allowed).then(|| SoakFinding {
                guarantee: "a content ends few upstreams",
                observed: format!("{content} ended {}, {allowed} are allowed", ends.len()),
            })
        };
        self.ends.iter().filter_map(check).collect()
    }
}

/// Returns how many runs of a content may begin after the third upstream has ended.
fn allowed_late(content: &str) -> usize {
    match EndingWay::of_content(content) {
        EndingWay::Refuse => 0,
        EndingWay::Reset => 2,
        EndingWay::Silent => 4,
    }
}
