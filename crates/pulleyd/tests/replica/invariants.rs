//! Invariants that must hold after every step, whatever fails.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::Arc;

use pulley_core::ConfigVersion;
use pulley_core::process::{ChangeId, MemberId};
use pulley_core::version::{
    ChangeAnswer, ClaimAnswer, EvacuatedZones, FencingToken, LogEntry, LogIndex, ReplicaAnswer,
    ReplicaDriver, ReplicaQuestion, Term, ZoneAnswer,
};
use smol_str::SmolStr;

/// Checks the invariants over all hosts of a test.
#[derive(Debug, Default)]
pub(crate) struct Invariants {
    leaders: BTreeMap<Term, MemberId>,
    committed: BTreeMap<LogIndex, Arc<LogEntry>>,
    checked: BTreeMap<usize, LogIndex>,
    in_force: BTreeMap<usize, ConfigVersion>,
    /// The latest order for a zone in force on each host.
    zones: BTreeMap<usize, LogIndex>,
    /// The latest accepted order for a zone.
    pub(crate) newest_order: LogIndex,
    /// The latest accepted order when a read of the evacuated zones began.
    zone_reads: BTreeMap<u64, LogIndex>,
    questions: BTreeMap<u64, ReplicaQuestion>,
    /// The newest version accepted when a read began.
    reads: BTreeMap<u64, ConfigVersion>,
    /// The answer to each change. Two changes are the same if their ids and their bases are equal.
    outcomes: BTreeMap<(ChangeId, ConfigVersion), ChangeAnswer>,
    grants: BTreeMap<SmolStr, FencingToken>,
    releases: Vec<(SmolStr, FencingToken)>,
    pub(crate) accepted: BTreeMap<ConfigVersion, ChangeId>,
    pub(crate) granted: u64,
}

impl Invariants {
    /// Forgets what was checked on a host. A restarted host may hold different memory, but no older
    /// version may come into force on it.
    pub(crate) fn forget_host(&mut self, number: usize) {
        self.checked.remove(&number);
    }

    pub(crate) fn check_host(&mut self, number: usize, driver: &ReplicaDriver) {
        let node = driver.node();
        if node.is_leader() {
            let member = self.leaders.entry(node.term()).or_insert(node.member());
            assert_eq!(*member, node.member(), "two leaders in term {}", node.term());
        }
        let commit = node.commit_index();
        let from = self.checked.get(&number).copied().unwrap_or_default();
        let mut index = from.next();
        while index <= commit {
            if let Some(entry) = node.entry(index) {
                self.check_entry(number, entry);
            }
            index = index.next();
        }
        self.checked.insert(number, commit.max(from));
    }

    fn check_entry(&mut self, number: usize, entry: &Arc<LogEntry>) {
        match self.committed.entry(entry.index) {
            Entry::Vacant(place) => {
                place.insert(entry.clone());
            }
            Entry::Occupied(known) => {
                assert_eq!(
                    known.get(),
                    entry,
                    "host {number} has another committed entry {}",
                    entry.index
                );
            }
        }
    }

    pub(crate) fn record_in_force(&mut self, number: usize, version: ConfigVersion) {
        let previous = self.in_force.insert(number, version).unwrap_or_default();
        assert!(
            version >= previous,
            "host {number} went from version {previous} down to {version}"
        );
    }

    pub(crate) fn record_zones(&mut self, number: usize, zones: &EvacuatedZones) {
        let previous = self.zones.insert(number, zones.revision).unwrap_or_default();
        assert!(
            zones.revision >= previous,
            "host {number} went from order {previous} back to {}",
            zones.revision
        );
    }

    pub(crate) fn record_question(&mut self, token: u64, question: &ReplicaQuestion) {
        if let ReplicaQuestion::Release { key, token } = question {
            self.releases.push((key.clone(), *token));
        }
        if *question == ReplicaQuestion::CurrentPlan {
            let newest = self.accepted.keys().max().copied().unwrap_or_default();
            self.reads.insert(token, newest);
        }
        if *question == ReplicaQuestion::EvacuatedZones {
            self.zone_reads.insert(token, self.newest_order);
        }
        self.questions.insert(token, question.clone());
    }

    pub(crate) fn record_answer(&mut self, token: u64, answer: &ReplicaAnswer) {
        let Some(question) = self.questions.remove(&token) else {
            panic!("question {token} was answered twice or never asked");
        };
        match (question, answer) {
            (ReplicaQuestion::Apply(request), ReplicaAnswer::Change(answer)) => {
                self.record_change(&request.change_id, request.expect, answer);
            }
            (
                ReplicaQuestion::Claim { key, .. },
                ReplicaAnswer::Claim(ClaimAnswer::Granted(token)),
            ) => self.record_grant(&key, *token),
            (ReplicaQuestion::CurrentPlan, ReplicaAnswer::Sheet(plan)) => {
                let newest = self.reads.remove(&token).unwrap_or_default();
                assert!(
                    plan.version >= newest,
                    "a read gave version {} although {newest} was accepted before it began",
                    plan.version
                );
            }
            (
                ReplicaQuestion::OrderZone(_),
                ReplicaAnswer::Zone(ZoneAnswer::Accepted { revision }),
            ) => self.newest_order = self.newest_order.max(*revision),
            (ReplicaQuestion::EvacuatedZones, ReplicaAnswer::Zones(zones)) => {
                let newest = self.zone_reads.remove(&token).unwrap_or_default();
                assert!(
                    zones.revision >= newest,
                    "a read gave order {} although {newest} was accepted before it began",
                    zones.revision
                );
            }
            _ => {}
        }
    }

    fn record_change(&mut self, id: &ChangeId, base: ConfigVersion, answer: &ChangeAnswer) {
        if let ChangeAnswer::Accepted { version } = answer {
            let owner = self.accepted.entry(*version).or_insert_with(|| id.clone());
            assert_eq!(owner, id, "version {version} was accepted twice");
        }
        let first = self.outcomes.entry((id.clone(), base)).or_insert_with(|| answer.clone());
        assert_eq!(first, answer, "change {id} has two outcomes");
    }

    fn record_grant(&mut self, key: &SmolStr, token: FencingToken) {
        self.granted += 1;
        if let Some(previous) = self.grants.insert(key.clone(), token) {
            assert!(previous < token, "key {key} was granted under a lower token");
            assert!(
                self.releases.contains(&(key.clone(), previous)),
                "key {key} was granted twice without a release"
            );
        }
    }

    /// Checks that a host holds every change that was ever accepted.
    pub(crate) fn check_nothing_lost(&self, driver: &ReplicaDriver) {
        let configuration = &driver.machines().configuration;
        let filter = pulley_core::version::AuditFilter {
            outcome: Some(SmolStr::new_static("accepted")),
            ..Default::default()
        };
        let audit = configuration.audit(&filter);
        for (version, id) in &self.accepted {
            let answer = ChangeAnswer::Accepted { version: *version };
            assert!(
                audit.iter().any(|record| record.change_id == *id && record.answer == answer),
                "change {id}, accepted as version {version}, is lost"
            );
        }
    }
}
