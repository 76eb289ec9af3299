//! A change as the log keeps it: what differs from the version it is based on.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::sequence_edit::{SequenceEdit, apply_edits, edits_between};
use super::{
    CHANGE_BYTES_LIMIT, CallerLimits, ChangeRequest, ConfigVersion, KindPlan, PLAN_ROW_LIMIT,
    PackedValue, PolicyPlan, PoolTerms, SHEET_LIMIT, StoredPlan,
};
use crate::process::{ActorName, ChangeId};

/// About how many bytes an edit takes besides its text.
const EDIT_OVERHEAD: usize = 12;

/// What a change makes of the sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeContent {
    /// The whole sheet as the operator gave it and its plan; its base was not known when it was
    /// appended, or it has little in common with it.
    Whole(PackedValue),
    /// What differs from the base.
    Edit(PackedValue),
    /// Nothing: another version was in force already, so the change can only be refused.
    Outdated,
}

/// What differs between two versions.
#[derive(Debug, Serialize, Deserialize)]
struct PlanEdit {
    /// Pieces of the sheet.
    pieces: Vec<SequenceEdit<String>>,
    rows: Vec<SequenceEdit<KindPlan>>,
    pools: Vec<SequenceEdit<PoolTerms>>,
    limits: CallerLimits,
}

/// A change as the log keeps it.
///
/// Operators send whole sheets, of which a change mostly touches a few rows. At 2,100 changes a day
/// of 100 KB each, a leader would spend its whole budget of control bytes on the unchanged rest.
/// The base is the version that the change must be applied to anyway, so a difference is enough.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredChange {
    /// Makes a resend known as such.
    pub change_id: ChangeId,
    /// Who asks.
    pub actor: ActorName,
    /// The version it is based on.
    pub expect: ConfigVersion,
    /// The version that the operator gives it, if the highest is to win.
    pub given: Option<ConfigVersion>,
    /// When the first host received it, in milliseconds of Unix time.
    pub received_unix_ms: u64,
    /// Tells whether two changes ask for the same thing; when they arrived plays no part.
    pub fingerprint: u128,
    /// What it makes of the sheet.
    pub content: ChangeContent,
}

impl StoredChange {
    /// Makes the log's form of a request, given the version that will be in force when it is
    /// applied, unless the log holds changes that are not applied yet; see [`Self::behind_others`].
    #[must_use]
    pub fn new(request: ChangeRequest, current: &StoredPlan) -> Self {
        Self::stored(request, current, |request| match request.expect.cmp(&current.version) {
            _ if request.given.is_some() => edit_content(request, current),
            std::cmp::Ordering::Equal => edit_content(request, current),
            _ => whole_content(request),
        })
    }

    /// Makes the log's form of a request that other changes go before: what will be in force when
    /// it is applied may be another version than now, so it is kept whole.
    #[must_use]
    pub fn behind_others(request: ChangeRequest, current: &StoredPlan) -> Self {
        Self::stored(request, current, whole_content)
    }

    fn stored(
        request: ChangeRequest,
        current: &StoredPlan,
        content: impl FnOnce(&ChangeRequest) -> ChangeContent,
    ) -> Self {
        let is_outdated = request.given.unwrap_or(request.expect) < current.version;
        let fingerprint = request_fingerprint(&request);
        let content = if is_outdated { ChangeContent::Outdated } else { content(&request) };
        // One with a version of its own is based on none: it is told what it is kept against.
        let expect = if request.given.is_some() { current.version } else { request.expect };
        Self {
            change_id: request.change_id,
            actor: request.actor,
            expect,
            given: request.given,
            received_unix_ms: request.received_unix_ms,
            fingerprint,
            content,
        }
    }

    /// The version that it makes, if it is accepted.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.given.unwrap_or_else(|| self.expect.next())
    }

    /// Makes the sheet and its plan, given the version in force.
    ///
    /// `None` if there is nothing to make, or it is kept against another version.
    #[must_use]
    pub fn build(&self, base: &StoredPlan) -> Option<(String, PolicyPlan)> {
        match &self.content {
            ChangeContent::Whole(packed) => packed.unpack(CHANGE_BYTES_LIMIT),
            ChangeContent::Edit(packed) if base.version == self.expect => {
                let edit: PlanEdit = packed.unpack(CHANGE_BYTES_LIMIT)?;
                let sheet = edited_sheet(&pieces_of(&base.sheet), &edit.pieces)?;
                let kinds = apply_edits(&base.plan.kinds, &edit.rows, PLAN_ROW_LIMIT)?;
                let pools = apply_edits(&base.plan.pools, &edit.pools, PLAN_ROW_LIMIT)?;
                Some((sheet, PolicyPlan { kinds, limits: edit.limits, pools }))
            }
            ChangeContent::Edit(_) | ChangeContent::Outdated => None,
        }
    }

    /// About how many bytes it takes.
    #[must_use]
    pub fn weight(&self) -> usize {
        let names = self.change_id.as_str().len() + self.actor.as_str().len();
        names
            + match &self.content {
                ChangeContent::Whole(packed) | ChangeContent::Edit(packed) => packed.size(),
                ChangeContent::Outdated => 0,
            }
    }
}

fn whole_content(request: &ChangeRequest) -> ChangeContent {
    ChangeContent::Whole(PackedValue::pack(&(&request.sheet, &request.plan)))
}

fn edit_content(request: &ChangeRequest, current: &StoredPlan) -> ChangeContent {
    let (old, new) = (&current.plan, &request.plan);
    let (old_pieces, new_pieces) = (pieces_of(&current.sheet), pieces_of(&request.sheet));
    let pieces = edits_between(&old_pieces, &new_pieces, &new_pieces);
    let (Some(rows), Some(pools), true) = (
        encoded_edits(&old.kinds, &new.kinds),
        encoded_edits(&old.pools, &new.pools),
        pieces.iter().map(edit_weight).sum::<usize>() < request.sheet.len(),
    ) else {
        return whole_content(request);
    };
    let pieces = pieces.into_iter().map(owned_edit).collect();
    ChangeContent::Edit(PackedValue::pack(&PlanEdit { pieces, rows, pools, limits: new.limits }))
}

fn encoded_edits<T: Clone + Serialize>(old: &[T], new: &[T]) -> Option<Vec<SequenceEdit<T>>> {
    let keys = |items: &[T]| -> postcard::Result<Vec<Vec<u8>>> {
        items.iter().map(postcard::to_allocvec).collect()
    };
    Some(edits_between(&keys(old).ok()?, &keys(new).ok()?, new))
}

/// Pieces of which a change mostly touches a few: lines, and objects where the sheet is JSON, which
/// often stands in one line.
fn pieces_of(sheet: &str) -> Vec<&str> {
    sheet.split_inclusive(['\n', '}']).collect()
}

fn owned_edit(edit: SequenceEdit<&str>) -> SequenceEdit<String> {
    match edit {
        SequenceEdit::Copy { from, count } => SequenceEdit::Copy { from, count },
        SequenceEdit::Insert(pieces) => {
            SequenceEdit::Insert(pieces.into_iter().map(str::to_owned).collect())
        }
    }
}

/// Makes the new sheet; `None` if the edits were not made for this old one, or it is too large.
fn edited_sheet(old: &[&str], edits: &[SequenceEdit<String>]) -> Option<String> {
    let mut sheet = String::new();
    for edit in edits {
        match edit {
            SequenceEdit::Copy { from, count } => {
                let from = *from as usize;
                let to = from.checked_add(*count as usize)?;
                old.get(from..to)?.iter().for_each(|piece| sheet.push_str(piece));
            }
            SequenceEdit::Insert(pieces) => pieces.iter().for_each(|piece| sheet.push_str(piece)),
        }
        if sheet.len() > SHEET_LIMIT {
            return None;
        }
    }
    Some(sheet)
}

fn edit_weight(edit: &SequenceEdit<&str>) -> usize {
    match edit {
        SequenceEdit::Copy { .. } => EDIT_OVERHEAD,
        SequenceEdit::Insert(pieces) => pieces.iter().map(|piece| piece.len()).sum(),
    }
}

fn request_fingerprint(request: &ChangeRequest) -> u128 {
    let mut hasher = Sha256::new();
    // What a change with a version of its own is based on plays no part in it.
    hasher.update(request.given.unwrap_or(request.expect).0.to_be_bytes());
    hasher.update(request.sheet.as_bytes());
    let digest: [u8; 32] = hasher.finalize().into();
    let mut half = [0_u8; 16];
    half.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(half)
}
