//! What a replica has to know before it recalls the upstreams that its disk holds.

/// How far a replica is with the proof that it knows all departures that were acknowledged before it
/// started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RecallProof {
    /// Nobody was asked yet, or the question was lost.
    #[default]
    NotAsked,
    /// The leader was asked.
    Asked,
    /// Who has applied this entry of the log knows them all.
    RequiredIndex(u64),
}

impl RecallProof {
    /// Whether the leader is to be asked.
    #[must_use]
    pub fn is_wanted(self) -> bool {
        self == Self::NotAsked
    }

    /// Notes that the question is about to be put; the answer may come before that returns.
    pub fn begin_asking(&mut self) {
        *self = Self::Asked;
    }

    /// Notes that the question was not taken, as too many wait already.
    ///
    /// Taken for asked, it would be waited for in vain until the recall comes too late, and entries
    /// would know only those upstreams that have announced themselves since.
    pub fn give_up_asking(&mut self) {
        if *self == Self::Asked {
            *self = Self::NotAsked;
        }
    }

    /// Takes the leader's word on what is applied; without one, whoever leads next is asked.
    pub fn take_answer(&mut self, applied: Option<u64>) {
        *self = applied.map_or(Self::NotAsked, Self::RequiredIndex);
    }

    /// Whether who has applied an entry may recall.
    #[must_use]
    pub fn holds_at(self, applied: u64) -> bool {
        matches!(self, Self::RequiredIndex(index) if applied >= index)
    }
}
