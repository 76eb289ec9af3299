//! The form in which rows of a plan are sent: by column, so that repeated values take almost no
//! space.

use std::hash::Hash;
use std::time::Duration;

use miniz_oxide::deflate::core::{
    CompressionStrategy, CompressorOxide, TDEFLFlush, TDEFLStatus, compress,
    create_comp_flags_from_zip_params,
};
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::plan_follower_message::PLAN_LIMIT;
use super::{KindPlan, PLAN_ROW_LIMIT};
use crate::process::{
    FastMap, KindName, PoolName, ProbeRate, ServiceName, ShareFraction, SlotCount,
};
use crate::version::{AnswerSize, HostMatch, MethodMatch, RequestPriority, RouteTerms, WorkLength};

/// The compression level: how far the compressor looks for repetitions, from 0 to 10.
const DEFLATE_LEVEL: i32 = 4;
/// The reference of a row whose value is the next in the column's list, not used by an earlier row.
const NEW_VALUE: u32 = 0;

/// Rows by column; the bytes of their kind names and paths are stored separately.
///
/// Correlated values share a column.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RowColumns {
    kinds: NameColumn,
    paths: NameColumn,
    /// Pool, service and host name.
    owners: ValueColumn<(PoolName, ServiceName, HostMatch)>,
    methods: ValueColumn<MethodMatch>,
    /// Priority, attempts, whether running a request twice does no harm, and whether it needs no
    /// key.
    handling: ValueColumn<(RequestPriority, u8, bool, bool)>,
    /// Default deadline and target latency.
    times: ValueColumn<(Duration, Option<Duration>)>,
    sizes: ValueColumn<(WorkLength, AnswerSize)>,
    weights: ValueColumn<u32>,
    /// Share, reserved slots and probe budget.
    capacities: ValueColumn<(ShareFraction, SlotCount, ProbeRate)>,
    connections: ValueColumn<Option<u32>>,
}

impl RowColumns {
    /// Splits rows into columns and appends the bytes of their names to `name_bytes`.
    pub(crate) fn from_rows(rows: &[&KindPlan], name_bytes: &mut Vec<u8>) -> Self {
        let owner =
            |row: &KindPlan| (row.pool.clone(), row.service.clone(), row.route.host.clone());
        let handling =
            |row: &KindPlan| (row.priority, row.route.attempts, row.idempotent, row.route.public);
        let capacity = |row: &KindPlan| (row.share, row.reserved_slots, row.probe_budget);
        Self {
            kinds: NameColumn::new(rows, |row| row.kind.as_str(), name_bytes),
            paths: NameColumn::new(rows, |row| &row.path_prefix, name_bytes),
            owners: ValueColumn::new(rows, owner),
            methods: ValueColumn::new(rows, |row| row.method.clone()),
            handling: ValueColumn::new(rows, handling),
            times: ValueColumn::new(rows, |row| (row.deadline, row.route.target)),
            sizes: ValueColumn::new(rows, |row| (row.length, row.route.answers)),
            weights: ValueColumn::new(rows, |row| row.route.weight),
            capacities: ValueColumn::new(rows, capacity),
            connections: ValueColumn::new(rows, |row| row.route.connections),
        }
    }

    /// Rebuilds the rows; `None` if there are too many or the columns do not belong together.
    pub(crate) fn into_rows(self, name_bytes: &[u8]) -> Option<Vec<KindPlan>> {
        let count = self.kinds.references.len();
        if count > PLAN_ROW_LIMIT {
            return None;
        }
        let (kinds, name_bytes) = self.kinds.decode(name_bytes)?;
        let (paths, name_bytes) = self.paths.decode(name_bytes)?;
        let (mut kinds, mut paths) = (kinds.row_values(count)?, paths.row_values(count)?);
        let mut owners = self.owners.row_values(count)?;
        let mut methods = self.methods.row_values(count)?;
        let mut handling = self.handling.row_values(count)?;
        let mut times = self.times.row_values(count)?;
        let mut sizes = self.sizes.row_values(count)?;
        let mut weights = self.weights.row_values(count)?;
        let mut capacities = self.capacities.row_values(count)?;
        let mut connections = self.connections.row_values(count)?;
        let mut row = || {
            let (pool, service, host) = owners.next()?.clone();
            let (priority, attempts, idempotent, public) = *handling.next()?;
            let (deadline, target) = *times.next()?;
            let (length, answers) = *sizes.next()?;
            let (share, reserved_slots, probe_budget) = *capacities.next()?;
            let weight = *weights.next()?;
            let connections = *connections.next()?;
            Some(KindPlan {
                pool,
                service,
                kind: KindName::try_from(kinds.next()?.clone()).ok()?,
                method: methods.next()?.clone(),
                path_prefix: paths.next()?.clone(),
                priority,
                share,
                reserved_slots,
                deadline,
                idempotent,
                length,
                probe_budget,
                route: RouteTerms { host, weight, attempts, answers, target, connections, public },
            })
        };
        let rows = (0..count).map(|_| row()).collect::<Option<Vec<_>>>()?;
        name_bytes.is_empty().then_some(rows)
    }
}

/// One value per row: each distinct value once, and for each row a reference to its value.
#[derive(Debug, Serialize, Deserialize)]
struct ValueColumn<V> {
    /// For each row [`NEW_VALUE`], or the number of a value, counted from 1.
    references: Vec<u32>,
    values: Vec<V>,
}

impl<V: Clone + Eq + Hash> ValueColumn<V> {
    fn new<'row>(rows: &[&'row KindPlan], value: impl Fn(&'row KindPlan) -> V) -> Self {
        let mut known = FastMap::<V, u32>::default();
        let mut column = Self { references: Vec::with_capacity(rows.len()), values: Vec::new() };
        let mut number = NEW_VALUE;
        for row in rows {
            let value = value(row);
            let reference = known.get(&value).copied().unwrap_or(NEW_VALUE);
            if reference == NEW_VALUE {
                number += 1;
                known.insert(value.clone(), number);
                column.values.push(value);
            }
            column.references.push(reference);
        }
        column
    }
}

impl<V> ValueColumn<V> {
    /// Returns the value of each row, or `None` if there are not `count` rows. The iterator ends
    /// early at a missing value.
    fn row_values(&self, count: usize) -> Option<impl Iterator<Item = &V>> {
        let mut new = self.values.iter();
        let row_values = self.references.iter().map_while(move |reference| match *reference {
            NEW_VALUE => new.next(),
            number => self.values.get(number as usize - 1),
        });
        (self.references.len() == count).then_some(row_values)
    }
}

/// One name per row: for each distinct name, how much it shares with the previous one.
#[derive(Debug, Serialize, Deserialize)]
struct NameColumn {
    /// As in [`ValueColumn`].
    references: Vec<u32>,
    /// How many leading bytes each name shares with the previous one.
    prefix_lengths: Vec<u32>,
    /// How many trailing bytes each name shares with the previous one.
    suffix_lengths: Vec<u32>,
    /// How many bytes each name has. Those between prefix and suffix are among the name bytes.
    lengths: Vec<u32>,
}

impl NameColumn {
    fn new<'row>(
        rows: &[&'row KindPlan],
        name: impl Fn(&'row KindPlan) -> &'row str,
        name_bytes: &mut Vec<u8>,
    ) -> Self {
        let ValueColumn { references, values } = ValueColumn::new(rows, name);
        let (mut prefix_lengths, mut suffix_lengths, mut lengths) =
            (Vec::new(), Vec::new(), Vec::new());
        let mut previous: &[u8] = &[];
        for name in values.iter().map(|name| name.as_bytes()) {
            let is_equal = |(one, other): &(&u8, &u8)| one == other;
            let prefix = previous.iter().zip(name).take_while(is_equal).count();
            let rests = previous[prefix..].iter().rev().zip(name[prefix..].iter().rev());
            let suffix = rests.take_while(is_equal).count();
            name_bytes.extend_from_slice(&name[prefix..name.len() - suffix]);
            prefix_lengths.push(byte_count(prefix));
            suffix_lengths.push(byte_count(suffix));
            lengths.push(byte_count(name.len()));
            previous = name;
        }
        Self { references, prefix_lengths, suffix_lengths, lengths }
    }

    /// Rebuilds the names; also returns the name bytes that are left.
    fn decode(self, name_bytes: &[u8]) -> Option<(ValueColumn<SmolStr>, &[u8])> {
        let Self { references, prefix_lengths, suffix_lengths, lengths } = self;
        if prefix_lengths.len() != lengths.len() || suffix_lengths.len() != lengths.len() {
            return None;
        }
        // A few bytes can encode many names that share long parts, so the decoded size is limited.
        let bytes: u64 = lengths.iter().copied().map(u64::from).sum();
        if usize::try_from(bytes).ok()? > PLAN_LIMIT {
            return None;
        }
        let mut remaining = name_bytes;
        let mut values: Vec<SmolStr> = Vec::with_capacity(lengths.len());
        let mut previous: Vec<u8> = Vec::new();
        for ((prefix, suffix), length) in prefix_lengths.iter().zip(&suffix_lengths).zip(&lengths) {
            let (prefix, suffix) = (*prefix as usize, *suffix as usize);
            let middle = (*length as usize).checked_sub(prefix)?.checked_sub(suffix)?;
            let (new, rest) = remaining.split_at_checked(middle)?;
            let previous_rest = previous.get(prefix..)?;
            let suffix_at = previous_rest.len().checked_sub(suffix)?;
            let name = [&previous[..prefix], new, &previous_rest[suffix_at..]].concat();
            values.push(SmolStr::new(std::str::from_utf8(&name).ok()?));
            previous = name;
            remaining = rest;
        }
        Some((ValueColumn { references, values }, remaining))
    }
}

fn byte_count(count: usize) -> u32 {
    u32::try_from(count).expect("names are far below 4 GB")
}

/// Compresses bytes; every host produces the same output.
pub(crate) fn deflate(mut plain: &[u8]) -> Vec<u8> {
    // Encoding short repetitions in random names takes more space than the bytes themselves.
    let strategy = CompressionStrategy::Filtered;
    let flags = create_comp_flags_from_zip_params(DEFLATE_LEVEL, 0, strategy.into());
    let mut compressor = CompressorOxide::new(flags);
    let mut packed = vec![0; plain.len() / 2 + 64];
    let mut filled = 0;
    loop {
        let room = &mut packed[filled..];
        let (status, read, written) = compress(&mut compressor, plain, room, TDEFLFlush::Finish);
        filled += written;
        match status {
            TDEFLStatus::Done => break,
            TDEFLStatus::Okay => {
                plain = &plain[read..];
                packed.resize(2 * packed.len(), 0);
            }
            TDEFLStatus::BadParam | TDEFLStatus::PutBufFailed => {
                unreachable!("there is no callback, and the compressor was not finished before")
            }
        }
    }
    packed.truncate(filled);
    packed
}

/// Decompresses bytes; `None` if the result is larger than a plan may be.
pub(crate) fn inflate(packed: &[u8]) -> Option<Vec<u8>> {
    decompress_to_vec_with_limit(packed, PLAN_LIMIT).ok()
}
