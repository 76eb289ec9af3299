//! The ring of live hosts, which determines the gossip target of each round.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{HostId, ZoneName};

/// Number of hosts of a zone that send to other zones what every host sends within its zone.
const CROSS_ZONE_SENDERS: usize = 16;

/// Another live host in the ring.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RingPeer {
    /// Its availability zone; `None` if zones play no part.
    pub zone: Option<ZoneName>,
    /// Its name.
    pub host: HostId,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// The live hosts ordered by zone and name, with this host's position among them.
///
/// In round `r` each host sends to the host `2^r` positions after its own, and starts over after
/// `log2(n)` rounds. By then information from one host has reached all hosts, with one message per
/// host and round. Random targets would need nearly twice the rounds, because late messages mostly
/// reach hosts that already have the information. Hosts of a zone are adjacent, so that only the
/// last rounds lead out of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerRing {
    /// Shared, because otherwise each copy of the ring would copy a thousand hosts.
    peers: Arc<Vec<RingPeer>>,
    own_zone: Option<ZoneName>,
    own_index: usize,
}

impl PeerRing {
    /// Makes the ring of this host (`own`) and the other live hosts, without zones.
    #[must_use]
    pub fn new(own: &HostId, others: Vec<(HostId, SocketAddr)>) -> Self {
        let peer = |(host, address)| RingPeer { zone: None, host, address };
        Self::with_zones((None, own), others.into_iter().map(peer).collect())
    }

    /// Makes the ring of this host and the other live hosts.
    #[must_use]
    pub fn with_zones(own: (Option<ZoneName>, &HostId), mut others: Vec<RingPeer>) -> Self {
        others.sort();
        let mut ring = Self { peers: Arc::new(others), own_zone: own.0, own_index: 0 };
        ring.update_own_index(own.1);
        ring
    }

    /// Applies changes of the live hosts: each host's current zone and address, or `None` if it is
    /// no longer live.
    ///
    /// A host that has just started learns of hundreds of others one by one. Sorting the ring again
    /// for each of them cost more than serving all its requests.
    pub fn apply(
        &mut self,
        own: &HostId,
        changes: impl IntoIterator<Item = (HostId, Option<(ZoneName, SocketAddr)>)>,
    ) {
        let peers = Arc::make_mut(&mut self.peers);
        for (host, place) in changes {
            if let Some(known) = peers.iter().position(|peer| peer.host == host) {
                peers.remove(known);
            }
            if let Some((zone, address)) = place {
                let peer = RingPeer { zone: Some(zone), host, address };
                let position = peers.partition_point(|known| *known < peer);
                peers.insert(position, peer);
            }
        }
        self.update_own_index(own);
    }

    /// Returns the number of live hosts, including this one.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len() + 1
    }

    /// Whether this host is the only live one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the number of rounds after which information has reached all hosts.
    #[must_use]
    pub fn rounds(&self) -> u32 {
        usize::BITS - self.peers.len().leading_zeros()
    }

    /// Returns the host to send to in a round; `None` if this host is the only live one.
    #[must_use]
    pub fn target(&self, round: u32) -> Option<&RingPeer> {
        let step = 1_usize << (round % self.rounds().max(1));
        // This host belongs between the indices `own_index - 1` and `own_index` of `peers`.
        let place = (self.own_index + step) % self.len();
        let index = if place > self.own_index { place - 1 } else { place };
        self.peers.get(index)
    }

    /// Returns the host to send to in a round what many other hosts send too. Within the zone that
    /// is [`Self::target`]. `None` if it is in another zone and it is not this host's turn.
    ///
    /// What a zone knows need not be sent to another zone by each of its hosts, because a few rounds
    /// later every host there has it from the first ones. Hosts take turns, so that none is relied
    /// on.
    #[must_use]
    pub fn shared_target(&self, round: u32) -> Option<&RingPeer> {
        let target = self.target(round)?;
        let cycle = usize::try_from(round / self.rounds().max(1)).unwrap_or(0);
        let is_turn = || (self.place_in_zone() + cycle).is_multiple_of(self.cross_zone_stride());
        Some(target).filter(|target| target.zone == self.own_zone || is_turn())
    }

    /// Returns the targets of one cycle of rounds, each exactly once.
    pub fn targets(&self) -> impl Iterator<Item = &RingPeer> {
        (0..self.rounds()).filter_map(|round| self.target(round))
    }

    /// Returns the other live hosts.
    #[must_use]
    pub fn peers(&self) -> &[RingPeer] {
        &self.peers
    }

    fn update_own_index(&mut self, own: &HostId) {
        let own = (&self.own_zone, own);
        self.own_index = self.peers.partition_point(|peer| (&peer.zone, &peer.host) < own);
    }

    fn place_in_zone(&self) -> usize {
        self.own_index - self.peers.partition_point(|peer| peer.zone < self.own_zone)
    }

    fn cross_zone_stride(&self) -> usize {
        let first = self.peers.partition_point(|peer| peer.zone < self.own_zone);
        let end = self.peers.partition_point(|peer| peer.zone <= self.own_zone);
        ((end - first + 1) / CROSS_ZONE_SENDERS).max(1)
    }
}
