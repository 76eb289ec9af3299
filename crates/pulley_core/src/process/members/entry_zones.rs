//! The live entries of each availability zone.

use super::{FastMap, HostId, MemberRecord, UpstreamId, ZoneName, stable_hash};

/// The entries that may forward an entry's permit requests, and how many of them are of other zones.
const FORWARDER_LIMIT: usize = 8;
const OTHER_ZONE_FORWARDERS: usize = 2;

/// The live entries of each availability zone.
///
/// Every host derives the assignment of upstreams to entries from the same list of live entries, so
/// that the hosts agree without exchanging messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryZones {
    zones: FastMap<ZoneName, Vec<HostId>>,
    /// Entries that were lost without leaving.
    lost: usize,
}

impl EntryZones {
    /// Groups live hosts by zone; hosts that are not entries are left out.
    pub fn of<'a>(live: impl IntoIterator<Item = &'a MemberRecord>) -> Self {
        let entries = live.into_iter().filter(|record| record.roles.entry);
        entries.map(|record| (record.zone.clone(), record.host.clone())).collect()
    }

    /// Sets how many entries were lost without leaving. They may be at work beyond a partition.
    #[must_use]
    pub fn with_lost(mut self, lost: usize) -> Self {
        self.lost = lost;
        self
    }

    /// Returns the part that the live entries may use of what holds for all hosts together.
    ///
    /// Two sides of a partition that each assign work among the entries they see would use the whole
    /// twice. A side that sees at most half of all entries uses its part.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "entries are few")]
    pub fn usable_part(&self) -> f32 {
        let live = self.len();
        let is_minority = self.lost >= live.max(1);
        if is_minority { live as f32 / (live + self.lost) as f32 } else { 1.0 }
    }

    /// Returns the number of live entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.zones.values().map(Vec::len).sum()
    }

    /// Whether no entry is live.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the entries of an upstream's zone, or those of all zones if that has none, from the
    /// highest rendezvous hash for the upstream to the lowest.
    pub(crate) fn ranked(&self, zone: &ZoneName, upstream: &UpstreamId) -> Vec<&HostId> {
        let mut entries: Vec<&HostId> = match self.zones.get(zone) {
            Some(entries) => entries.iter().collect(),
            None => self.zones.values().flatten().collect(),
        };
        let rank = |host: &HostId| stable_hash([upstream.as_str(), host.as_str()]);
        entries.sort_by_cached_key(|host| std::cmp::Reverse((rank(host), HostId::clone(host))));
        entries
    }

    /// Returns the `count` entries with the highest rendezvous hashes for a key, highest first.
    pub(crate) fn highest(&self, key: &[u8], count: usize) -> Vec<HostId> {
        let mut entries: Vec<&HostId> = self.zones.values().flatten().collect();
        let rank = |host: &HostId| stable_hash([key, host.as_str().as_bytes()]);
        entries.sort_by_cached_key(|host| std::cmp::Reverse((rank(host), HostId::clone(host))));
        entries.into_iter().take(count).cloned().collect()
    }

    /// Returns the entries that an entry asks to forward its permit requests while no replica answers
    /// it, in order: those of its own zone with the highest rendezvous hash for it, then those of
    /// other zones, because a whole zone may have lost the replicas. Replicas are left out.
    #[must_use]
    pub fn forwarders(&self, zone: &ZoneName, own: &HostId, replicas: &[HostId]) -> Vec<HostId> {
        let rank = |host: &HostId| stable_hash(["forwarder", own.as_str(), host.as_str()]);
        let ranked = |is_own_zone: bool, limit: usize| {
            let zones = self.zones.iter().filter(|(name, _)| (*name == zone) == is_own_zone);
            let hosts = zones.flat_map(|(_, hosts)| hosts);
            let hosts = hosts.filter(|host| *host != own && !replicas.contains(host));
            let mut hosts: Vec<HostId> = hosts.cloned().collect();
            hosts.sort_by_cached_key(|host| std::cmp::Reverse((rank(host), host.clone())));
            hosts.truncate(limit);
            hosts
        };
        let others = ranked(false, FORWARDER_LIMIT);
        let mut chosen = ranked(true, FORWARDER_LIMIT - others.len().min(OTHER_ZONE_FORWARDERS));
        let left = FORWARDER_LIMIT - chosen.len();
        chosen.extend(others.into_iter().take(left));
        chosen
    }

    /// Whether a host is one of the `count` entries that an upstream is assigned to.
    ///
    /// These are the entries of the upstream's zone with the highest rendezvous hash for it. If
    /// that zone has no entry, they are chosen from the entries of all zones.
    #[must_use]
    pub fn is_assigned(
        &self,
        host: &HostId,
        (zone, upstream): (&ZoneName, &UpstreamId),
        count: usize,
    ) -> bool {
        let rank = |host: &HostId| stable_hash([upstream.as_str(), host.as_str()]);
        let own = rank(host);
        let is_ahead = |other: &&HostId| rank(other) > own;
        match self.zones.get(zone) {
            Some(entries) => {
                entries.contains(host) && entries.iter().filter(is_ahead).count() < count
            }
            None => self.zones.values().flatten().filter(is_ahead).count() < count,
        }
    }
}

impl FromIterator<(ZoneName, HostId)> for EntryZones {
    fn from_iter<I: IntoIterator<Item = (ZoneName, HostId)>>(entries: I) -> Self {
        let mut zones: FastMap<ZoneName, Vec<HostId>> = FastMap::default();
        for (zone, host) in entries {
            zones.entry(zone).or_default().push(host);
        }
        Self { zones, lost: 0 }
    }
}
