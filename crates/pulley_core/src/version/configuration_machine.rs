//! The state machine of the configuration: current version, change ids and audit trail.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::plan_diff::plan_diff;
use super::{
    AuditChunk, AuditFilter, AuditRecord, AuditTrail, ChangeAnswer, ChangeRefusal, ConfigVersion,
    LogIndex, SheetView, StoredChange, StoredPlan, ZoneAnswer, ZoneOrder,
};
use crate::process::{ActorName, ChangeId, FastMap};

/// Number of change ids remembered with their outcome. At 2,100 changes a day they cover 47 days,
/// far longer than any resend takes. Each uses about 100 bytes of memory.
pub const OUTCOMES_KEPT: usize = 100_000;

/// The answer to a change id, and the fingerprint of its change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ChangeOutcome {
    fingerprint: u128,
    answer: ChangeAnswer,
}

/// The configuration in force, the outcomes of recent change ids and the audit trail.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfigurationMachine {
    current: Arc<StoredPlan>,
    outcomes: FastMap<u128, ChangeOutcome>,
    outcome_order: VecDeque<u128>,
    audit: AuditTrail,
}

impl ConfigurationMachine {
    /// Applies a change by compare-and-set on the version, at most once for each change id.
    pub fn apply(&mut self, index: LogIndex, change: &StoredChange) -> ChangeAnswer {
        let id = id_digest(&change.change_id);
        let fingerprint = change.fingerprint;
        if let Some(outcome) = self.outcomes.get(&id) {
            if outcome.fingerprint == fingerprint {
                return outcome.answer.clone();
            }
            let answer = ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused);
            self.record_change(index, change, String::new(), &answer);
            return answer;
        }
        let (answer, diff) = self.decide(change);
        self.record_change(index, change, diff, &answer);
        let version_moved =
            matches!(answer, ChangeAnswer::Refused(ChangeRefusal::VersionMoved { .. }));
        if version_moved && change.assigned_version.is_some() {
            // The operator's change itself is valid. Its outcome is not remembered, so that a
            // resend is stored against the version then in force and applied.
            return answer;
        }
        self.remember_outcome(id, ChangeOutcome { fingerprint, answer: answer.clone() });
        answer
    }

    /// Records a membership change in the audit trail.
    pub fn record_member_change(
        &mut self,
        index: LogIndex,
        unix_ms: u64,
        actor: &ActorName,
        description: &str,
    ) {
        let Ok(change_id) = format!("member-{index}").parse::<ChangeId>() else { return };
        let version = self.current.version;
        self.audit.push(AuditRecord {
            index: index.0,
            unix_ms,
            actor: actor.clone(),
            change_id,
            base: version,
            diff: description.to_owned(),
            outcome: SmolStr::new_static("member"),
            answer: ChangeAnswer::Accepted { version },
        });
    }

    /// Records a zone order and its answer in the audit trail.
    pub(crate) fn record_zone_order(
        &mut self,
        index: LogIndex,
        order: &ZoneOrder,
        answer: &ZoneAnswer,
    ) {
        let version = self.current.version;
        let fault = match answer {
            ZoneAnswer::Accepted { .. } => None,
            ZoneAnswer::Overtaken { .. } => Some("another order came before"),
            ZoneAnswer::TooMany => Some("too many zones are evacuated"),
            ZoneAnswer::ChangeIdReused => Some("the change id stands for another order"),
        };
        let (outcome, answer) = match fault {
            None => (SmolStr::new_static("zone"), ChangeAnswer::Accepted { version }),
            Some(_) => {
                (SmolStr::new_static("refused"), ChangeAnswer::Superseded { current: version })
            }
        };
        let fault = fault.map(|fault| format!(", not done: {fault}")).unwrap_or_default();
        self.audit.push(AuditRecord {
            index: index.0,
            unix_ms: order.received_unix_ms,
            actor: order.actor.clone(),
            change_id: order.change_id.clone(),
            base: version,
            diff: format!("zone {} {}{fault}", order.zone, order.zone_use),
            outcome,
            answer,
        });
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> &Arc<StoredPlan> {
        &self.current
    }

    /// Returns the sheet in force with its version.
    #[must_use]
    pub fn sheet(&self) -> SheetView {
        SheetView { version: self.current.version, sheet: self.current.sheet.clone() }
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.current.version
    }

    /// Returns the audit trail.
    #[must_use]
    pub fn audit_trail(&self) -> &AuditTrail {
        &self.audit
    }

    /// Returns the matching audit records in memory, newest first.
    #[must_use]
    pub fn audit(&self, filter: &AuditFilter) -> Vec<AuditRecord> {
        self.audit.recent(filter)
    }

    /// Takes the audit trail's chunks that still have to be written.
    pub fn take_unwritten_chunks(&mut self) -> Vec<Arc<AuditChunk>> {
        self.audit.take_unwritten_chunks()
    }

    /// Accepts or refuses a change. Returns the answer and a summary of the changed rows.
    fn decide(&mut self, change: &StoredChange) -> (ChangeAnswer, String) {
        if let Some(assigned) = change.assigned_version {
            return self.decide_with_version(change, assigned);
        }
        let current = self.current.version;
        let sheet_and_plan = change.build(&self.current).filter(|_| change.expect == current);
        let Some((sheet, plan)) = sheet_and_plan else {
            let refusal = ChangeRefusal::VersionMoved { current };
            return (ChangeAnswer::Refused(refusal), String::new());
        };
        let version = current.next();
        let diff = plan_diff(&self.current.plan, &plan);
        self.current = Arc::new(StoredPlan { version, sheet, plan });
        (ChangeAnswer::Accepted { version }, diff)
    }

    /// Decides on a change with a version chosen by its operator; the highest version wins.
    ///
    /// A lower version is answered as superseded, not refused: its operator may be resending an
    /// accepted change, or another operator may have applied a higher version first.
    fn decide_with_version(
        &mut self,
        change: &StoredChange,
        assigned: ConfigVersion,
    ) -> (ChangeAnswer, String) {
        let current = self.current.version;
        if assigned < current {
            return (ChangeAnswer::Superseded { current }, String::new());
        }
        let Some((sheet, plan)) = change.build(&self.current) else {
            let refusal = ChangeRefusal::VersionMoved { current };
            return (ChangeAnswer::Refused(refusal), String::new());
        };
        if assigned == current {
            let answer = match sheet == self.current.sheet {
                true => ChangeAnswer::Accepted { version: assigned },
                false => ChangeAnswer::Refused(ChangeRefusal::VersionTaken { version: assigned }),
            };
            return (answer, String::new());
        }
        let diff = plan_diff(&self.current.plan, &plan);
        self.current = Arc::new(StoredPlan { version: assigned, sheet, plan });
        (ChangeAnswer::Accepted { version: assigned }, diff)
    }

    fn record_change(
        &mut self,
        index: LogIndex,
        change: &StoredChange,
        diff: String,
        answer: &ChangeAnswer,
    ) {
        let outcome = match answer {
            ChangeAnswer::Accepted { .. } => "accepted",
            ChangeAnswer::Superseded { .. } => "superseded",
            ChangeAnswer::Refused(_) | ChangeAnswer::Unknown { .. } => "refused",
        };
        self.audit.push(AuditRecord {
            index: index.0,
            unix_ms: change.received_unix_ms,
            actor: change.actor.clone(),
            change_id: change.change_id.clone(),
            base: change.expect,
            diff,
            outcome: SmolStr::new_static(outcome),
            answer: answer.clone(),
        });
    }

    fn remember_outcome(&mut self, id: u128, outcome: ChangeOutcome) {
        self.outcomes.insert(id, outcome);
        self.outcome_order.push_back(id);
        if self.outcome_order.len() > OUTCOMES_KEPT
            && let Some(oldest) = self.outcome_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}

fn id_digest(id: &ChangeId) -> u128 {
    first_half(Sha256::digest(id.as_str().as_bytes()).into())
}

fn first_half(digest: [u8; 32]) -> u128 {
    let mut half = [0_u8; 16];
    half.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(half)
}
