//! The difference between two plans, and its encoding for transfer.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::plan_rows::{RowColumns, deflate, inflate};
use super::{
    CallerLimits, KindPlan, OrganisationTerms, PLAN_ROW_LIMIT, PolicyPlan, PoolTerms, SequenceEdit,
    apply_edits, edits_between,
};

/// The difference between two plans.
#[derive(Clone, Debug)]
pub struct PlanDifference {
    limits: Option<CallerLimits>,
    pools: Option<Vec<PoolTerms>>,
    rows: Vec<SequenceEdit<KindPlan>>,
    organisations: Vec<SequenceEdit<OrganisationTerms>>,
}

/// Where rows of the later plan come from.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum RowOrigin {
    /// `count` rows of the earlier plan, starting at index `from`.
    Copy { from: u32, count: u32 },
    /// The next `count` new rows.
    Insert { count: u32 },
}

/// An encoded difference without the bytes of names.
#[derive(Debug, Serialize, Deserialize)]
struct DifferenceColumns {
    limits: Option<CallerLimits>,
    pools: Option<Vec<PoolTerms>>,
    origins: Vec<RowOrigin>,
    rows: RowColumns,
    organisations: Vec<SequenceEdit<OrganisationTerms>>,
}

impl PlanDifference {
    /// Computes the difference between two plans.
    #[must_use]
    pub fn between(before: &PolicyPlan, after: &PolicyPlan) -> Self {
        Self {
            limits: (before.limits != after.limits).then_some(after.limits),
            pools: (before.pools != after.pools).then(|| after.pools.clone()),
            rows: edits_between(&before.kinds, &after.kinds, &after.kinds),
            organisations: edits_between(
                &before.organisations,
                &after.organisations,
                &after.organisations,
            ),
        }
    }

    /// Returns the encoding for transfer. Every host packs the same difference to the same bytes.
    ///
    /// # Panics
    ///
    /// If there are 2³² new rows or more.
    #[must_use]
    pub fn pack(&self) -> Bytes {
        let origin = |edit: &SequenceEdit<KindPlan>| match edit {
            SequenceEdit::Copy { from, count } => RowOrigin::Copy { from: *from, count: *count },
            SequenceEdit::Insert(rows) => {
                let count = u32::try_from(rows.len()).expect("a plan has far fewer rows");
                RowOrigin::Insert { count }
            }
        };
        let inserted = self.rows.iter().filter_map(|edit| match edit {
            SequenceEdit::Copy { .. } => None,
            SequenceEdit::Insert(rows) => Some(rows),
        });
        let mut name_bytes = Vec::new();
        let columns = DifferenceColumns {
            limits: self.limits,
            pools: self.pools.clone(),
            origins: self.rows.iter().map(origin).collect(),
            rows: RowColumns::from_rows(&inserted.flatten().collect::<Vec<_>>(), &mut name_bytes),
            organisations: self.organisations.clone(),
        };
        let columns = postcard::to_stdvec(&columns).expect("plain data types always encode");
        let columns = deflate(&columns);
        let parts = (&columns[..], &deflate(&name_bytes)[..]);
        Bytes::from(postcard::to_stdvec(&parts).expect("plain data types always encode"))
    }

    /// Decodes a packed difference; `None` if it is damaged, or has more rows or larger columns
    /// than a plan may have.
    #[must_use]
    pub fn unpack(packed: &[u8]) -> Option<Self> {
        let (columns, name_bytes): (&[u8], &[u8]) = postcard::from_bytes(packed).ok()?;
        let DifferenceColumns { limits, pools, origins, rows, organisations } =
            postcard::from_bytes(&inflate(columns)?).ok()?;
        // Each origin stands for at least one row.
        if origins.len() > PLAN_ROW_LIMIT {
            return None;
        }
        let mut inserted = rows.into_rows(&inflate(name_bytes)?)?.into_iter();
        let edit = |origin: RowOrigin| match origin {
            RowOrigin::Copy { from, count } => Some(SequenceEdit::Copy { from, count }),
            RowOrigin::Insert { count } => {
                let rows: Vec<KindPlan> = inserted.by_ref().take(count as usize).collect();
                (rows.len() == count as usize).then_some(SequenceEdit::Insert(rows))
            }
        };
        let rows = origins.into_iter().map(edit).collect::<Option<Vec<_>>>()?;
        inserted.next().is_none().then_some(Self { limits, pools, rows, organisations })
    }

    /// Builds the later plan from the earlier one; `None` if the difference was not computed for
    /// that plan, or leads to more rows than a plan may have.
    #[must_use]
    pub fn apply(self, before: &PolicyPlan) -> Option<PolicyPlan> {
        Some(PolicyPlan {
            kinds: apply_edits(&before.kinds, &self.rows, PLAN_ROW_LIMIT)?,
            limits: self.limits.unwrap_or(before.limits),
            pools: self.pools.unwrap_or_else(|| before.pools.clone()),
            organisations: apply_edits(&before.organisations, &self.organisations, PLAN_ROW_LIMIT)?,
        })
    }
}
