//! The ring of live hosts, which determines the gossip target of each round.

use std::net::SocketAddr;
use std::sync::Arc;

use super::HostId;

/// The live hosts ordered by name, with this host's position among them.
///
/// In round `r` each host sends to the host `2^r` positions after its own, and starts over after
/// `log2(n)` rounds. By then information from one host has reached all hosts, with one message per
/// host and round. Random targets would need nearly twice the rounds, because late messages mostly
/// reach hosts that already have the information.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerRing {
    /// Shared, because otherwise each copy of the ring would copy a thousand hosts.
    peers: Arc<Vec<(HostId, SocketAddr)>>,
    own_index: usize,
}

impl PeerRing {
    /// Makes the ring of this host (`own`) and the other live hosts.
    #[must_use]
    pub fn new(own: &HostId, mut others: Vec<(HostId, SocketAddr)>) -> Self {
        others.sort();
        let place = others.partition_point(|(host, _)| host < own);
        Self { peers: Arc::new(others), own_index: place }
    }

    /// Applies changes of the live hosts: each host's current address, or `None` if it is no longer
    /// live.
    ///
    /// A host that has just started learns of hundreds of others one by one. Sorting the ring again
    /// for each of them cost more than serving all its requests.
    pub fn apply(
        &mut self,
        own: &HostId,
        changes: impl IntoIterator<Item = (HostId, Option<SocketAddr>)>,
    ) {
        let peers = Arc::make_mut(&mut self.peers);
        for (host, address) in changes {
            let place = peers.binary_search_by(|(known, _)| known.cmp(&host));
            match (place, address) {
                (Ok(place), Some(address)) => peers[place].1 = address,
                (Ok(place), None) => {
                    peers.remove(place);
                }
                (Err(place), Some(address)) => peers.insert(place, (host, address)),
                (Err(_), None) => {}
            }
        }
        self.own_index = peers.partition_point(|(host, _)| host < own);
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
    pub fn target(&self, round: u32) -> Option<&(HostId, SocketAddr)> {
        let step = 1_usize << (round % self.rounds().max(1));
        // This host belongs between the indices `own_index - 1` and `own_index` of `peers`.
        let place = (self.own_index + step) % self.len();
        let index = if place > self.own_index { place - 1 } else { place };
        self.peers.get(index)
    }

    /// Returns the targets of one cycle of rounds, each exactly once.
    pub fn targets(&self) -> impl Iterator<Item = &(HostId, SocketAddr)> {
        (0..self.rounds()).filter_map(|round| self.target(round))
    }

    /// Returns the other live hosts.
    #[must_use]
    pub fn peers(&self) -> &[(HostId, SocketAddr)] {
        &self.peers
    }
}
