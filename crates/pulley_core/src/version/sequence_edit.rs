//! The difference between two sequences, as what to copy and what to insert.

use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::process::FastMap;

/// One step in making the new sequence out of the old.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SequenceEdit<T> {
    /// Takes items of the old sequence.
    Copy {
        /// The first of them.
        from: u32,
        /// How many.
        count: u32,
    },
    /// Takes new items.
    Insert(Vec<T>),
}

/// Finds steps that make `new` out of an old sequence; equal keys must mean equal items.
pub(crate) fn edits_between<T: Clone, K: Hash + Eq>(
    old_keys: &[K],
    new_keys: &[K],
    new: &[T],
) -> Vec<SequenceEdit<T>> {
    let mut places = FastMap::<&K, u32>::default();
    for (place, old_key) in (0..).zip(old_keys) {
        places.entry(old_key).or_insert(place);
    }
    let mut edits = Vec::new();
    for (item, item_key) in new.iter().zip(new_keys) {
        let follows = match edits.last() {
            Some(SequenceEdit::Copy { from, count }) => Some(from + count),
            _ => None,
        };
        let next = follows.filter(|place| old_keys.get(*place as usize) == Some(item_key));
        match (next.or_else(|| places.get(item_key).copied()), edits.last_mut()) {
            (Some(_), Some(SequenceEdit::Copy { count, .. })) if next.is_some() => *count += 1,
            (Some(from), _) => edits.push(SequenceEdit::Copy { from, count: 1 }),
            (None, Some(SequenceEdit::Insert(items))) => items.push(item.clone()),
            (None, _) => edits.push(SequenceEdit::Insert(vec![item.clone()])),
        }
    }
    edits
}

/// Makes the new sequence; `None` if the edits were not made for this old one, or more than `limit`
/// items come of them.
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
