//! Snapshots of a pool's upstreams, and the difference between two of them.

use std::ops::Deref;
use std::sync::Arc;

use super::{UpstreamId, UpstreamRecord};

/// One change of a pool's upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An upstream was added, or its record has changed.
    Put(Arc<UpstreamRecord>),
    /// An upstream is no longer known, or now belongs to another pool.
    Removed(UpstreamId),
}

impl UpstreamChange {
    /// The upstream that has changed.
    #[must_use]
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Put(record) => &record.announcement.id,
            Self::Removed(id) => id,
        }
    }
}

/// A snapshot of one pool's upstreams, in the order of their ids.
///
/// Lists share unchanged records. A list that differs in one upstream costs a copy of pointers, and
/// comparing pointers finds the difference. Hosts know hundreds of upstreams and receive several
/// changes a second: copying and comparing whole records for each change made a host's processor
/// time grow with the installation, however little it had to serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamList(Arc<[Arc<UpstreamRecord>]>);

impl UpstreamList {
    /// Whether both are the same list in memory. Equal lists with separate storage are not.
    #[must_use]
    pub fn ptr_eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Returns the record of an upstream.
    #[must_use]
    pub fn find(&self, id: &UpstreamId) -> Option<&Arc<UpstreamRecord>> {
        self.position(id).ok().map(|position| &self.0[position])
    }

    /// Returns the changes that turn `earlier` into this list.
    #[must_use]
    pub fn changes_since(&self, earlier: &Self) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        let (mut now, mut before) = (self.0.iter().peekable(), earlier.0.iter().peekable());
        loop {
            match (now.peek(), before.peek()) {
                (Some(new), Some(old)) if Arc::ptr_eq(new, old) => {
                    now.next();
                    before.next();
                }
                (Some(new), Some(old)) if new.announcement.id > old.announcement.id => {
                    changes.push(UpstreamChange::Removed(old.announcement.id.clone()));
                    before.next();
                }
                (Some(new), old) => {
                    let is_known =
                        old.is_some_and(|old| old.announcement.id == new.announcement.id);
                    let is_equal = old.is_some_and(|old| old == new);
                    if !is_equal {
                        changes.push(UpstreamChange::Put(Arc::clone(new)));
                    }
                    now.next();
                    if is_known {
                        before.next();
                    }
                }
                (None, Some(old)) => {
                    changes.push(UpstreamChange::Removed(old.announcement.id.clone()));
                    before.next();
                }
                (None, None) => return changes,
            }
        }
    }

    /// Returns this list with `changes` applied. The last change of an upstream wins.
    #[must_use]
    pub fn with_changes(&self, changes: impl IntoIterator<Item = UpstreamChange>) -> Self {
        let mut records = self.0.to_vec();
        for change in changes {
            let position = records.binary_search_by(|held| held.announcement.id.cmp(change.id()));
            match (change, position) {
                (UpstreamChange::Put(record), Ok(position)) => records[position] = record,
                (UpstreamChange::Put(record), Err(position)) => records.insert(position, record),
                (UpstreamChange::Removed(_), Ok(position)) => {
                    records.remove(position);
                }
                (UpstreamChange::Removed(_), Err(_)) => {}
            }
        }
        Self(Arc::from(records))
    }

    fn position(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.0.binary_search_by(|record| record.announcement.id.cmp(id))
    }
}

impl Deref for UpstreamList {
    type Target = [Arc<UpstreamRecord>];

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl FromIterator<UpstreamRecord> for UpstreamList {
    fn from_iter<I: IntoIterator<Item = UpstreamRecord>>(records: I) -> Self {
        let mut records: Vec<Arc<UpstreamRecord>> = records.into_iter().map(Arc::new).collect();
        records.sort_by(|a, b| a.announcement.id.cmp(&b.announcement.id));
        Self(Arc::from(records))
    }
}

impl From<Vec<UpstreamRecord>> for UpstreamList {
    fn from(records: Vec<UpstreamRecord>) -> Self {
        records.into_iter().collect()
    }
}
