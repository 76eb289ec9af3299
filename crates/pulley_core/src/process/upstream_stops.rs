//! What upstreams have asked of this host in their answers: rest, or no new work at all.

use super::{FastMap, Incarnation, Moment, UpstreamId, UpstreamStart};

/// Why nothing may be sent to an upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBlock {
    /// It leaves or has left, or takes no work for another reason that this host can't wait for.
    Departed,
    /// It has asked this host for rest until then.
    Resting(Moment),
    /// Its rest has ended, and it has yet to answer the first requests.
    Returning,
    /// It is cold, and this entry's part of the rate that it bears is used up.
    Cold,
    /// It names a request limit, and this entry holds no permit.
    Limited,
}

impl SendBlock {
    /// Returns when the block ends, if that is known.
    #[must_use]
    pub const fn until(self) -> Option<Moment> {
        match self {
            Self::Resting(until) => Some(until),
            Self::Departed | Self::Returning | Self::Cold | Self::Limited => None,
        }
    }

    /// Returns the cause as a short name for headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Departed => "upstream-departed",
            Self::Resting(_) => "upstream-resting",
            Self::Returning => "upstream-returning",
            Self::Cold => "upstream-cold",
            Self::Limited => "upstream-limited",
        }
    }
}

/// What one incarnation of an upstream has asked of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStop {
    /// The end of the rest that it has asked for; in the past if it asks for none.
    pub rest_until: Moment,
    /// Whether it leaves.
    pub departs: bool,
}

impl UpstreamStop {
    /// Returns why nothing may be sent now, if that is so.
    #[must_use]
    pub fn block(self, now: Moment) -> Option<SendBlock> {
        if self.departs {
            return Some(SendBlock::Departed);
        }
        (now < self.rest_until).then_some(SendBlock::Resting(self.rest_until))
    }
}

/// What upstreams have asked of this host. It outlives pools and configurations, and a stop holds
/// for the incarnation that asked for it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamStops {
    by_id: FastMap<UpstreamId, (Incarnation, UpstreamStop)>,
}

impl UpstreamStops {
    /// Records that an upstream wants nothing until then. Returns whether that is later than known.
    pub fn record_rest(&mut self, start: &UpstreamStart, until: Moment) -> bool {
        let Some(stop) = self.entry(start) else { return false };
        let is_later = until > stop.rest_until;
        stop.rest_until = stop.rest_until.max(until);
        is_later
    }

    /// Records that an upstream leaves. Returns whether that was not known.
    pub fn record_departure(&mut self, start: &UpstreamStart) -> bool {
        let Some(stop) = self.entry(start) else { return false };
        !std::mem::replace(&mut stop.departs, true)
    }

    /// Returns what an upstream has asked for.
    #[must_use]
    pub fn find(&self, start: &UpstreamStart) -> UpstreamStop {
        let known = self.by_id.get(&start.id);
        let known = known.filter(|(incarnation, _)| *incarnation == start.incarnation);
        known.map(|(_, stop)| *stop).unwrap_or_default()
    }

    /// Whether no upstream has asked for anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Forgets what has ended, and upstreams that `is_known` doesn't know.
    pub fn forget_ended(&mut self, now: Moment, is_known: impl Fn(&UpstreamId) -> bool) {
        self.by_id.retain(|id, (_, stop)| stop.block(now).is_some() && is_known(id));
    }

    /// Returns the stop of an incarnation, unless a later one is known.
    fn entry(&mut self, start: &UpstreamStart) -> Option<&mut UpstreamStop> {
        let fresh = (start.incarnation, UpstreamStop::default());
        let known = self.by_id.entry(start.id.clone()).or_insert(fresh);
        if known.0 < start.incarnation {
            *known = fresh;
        }
        (known.0 == start.incarnation).then_some(&mut known.1)
    }
}
