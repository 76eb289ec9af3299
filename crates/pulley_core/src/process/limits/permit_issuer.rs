//! Issues the permits for the upstreams that are assigned to this host.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::issuer_ranking::IssuerRanking;
use super::permit_bucket::{PermitBucket, PermitGrant};
use super::{EntryZones, FastMap, HostId, Moment, StartRate, UpstreamId, ZoneName};

/// How long a host that has become the issuer of an upstream issues nothing. Until then other hosts
/// may still ask its predecessor, and the two would issue the same permits twice.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_200);

/// How long a host that has just started issues nothing. It may not know the other hosts yet.
const START_DELAY: Duration = Duration::from_secs(2);

/// Capacity of a bucket: this many seconds of its rate, and at least a few permits. Together with
/// the life of a permit it bounds what the upstream gets in any span of seconds.
const CAPACITY_SECONDS: f32 = 0.25;
const MIN_CAPACITY: f32 = 2.0;

/// Fraction of the rate that a deputy issues, beside an issuer that may still be at work.
const DEPUTY_FRACTION: f32 = 0.25;

/// The lowest rate at which permits are issued, in requests a second. Only answers show that a
/// limit has ended, so even an upstream that takes nothing gets a request now and then.
const MIN_RATE: f32 = 0.1;

/// What a host is told that asks one that is not the issuer: by then the two agree again.
const DISAGREEMENT_RETRY: Duration = Duration::from_millis(250);

/// Maximum number of former lists of entries that are remembered.
const MAX_FORMER_LISTS: usize = 8;

/// How long a bucket is kept after its last question.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);

/// The upstream and limit that a question is about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitedUpstream<'a> {
    pub(crate) upstream: &'a UpstreamId,
    pub(crate) zone: &'a ZoneName,
    pub(crate) rate: StartRate,
}

#[derive(Clone, Debug)]
struct IssuedSlice {
    bucket: PermitBucket,
    used_at: Moment,
}

/// Issues permits on this host, and tells which host issues those for other upstreams.
#[derive(Clone, Debug)]
pub(crate) struct PermitIssuer {
    host: HostId,
    started_at: Moment,
    entries: Arc<EntryZones>,
    /// Lists of entries that were replaced within the takeover delay, and when.
    former: VecDeque<(Moment, Arc<EntryZones>)>,
    slices: FastMap<(UpstreamId, usize), IssuedSlice>,
}

impl PermitIssuer {
    pub(crate) fn new(now: Moment, host: HostId) -> Self {
        Self {
            host,
            started_at: now,
            entries: Arc::default(),
            former: VecDeque::new(),
            slices: FastMap::default(),
        }
    }

    /// Sets the live entries.
    pub(crate) fn set_entries(&mut self, now: Moment, entries: &Arc<EntryZones>) {
        if *self.entries != **entries {
            self.former.push_back((now, Arc::clone(&self.entries)));
            while self.former.len() > MAX_FORMER_LISTS {
                self.former.pop_front();
            }
            self.entries = Arc::clone(entries);
        }
    }

    /// Returns the host to ask for permits; `None` if no entry is known.
    pub(crate) fn host_to_ask(
        &self,
        limited: LimitedUpstream<'_>,
        asks_deputy: bool,
    ) -> Option<HostId> {
        let ranking = ranking(&self.entries, limited);
        let slice = ranking.slice_of(&self.host);
        let deputy = ranking.deputy(slice).filter(|_| asks_deputy);
        deputy.or_else(|| ranking.issuer(slice)).cloned()
    }

    /// Answers another entry's question, or one of this host.
    #[expect(clippy::cast_precision_loss, reason = "slices are few")]
    pub(crate) fn issue(
        &mut self,
        now: Moment,
        limited: LimitedUpstream<'_>,
        from: &HostId,
        wanted: u16,
    ) -> PermitGrant {
        let ranking = ranking(&self.entries, limited);
        let (slice, slices) = (ranking.slice_of(from), ranking.slices() as f32);
        let is_issuer = ranking.issuer(slice) == Some(&self.host);
        let is_deputy = ranking.deputy(slice) == Some(&self.host);
        if !is_issuer && !is_deputy {
            return PermitGrant { permits: 0, retry_after: DISAGREEMENT_RETRY };
        }
        let role_fraction = if is_issuer { 1.0 } else { DEPUTY_FRACTION };
        let rate = limited.rate.per_second() * role_fraction * self.entries.usable_part() / slices;
        let rate = rate.max(MIN_RATE / slices);
        let capacity = (rate * CAPACITY_SECONDS).max(MIN_CAPACITY);
        let opens_at = if is_issuer { self.opens_at(now, limited, slice) } else { now };
        let issued = self.slices.entry((limited.upstream.clone(), slice)).or_insert_with(|| {
            IssuedSlice { bucket: PermitBucket::new(now, capacity), used_at: now }
        });
        issued.used_at = now;
        issued.bucket.set_capacity(capacity);
        if opens_at > now {
            issued.bucket.drain(now);
            return PermitGrant { permits: 0, retry_after: opens_at.since(now) };
        }
        issued.bucket.take(now, rate, from, wanted)
    }

    /// Drops what is no longer needed.
    pub(crate) fn prune(&mut self, now: Moment) {
        self.former.retain(|(replaced_at, _)| now.since(*replaced_at) < TAKEOVER_DELAY);
        self.slices.retain(|_, issued| now.since(issued.used_at) < BUCKET_RETENTION);
    }

    /// Returns when this host may begin to issue a slice's permits.
    fn opens_at(&self, now: Moment, limited: LimitedUpstream<'_>, slice: usize) -> Moment {
        let had_other_issuer = |entries: &EntryZones| {
            let issuer = ranking(entries, limited).issuer(slice).cloned();
            issuer.is_some_and(|issuer| issuer != self.host)
        };
        let replaced = self.former.iter().filter(|(_, entries)| had_other_issuer(entries));
        let taken_over = replaced.map(|(replaced_at, _)| *replaced_at + TAKEOVER_DELAY).max();
        taken_over.unwrap_or(now).max(self.started_at + START_DELAY)
    }
}

fn ranking<'a>(entries: &'a EntryZones, limited: LimitedUpstream<'a>) -> IssuerRanking<'a> {
    IssuerRanking::new(entries, limited.zone, limited.upstream, limited.rate)
}
