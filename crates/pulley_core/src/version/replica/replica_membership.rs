//! Membership of the replicated log.

use serde::{Deserialize, Serialize};

use super::DiskId;
use crate::process::{HostId, MemberId};

/// One member of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMember {
    /// Its id, never reused after removal.
    pub member: MemberId,
    /// The host it runs on.
    pub host: HostId,
    /// Its disk; unknown until a learner that an operator added has joined.
    pub disk: Option<DiskId>,
    /// Whether it votes; learners only receive the log.
    pub voter: bool,
}

/// All members of the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMembership {
    /// The members, ordered by id.
    pub members: Vec<ReplicaMember>,
    /// The id that the next new member gets.
    pub next_member: MemberId,
}

impl ReplicaMembership {
    /// Creates the first membership from an explicit list of voters.
    #[must_use]
    pub fn of_voters(replicas: &[(HostId, MemberId)]) -> Self {
        let mut members: Vec<ReplicaMember> = replicas
            .iter()
            .map(|(host, member)| ReplicaMember {
                member: *member,
                host: host.clone(),
                disk: None,
                voter: true,
            })
            .collect();
        members.sort_by_key(|member| member.member);
        let highest = members.last().map_or(0, |member| member.member.0);
        Self { members, next_member: MemberId(highest + 1) }
    }

    /// Returns the membership with a new learner, and the learner's id.
    #[must_use]
    pub fn with_learner(&self, host: &HostId, disk: Option<DiskId>) -> (Self, MemberId) {
        let mut next = self.clone();
        let member = self.next_member;
        next.members.push(ReplicaMember { member, host: host.clone(), disk, voter: false });
        next.next_member = MemberId(member.0 + 1);
        (next, member)
    }

    /// Returns the membership with a learner promoted to a voter.
    #[must_use]
    pub fn with_voter(&self, promoted: MemberId) -> Self {
        let mut next = self.clone();
        for member in &mut next.members {
            if member.member == promoted {
                member.voter = true;
            }
        }
        next
    }

    /// Returns the membership with a member's disk set.
    #[must_use]
    pub fn with_disk(&self, bound: MemberId, disk: DiskId) -> Self {
        let mut next = self.clone();
        for member in &mut next.members {
            if member.member == bound {
                member.disk = Some(disk);
            }
        }
        next
    }

    /// Returns the membership without one member.
    #[must_use]
    pub fn without(&self, removed: MemberId) -> Self {
        let mut next = self.clone();
        next.members.retain(|member| member.member != removed);
        next
    }

    /// Finds a member.
    #[must_use]
    pub fn find(&self, wanted: MemberId) -> Option<&ReplicaMember> {
        self.members.iter().find(|member| member.member == wanted)
    }

    /// Finds a host's member.
    #[must_use]
    pub fn find_host(&self, wanted: &HostId) -> Option<&ReplicaMember> {
        self.members.iter().find(|member| member.host == *wanted)
    }

    /// Whether a member votes.
    #[must_use]
    pub fn is_voter(&self, wanted: MemberId) -> bool {
        self.find(wanted).is_some_and(|member| member.voter)
    }

    /// Returns the voters' ids.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|member| member.voter).map(|member| member.member)
    }

    /// Returns how many voters make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters for which `holds` is true make a majority.
    #[must_use]
    pub fn is_majority(&self, holds: impl Fn(MemberId) -> bool) -> bool {
        self.voters().filter(|member| holds(*member)).count() >= self.quorum()
    }
}
