//! The hosts that a host asks for connections to upstreams which it can't reach itself.

use std::net::SocketAddr;

use super::{FastMap, HostId, MemberRecord, ZoneName, stable_hash};

/// Number of hosts listed of the own zone, and of each other one.
const OWN_ZONE_HOSTS: usize = 6;
const OTHER_ZONE_HOSTS: usize = 3;

/// A live host that may open connections for another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHost {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address for peers.
    pub address: SocketAddr,
}

impl RelayHost {
    /// Lists hosts for one that is cut off, the best first: entries of its own zone, as bytes
    /// between zones are expensive, then entries of other zones, then hosts that only hold replicas,
    /// whose main work must not be disturbed.
    ///
    /// Rendezvous hashing spreads cut hosts over the others, and each `round` gives another choice:
    /// those listed first may be cut off too.
    pub fn list<'a>(
        own: &MemberRecord,
        live: impl IntoIterator<Item = &'a MemberRecord>,
        round: u64,
    ) -> Vec<Self> {
        let others = live.into_iter().filter(|record| record.host != own.host);
        let mut groups: FastMap<(bool, bool, &ZoneName), Vec<&MemberRecord>> = FastMap::default();
        for record in others {
            let group = (!record.roles.entry, record.zone != own.zone, &record.zone);
            groups.entry(group).or_default().push(record);
        }
        let round = round.to_string();
        let rank = |text: &str| stable_hash([own.host.as_str(), text, round.as_str()]);
        let mut groups: Vec<_> = groups.into_iter().collect();
        groups.sort_by_key(|((is_replica, is_away, zone), _)| {
            (*is_replica, *is_away, rank(zone.as_str()))
        });
        let mut list = Vec::new();
        for ((_, is_away, _), mut group) in groups {
            group.sort_by_cached_key(|record| rank(record.host.as_str()));
            let count = if is_away { OTHER_ZONE_HOSTS } else { OWN_ZONE_HOSTS };
            list.extend(group.into_iter().take(count).map(|record| Self {
                host: record.host.clone(),
                zone: record.zone.clone(),
                address: record.peer_address,
            }));
        }
        list
    }
}
