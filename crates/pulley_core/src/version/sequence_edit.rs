//! The difference between two sequences, as ranges to copy and items to insert.

use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::process::FastMap;

/// One step in building the new sequence from the old one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SequenceEdit<T> {
    /// Copies items of the old sequence.
    Copy {
        /// Index of the first item.
        from: u32,
        /// Number of items.
        count: u32,
    },
    /// Inserts new items.
    Insert(Vec<T>),
}

/// Finds edits that build `new` from an old sequence. Items with equal keys must be equal.
pub(crate) fn edits_between<T: Clone, K: Hash + Eq>(
    old_keys: &[K],
    new_keys: &[K],
    new: &[T],
) -> Vec<SequenceEdit<T>> {
    let mut first_indices = FastMap::<&K, u32>::default();
    for (index, old_key) in (0..).zip(old_keys) {
        first_indices.entry(old_key).or_insert(index);
    }
    let mut edits = Vec::new();
    for (item, item_key) in new.iter().zip(new_keys) {
        let next_index = match edits.last() {
            Some(SequenceEdit::Copy { from, count }) => Some(from + count),
            _ => None,
        };
        let continued = next_index.filter(|index| old_keys.get(*index as usize) == Some(item_key));
        match (continued.or_else(|| first_indices.get(item_key).copied()), edits.last_mut()) {
            (Some(_), Some(SequenceEdit::Copy { count, .. })) if continued.is_some() => *count += 1,
            (Some(from), _) => edits.push(SequenceEdit::Copy { from, count: 1 }),
            (None, Some(SequenceEdit::Insert(items))) => items.push(item.clone()),
            (None, _) => edits.push(SequenceEdit::Insert(vec![item.clone()])),
        }
    }
    edits
}

/// Builds the new sequence. Returns `None` if the edits do not fit `old`, or if the result has more
/// than `limit` items.
pub(crate) fn apply_edits<T: Clone>(
    old: &[T],
    edits: &[SequenceEdit<T>],
    limit: usize,
) -> Option<Vec<T>> {
    let mut new = Vec::new();
    for edit in edits {
        let items = match edit {
            SequenceEdit::Copy { from, count } => {
                let from = *from as usize;
                let to = from.checked_add(*count as usize)?;
                old.get(from..to)?
            }
            SequenceEdit::Insert(items) => items.as_slice(),
        };
        if new.len() + items.len() > limit {
            return None;
        }
        new.extend_from_slice(items);
    }
    Some(new)
}
