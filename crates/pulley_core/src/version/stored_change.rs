//! Changes as the log stores them: as a difference from the version they are based on.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::sequence_edit::{SequenceEdit, apply_edits, edits_between};
use super::{
    CHANGE_BYTES_LIMIT, CallerLimits, ChangeRequest, ConfigVersion, KindPlan, OrganisationTerms,
    PLAN_ROW_LIMIT, PackedValue, PolicyPlan, PoolTerms, SHEET_LIMIT, StoredPlan,
};
use crate::process::{ActorName, ChangeId};

/// Approximate size of an edit without its text, in bytes.
const EDIT_OVERHEAD: usize = 12;

/// How a change turns the sheet in force into the new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeContent {
    /// The whole sheet as the operator submitted it, with its plan. Used if the base was not known
    /// when the change was appended, or has little in common with the sheet.
    Whole(PackedValue),
    /// The difference from the base.
    Edit(PackedValue),
    /// No content: a newer version was already in force, so the change cannot take effect.
    Outdated,
}

/// The difference between two versions.
#[derive(Debug, Serialize, Deserialize)]
struct PlanEdit {
    /// Edits of the sheet's pieces; see [`split_pieces`].
    pieces: Vec<SequenceEdit<String>>,
    rows: Vec<SequenceEdit<KindPlan>>,
    pools: Vec<SequenceEdit<PoolTerms>>,
    organisations: Vec<SequenceEdit<OrganisationTerms>>,
    limits: CallerLimits,
}

/// A change as the log stores it.
///
/// Operators send whole sheets, but a change usually affects only a few rows. At 2,100 changes of
/// 100 KB a day, a leader would spend its whole bandwidth budget for control traffic on unchanged
/// rows. A difference is enough, because a change can only be applied to the version that it is
/// based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredChange {
    /// Identifies the change, so that a resend is recognised.
    pub change_id: ChangeId,
    /// Who requests the change.
    pub actor: ActorName,
    /// The version that the change is based on.
    pub expect: ConfigVersion,
    /// The version number chosen by the operator, if any. Of such changes the highest number wins.
    pub assigned_version: Option<ConfigVersion>,
    /// When the first host received the change, in milliseconds of Unix time.
    pub received_unix_ms: u64,
    /// Identifies what the change asks for, apart from the time of its arrival. A resend has the
    /// same fingerprint.
    pub fingerprint: u128,
    /// The new sheet and plan.
    pub content: ChangeContent,
}

impl StoredChange {
    /// Converts a request to its stored form. `current` is the version that will be in force when
    /// the change is applied. If the log holds changes that are not applied yet, use
    /// [`Self::new_after_pending`].
    #[must_use]
    pub fn new(request: ChangeRequest, current: &StoredPlan) -> Self {
        Self::with_content(request, current, |request| match request.expect.cmp(&current.version) {
            _ if request.assigned_version.is_some() => edit_content(request, current),
            std::cmp::Ordering::Equal => edit_content(request, current),
            _ => whole_content(request),
        })
    }

    /// Converts a request to its stored form if other changes precede it in the log. The version in
    /// force may change before this request is applied, so the sheet is stored whole.
    #[must_use]
    pub fn new_after_pending(request: ChangeRequest, current: &StoredPlan) -> Self {
        Self::with_content(request, current, whole_content)
    }

    fn with_content(
        request: ChangeRequest,
        current: &StoredPlan,
        content: impl FnOnce(&ChangeRequest) -> ChangeContent,
    ) -> Self {
        let is_outdated = request.assigned_version.unwrap_or(request.expect) < current.version;
        let fingerprint = request_fingerprint(&request);
        let content = if is_outdated { ChangeContent::Outdated } else { content(&request) };
        // A change with a chosen version is not based on another one. For it, `expect` holds the
        // base of the stored difference.
        let expect =
            if request.assigned_version.is_some() { current.version } else { request.expect };
        Self {
            change_id: request.change_id,
            actor: request.actor,
            expect,
            assigned_version: request.assigned_version,
            received_unix_ms: request.received_unix_ms,
            fingerprint,
            content,
        }
    }

    /// Returns the version that the change creates if it is accepted.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.assigned_version.unwrap_or_else(|| self.expect.next())
    }

    /// Builds the new sheet and plan from the version in force.
    ///
    /// Returns `None` if the change has no content, or is a difference from another version.
    #[must_use]
    pub fn build(&self, base: &StoredPlan) -> Option<(String, PolicyPlan)> {
        match &self.content {
            ChangeContent::Whole(packed) => packed.unpack(CHANGE_BYTES_LIMIT),
            ChangeContent::Edit(packed) if base.version == self.expect => {
                let edit: PlanEdit = packed.unpack(CHANGE_BYTES_LIMIT)?;
                let sheet = edited_sheet(&split_pieces(&base.sheet), &edit.pieces)?;
                let kinds = apply_edits(&base.plan.kinds, &edit.rows, PLAN_ROW_LIMIT)?;
                let pools = apply_edits(&base.plan.pools, &edit.pools, PLAN_ROW_LIMIT)?;
                let organisations =
                    apply_edits(&base.plan.organisations, &edit.organisations, PLAN_ROW_LIMIT)?;
                Some((sheet, PolicyPlan { kinds, limits: edit.limits, pools, organisations }))
            }
            ChangeContent::Edit(_) | ChangeContent::Outdated => None,
        }
    }

    /// Returns the approximate size of the change in bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        let names_size = self.change_id.as_str().len() + self.actor.as_str().len();
        names_size
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
    let (old_pieces, new_pieces) = (split_pieces(&current.sheet), split_pieces(&request.sheet));
    let pieces = edits_between(&old_pieces, &new_pieces, &new_pieces);
    let (Some(rows), Some(pools), Some(organisations), true) = (
        encoded_edits(&old.kinds, &new.kinds),
        encoded_edits(&old.pools, &new.pools),
        encoded_edits(&old.organisations, &new.organisations),
        pieces.iter().map(edit_size).sum::<usize>() < request.sheet.len(),
    ) else {
        return whole_content(request);
    };
    let pieces = pieces.into_iter().map(owned_edit).collect();
    let edit = PlanEdit { pieces, rows, pools, organisations, limits: new.limits };
    ChangeContent::Edit(PackedValue::pack(&edit))
}

fn encoded_edits<T: Clone + Serialize>(old: &[T], new: &[T]) -> Option<Vec<SequenceEdit<T>>> {
    let keys = |items: &[T]| -> postcard::Result<Vec<Vec<u8>>> {
        items.iter().map(postcard::to_allocvec).collect()
    };
    Some(edits_between(&keys(old).ok()?, &keys(new).ok()?, new))
}

/// Splits a sheet into pieces, of which a change usually affects only a few. Pieces end at line
/// breaks, and at `}` because a JSON sheet often is a single line.
fn split_pieces(sheet: &str) -> Vec<&str> {
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

/// Builds the new sheet. Returns `None` if the edits do not fit `old` or the result is too large.
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

fn edit_size(edit: &SequenceEdit<&str>) -> usize {
    match edit {
        SequenceEdit::Copy { .. } => EDIT_OVERHEAD,
        SequenceEdit::Insert(pieces) => pieces.iter().map(|piece| piece.len()).sum(),
    }
}

fn request_fingerprint(request: &ChangeRequest) -> u128 {
    let mut hasher = Sha256::new();
    // For a change with a chosen version, the version it is based on is not part of the
    // fingerprint.
    hasher.update(request.assigned_version.unwrap_or(request.expect).0.to_be_bytes());
    hasher.update(request.sheet.as_bytes());
    let digest: [u8; 32] = hasher.finalize().into();
    let mut half = [0_u8; 16];
    half.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(half)
}
