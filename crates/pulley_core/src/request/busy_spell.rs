//! For how long a pool has been full, and when its refused callers had better come back.

use std::time::Duration;

use rand::Rng;

use crate::process::Moment;

/// After how long without a refusal a spell is over.
const CALM: Duration = Duration::from_secs(1);

/// The longest time that callers are asked to stay away for a spell: a longer one may be no rush but
/// a lasting lack, through which some have to be served all the same.
const LONGEST: Duration = Duration::from_millis(2_500);

/// For how long a pool has been full.
///
/// Load it is for: rushes of seconds. Harm: a request that was refused is late by then, and comes
/// back while the rush goes on if it is asked to come back soon. It takes the slot of one that could
/// still be answered in time, and both are late. Reason for the limits: a rush that has lasted for so
/// long is as likely as not to last for as long again; callers come back over half of that time, as
/// together they would be the next rush.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BusySpell {
    /// When it began, and when a request was last refused in it.
    spell: Option<(Moment, Moment)>,
}

impl BusySpell {
    /// Notes that a request found no room; returns when its caller may come back, `soonest` at least.
    pub(crate) fn refuse(
        &mut self,
        now: Moment,
        soonest: Duration,
        random: &mut impl Rng,
    ) -> Duration {
        let began = match self.spell {
            Some((began, last)) if now.since(last) < CALM => began,
            _ => now,
        };
        self.spell = Some((began, now));
        let lasts = now.since(began).min(LONGEST);
        soonest.max(lasts.mul_f32(random.random_range(0.75..1.25)))
    }
}
