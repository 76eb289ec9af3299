//! Finds the rows that match a request without searching all rows.

use std::borrow::Cow;
use std::ops::Range;

use smol_str::SmolStr;

use super::{HostMatch, KindPlan, MethodMatch};
use crate::process::FastMap;

/// The rows of a plan by host name and path prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteIndex {
    /// Rows for one host name, by the name in lower case.
    named_hosts: FastMap<SmolStr, PrefixList>,
    any_host: PrefixList,
}

impl RouteIndex {
    pub(super) fn new(kinds: &[KindPlan]) -> Self {
        let mut named_hosts: FastMap<Cow<'_, str>, Vec<usize>> = FastMap::default();
        let mut any_host = Vec::new();
        for (row, kind) in kinds.iter().enumerate() {
            match &kind.route.host {
                HostMatch::Any => any_host.push(row),
                HostMatch::Only(host) => named_hosts.entry(lowercase(host)).or_default().push(row),
            }
        }
        let named_hosts = named_hosts.into_iter();
        Self {
            named_hosts: named_hosts
                .map(|(host, rows)| (host.into(), PrefixList::new(kinds, rows)))
                .collect(),
            any_host: PrefixList::new(kinds, any_host),
        }
    }

    /// Finds the row for a request; see [`super::IndexedPlan::find`].
    pub(super) fn find(
        &self,
        kinds: &[KindPlan],
        host: &str,
        method: &str,
        path: &str,
        draw: u32,
    ) -> Option<usize> {
        let named = self.named_hosts.get(lowercase(without_port(host)).as_ref());
        let lists = named.into_iter().chain([&self.any_host]);
        let mut prefixes = lists.flat_map(|list| list.matching(path));
        prefixes.find_map(|rows| {
            let is_named_method = |row: &&usize| match &kinds[**row].method {
                MethodMatch::Any => false,
                MethodMatch::Only(wanted) => wanted == method,
            };
            let is_any_method = |row: &&usize| kinds[**row].method == MethodMatch::Any;
            choose(kinds, rows.iter().filter(is_named_method), draw)
                .or_else(|| choose(kinds, rows.iter().filter(is_any_method), draw))
        })
    }
}

/// The rows of one host name, sorted by path prefix.
#[derive(Clone, Debug, Default)]
struct PrefixList {
    prefixes: Vec<RoutePrefix>,
    /// Indices of the rows. Rows with the same prefix are adjacent, in the plan's order.
    rows: Vec<usize>,
}

#[derive(Clone, Debug)]
struct RoutePrefix {
    text: SmolStr,
    /// Index of the longest other prefix that this one begins with.
    shorter: Option<usize>,
    /// The range of its rows in [`PrefixList::rows`].
    rows: Range<usize>,
}

impl PrefixList {
    fn new(kinds: &[KindPlan], mut rows: Vec<usize>) -> Self {
        rows.sort_by_key(|row| &kinds[*row].path_prefix);
        let mut prefixes: Vec<RoutePrefix> = Vec::new();
        for (index, row) in rows.iter().enumerate() {
            let text = &kinds[*row].path_prefix;
            match prefixes.last_mut() {
                Some(last) if last.text == *text => last.rows.end = index + 1,
                _ => {
                    let shorter = longest_prefix(&prefixes, text);
                    let rows = index..index + 1;
                    prefixes.push(RoutePrefix { text: text.clone(), shorter, rows });
                }
            }
        }
        Self { prefixes, rows }
    }

    /// Returns the rows of each prefix of a path, longest prefix first.
    ///
    /// Every text that sorts between a prefix of the path and the path itself begins with that
    /// prefix too. The search therefore starts at the last prefix that does not sort after the path
    /// and follows its chain of shorter prefixes: every prefix of the path is on this chain.
    fn matching(&self, path: &str) -> impl Iterator<Item = &[usize]> {
        let after = self.prefixes.partition_point(|prefix| prefix.text.as_str() <= path);
        let last = after.checked_sub(1).map(|index| &self.prefixes[index]);
        let candidates =
            std::iter::successors(last, |prefix| Some(&self.prefixes[prefix.shorter?]));
        let matching = candidates.filter(move |prefix| path.starts_with(prefix.text.as_str()));
        matching.map(|prefix| &self.rows[prefix.rows.clone()])
    }
}

/// Returns the index of the longest prefix that a text begins with. The text must sort after all
/// prefixes in the list, so the result is the last prefix or one that the last prefix begins with.
fn longest_prefix(prefixes: &[RoutePrefix], text: &str) -> Option<usize> {
    let last = prefixes.len().checked_sub(1);
    let mut candidates = std::iter::successors(last, |index| prefixes[*index].shorter);
    candidates.find(|index| text.starts_with(prefixes[*index].text.as_str()))
}

/// Chooses among equally good matches by weight; `None` if there are none.
fn choose<'a>(
    kinds: &[KindPlan],
    mut rows: impl Iterator<Item = &'a usize> + Clone,
    draw: u32,
) -> Option<usize> {
    let weight = |row: usize| u64::from(kinds[row].route.weight);
    let total: u64 = rows.clone().map(|row| weight(*row)).sum();
    let mut remaining = u64::from(draw) % total.max(1);
    for row in rows.clone() {
        if remaining < weight(*row) {
            return Some(*row);
        }
        remaining -= weight(*row);
    }
    // All weights are 0: no request is meant to be served, but a row matched.
    rows.next().copied()
}

/// Returns the host name of an authority. The colons of an IPv6 address are inside brackets.
fn without_port(authority: &str) -> &str {
    let colon_at = authority.rfind(':').filter(|at| !authority[*at..].contains(']'));
    colon_at.map_or(authority, |at| &authority[..at])
}

fn lowercase(host: &str) -> Cow<'_, str> {
    match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Borrowed(host),
    }
}
