//! Finds the rows that a request matches without looking through all of them.

use std::borrow::Cow;
use std::ops::Range;

use smol_str::SmolStr;

use super::{HostMatch, KindPlan, MethodMatch};
use crate::process::FastMap;

/// The rows of a plan by host name and path prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteIndex {
    /// By host name in lower case.
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
                HostMatch::Only(host) => named_hosts.entry(lower_case(host)).or_default().push(row),
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

    /// The row for a request, as [`super::IndexedPlan::find`] describes it.
    pub(super) fn find(
        &self,
        kinds: &[KindPlan],
        host: &str,
        method: &str,
        path: &str,
        draw: u32,
    ) -> Option<usize> {
        let named = self.named_hosts.get(lower_case(without_port(host)).as_ref());
        let lists = named.into_iter().chain([&self.any_host]);
        let mut prefixes = lists.flat_map(|list| list.matching(path));
        prefixes.find_map(|rows| {
            let names = |row: &&usize| match &kinds[**row].method {
                MethodMatch::Any => false,
                MethodMatch::Only(wanted) => wanted == method,
            };
            let takes_any = |row: &&usize| kinds[**row].method == MethodMatch::Any;
            choose(kinds, rows.iter().filter(names), draw)
                .or_else(|| choose(kinds, rows.iter().filter(takes_any), draw))
        })
    }
}

/// The rows of one host name, by path prefix in alphabetical order.
#[derive(Clone, Debug, Default)]
struct PrefixList {
    prefixes: Vec<RoutePrefix>,
    /// Those of one prefix stand together, in the plan's order.
    rows: Vec<usize>,
}

#[derive(Clone, Debug)]
struct RoutePrefix {
    text: SmolStr,
    /// The place of the longest other prefix that this one begins with.
    shorter: Option<usize>,
    /// The places of its rows.
    rows: Range<usize>,
}

impl PrefixList {
    fn new(kinds: &[KindPlan], mut rows: Vec<usize>) -> Self {
        rows.sort_by_key(|row| &kinds[*row].path_prefix);
        let mut prefixes: Vec<RoutePrefix> = Vec::new();
        for (place, row) in rows.iter().enumerate() {
            let text = &kinds[*row].path_prefix;
            match prefixes.last_mut() {
                Some(last) if last.text == *text => last.rows.end = place + 1,
                _ => {
                    let shorter = longest_start(&prefixes, text);
                    let rows = place..place + 1;
                    prefixes.push(RoutePrefix { text: text.clone(), shorter, rows });
                }
            }
        }
        Self { prefixes, rows }
    }

    /// The rows of each prefix of a path, the longest first.
    ///
    /// Whatever stands between a prefix of the path and the path begins with that prefix, too; so
    /// all of them are found from the last one that does not stand after the path.
    fn matching(&self, path: &str) -> impl Iterator<Item = &[usize]> {
        let after = self.prefixes.partition_point(|prefix| prefix.text.as_str() <= path);
        let last = after.checked_sub(1).map(|place| &self.prefixes[place]);
        let longer = std::iter::successors(last, |prefix| Some(&self.prefixes[prefix.shorter?]));
        let fitting = longer.filter(move |prefix| path.starts_with(prefix.text.as_str()));
        fitting.map(|prefix| &self.rows[prefix.rows.clone()])
    }
}

/// The place of the longest prefix that a text begins with, which stands after all of them: the
/// last one, or one that the last one begins with.
fn longest_start(prefixes: &[RoutePrefix], text: &str) -> Option<usize> {
    let last = prefixes.len().checked_sub(1);
    let mut longer = std::iter::successors(last, |place| prefixes[*place].shorter);
    longer.find(|place| text.starts_with(prefixes[*place].text.as_str()))
}

/// Chooses among rows that match alike, by their weights; none if there are none.
fn choose<'a>(
    kinds: &[KindPlan],
    mut rows: impl Iterator<Item = &'a usize> + Clone,
    draw: u32,
) -> Option<usize> {
    let weight = |row: usize| u64::from(kinds[row].route.weight);
    let total: u64 = rows.clone().map(|row| weight(*row)).sum();
    let mut left = u64::from(draw) % total.max(1);
    for row in rows.clone() {
        if left < weight(*row) {
            return Some(*row);
        }
        left -= weight(*row);
    }
    // All weights are 0: nobody is meant to be served, but a row matched.
    rows.next().copied()
}

/// The host name of an authority; the colons of an IPv6 address stand in brackets.
fn without_port(authority: &str) -> &str {
    let port_at = authority.rfind(':').filter(|at| !authority[*at..].contains(']'));
    port_at.map_or(authority, |at| &authority[..at])
}

fn lower_case(host: &str) -> Cow<'_, str> {
    match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Borrowed(host),
    }
}
