//! Finds the rows of one plan in the next.

use crate::process::{FastMap, FastSet, PoolName};
use crate::version::IndexedPlan;

/// Returns the new row of each row of the old plan that is in use, if it still exists.
///
/// Each pool looks up its own rows by name, and only those of waiting or running requests.
/// Otherwise a sheet of thousands of rows would hold up the control thread for so long that a
/// leader loses its lease.
pub(super) fn moved_rows(
    pool: &PoolName,
    old: &IndexedPlan,
    new: &IndexedPlan,
    in_use: &FastSet<usize>,
) -> FastMap<usize, usize> {
    if in_use.is_empty() {
        return FastMap::default();
    }
    let old_kinds = in_use.iter().filter_map(|row| Some((*row, old.kinds.get(*row)?)));
    let named: FastMap<_, usize> =
        old_kinds.map(|(row, kind)| ((&kind.service, &kind.kind), row)).collect();
    new.rows_of(pool)
        .filter_map(|(row, kind)| Some((*named.get(&(&kind.service, &kind.kind))?, row)))
        .collect()
}
