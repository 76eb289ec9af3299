//! The condition under which a replica may restore the upstreams stored on its disk.

/// A replica's progress in proving that it knows every departure that was acknowledged before it
/// started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RecallProof {
    /// No leader was asked yet, or the question was lost.
    #[default]
    NotAsked,
    /// The leader was asked and has not answered.
    Asked,
    /// Every such departure is known once the log is applied up to this index.
    RequiredIndex(u64),
}

impl RecallProof {
    /// Whether the leader still has to be asked.
    #[must_use]
    pub fn needs_request(self) -> bool {
        self == Self::NotAsked
    }

    /// Records that the question is about to be sent. The answer may arrive before the sending call
    /// returns.
    pub fn mark_requested(&mut self) {
        *self = Self::Asked;
    }

    /// Records that the question was rejected because too many are already waiting.
    ///
    /// If it still counted as asked, the replica would wait for an answer that never comes until it
    /// is too late to restore the upstreams. Entries would then know only those upstreams that have
    /// announced themselves since.
    pub fn mark_rejected(&mut self) {
        if *self == Self::Asked {
            *self = Self::NotAsked;
        }
    }

    /// Takes the index that the leader reports as applied. Without one, the next leader is asked.
    pub fn apply_answer(&mut self, applied: Option<u64>) {
        *self = applied.map_or(Self::NotAsked, Self::RequiredIndex);
    }

    /// Whether a replica that has applied the log up to `applied` may restore the stored upstreams.
    #[must_use]
    pub fn is_complete_at(self, applied: u64) -> bool {
        matches!(self, Self::RequiredIndex(index) if applied >= index)
    }
}
