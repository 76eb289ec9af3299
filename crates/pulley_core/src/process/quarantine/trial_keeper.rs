//! Permits one trial of each suspected content at a time.

use std::time::Duration;

use super::{
    ContentDigest, ContentStanding, FastMap, Moment, PoolName, SharedTime, SuspectRecord,
    TrialNumber, TrialVerdict,
};

/// The longest time for which a trial that nobody has ended keeps others waiting.
const MAX_LEASE: Duration = Duration::from_secs(30);

/// Number of running trials beyond which those whose lease has ended are removed.
const PRUNE_SIZE: usize = 256;

#[derive(Clone, Copy, Debug)]
struct RunningTrial {
    number: TrialNumber,
    until: Moment,
}

/// The trials that this host has permitted and that are running.
///
/// One host permits the trials of a content for all. Without that, twenty callers who send the same
/// content through twenty hosts would end twenty upstreams at the same moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialKeeper {
    running: FastMap<ContentDigest, RunningTrial>,
}

impl TrialKeeper {
    /// Decides on a host's question about a request to `pool`, which may come twice. `record` is the
    /// content's record.
    pub(crate) fn decide(
        &mut self,
        (now, time): (Moment, SharedTime),
        (record, pool): (&SuspectRecord, &PoolName),
        number: TrialNumber,
        lease: Duration,
    ) -> TrialVerdict {
        match record.standing(pool) {
            None | Some(ContentStanding::Held { .. }) => return TrialVerdict::Refused,
            Some(ContentStanding::Quarantined { until }) if time < until => {
                return TrialVerdict::Refused;
            }
            Some(_) => {}
        }
        let running = self.running.get(&record.digest).filter(|trial| now < trial.until);
        if running.is_some_and(|trial| trial.number != number) {
            return TrialVerdict::Busy;
        }
        if self.running.len() >= PRUNE_SIZE {
            self.running.retain(|_, trial| now < trial.until);
        }
        let until = now + lease.min(MAX_LEASE);
        self.running.insert(record.digest, RunningTrial { number, until });
        TrialVerdict::Granted
    }

    /// Records the end of a trial.
    pub(crate) fn finish(&mut self, digest: ContentDigest, number: TrialNumber) {
        if self.running.get(&digest).is_some_and(|trial| trial.number == number) {
            self.running.remove(&digest);
        }
    }
}
