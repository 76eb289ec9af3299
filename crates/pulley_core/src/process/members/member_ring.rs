//! The order of live hosts, and whom each tells in which round.

use std::net::SocketAddr;
use std::sync::Arc;

use super::HostId;

/// The live hosts in the order of their names, and where the own host stands in it.
///
/// In round `r` a host tells the one `2^r` places further on, and begins anew after `log2(n)`
/// rounds. Whatever one host knows has then reached all, with one message a host and round. Random
/// choice needs nearly twice the rounds, as late messages mostly meet hosts that know already.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerRing {
    /// Shared, as a thousand hosts would else be copied with each copy of the ring.
    peers: Arc<Vec<(HostId, SocketAddr)>>,
    own: usize,
}

impl PeerRing {
    /// Makes the ring of the other live hosts around the own one.
    #[must_use]
    pub fn new(own: &HostId, mut others: Vec<(HostId, SocketAddr)>) -> Self {
        others.sort();
        let place = others.partition_point(|(host, _)| host < own);
        Self { peers: Arc::new(others), own: place }
    }

    /// Takes over how the live hosts have changed: where a host is now, or nothing if it is gone.
    ///
    /// A host that has just started hears of hundreds of others one after the other; a ring sorted
    /// anew for each of them cost it more than all that it had to serve.
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
        self.own = peers.partition_point(|(host, _)| host < own);
    }

    /// How many live hosts there are, the own one included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len() + 1
    }

    /// Whether the own host is alone.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// After how many rounds a piece of news has reached all.
    #[must_use]
    pub fn rounds(&self) -> u32 {
        usize::BITS - self.peers.len().leading_zeros()
    }

    /// Whom to tell in a round, if the own host isn't alone.
    #[must_use]
    pub fn target(&self, round: u32) -> Option<&(HostId, SocketAddr)> {
        let step = 1_usize << (round % self.rounds().max(1));
        // The own host stands between `own - 1` and `own` in `peers`.
        let place = (self.own + step) % self.len();
        let index = if place > self.own { place - 1 } else { place };
        self.peers.get(index)
    }

    /// Every host told in one cycle of rounds, each once.
    pub fn targets(&self) -> impl Iterator<Item = &(HostId, SocketAddr)> {
        (0..self.rounds()).filter_map(|round| self.target(round))
    }

    /// The other live hosts.
    #[must_use]
    pub fn peers(&self) -> &[(HostId, SocketAddr)] {
        &self.peers
    }
}
