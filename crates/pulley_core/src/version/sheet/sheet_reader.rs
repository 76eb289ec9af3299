//! Reads the planners' sheet and names everything that is wrong with it.

use std::time::Duration;

use csv::{ReaderBuilder, StringRecord};
use smol_str::SmolStr;

use super::{
    AnswerSize, CallerLimits, HostMatch, KindPlan, MethodMatch, PolicyPlan, RequestPriority,
    RouteTerms, SheetColumn, SheetFault, SheetFaults, WorkLength,
};
use crate::process::{FastMap, KindName, PoolName, ServiceName, ShareFraction, SlotCount};
use crate::version::{PLAN_ROW_LIMIT, SHEET_LIMIT};

/// What reading gives: a plan, or every fault.
type Result<T> = std::result::Result<T, SheetFaults>;

/// Largest sheet read, in bytes; 44 services with a few kinds each need under 64 KiB.
const SHEET_BYTES_LIMIT: usize = 400 << 10;

/// Most rows read; entries work through all of them at each change of the sheet.
const ROW_LIMIT: usize = 4_096;

// What passes here must pass through the log and between hosts.
const _: () = assert!(SHEET_BYTES_LIMIT <= SHEET_LIMIT && ROW_LIMIT <= PLAN_ROW_LIMIT);

/// Longest deadline, in milliseconds.
const DEADLINE_MS_LIMIT: u64 = 600_000;

/// Most slots that one row may reserve.
const RESERVED_SLOTS_LIMIT: u32 = 10_000;

/// Longest path prefix, in bytes.
const PATH_LIMIT: usize = 256;

/// Largest weight of a row.
const WEIGHT_LIMIT: u32 = 1_000_000;

/// Most attempts that a row may allow; each is a place taken from a request that has had none.
const ATTEMPTS_LIMIT: u8 = 10;

/// Most connections that an upstream may be said to take.
const CONNECTIONS_LIMIT: u32 = 1_000_000;

/// Longest host name, by the rules of the domain name system.
const HOST_LIMIT: usize = 253;

/// What a line begins with that sets one of the callers' limits, such as
/// `#limit header_bytes 16384`.
const LIMIT_MARK: &str = "#limit ";

/// The methods a row may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Byte order mark that spreadsheets put before UTF-8.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Reads sheets as planners' tools export them.
///
/// It takes UTF-8 with or without a byte order mark, CRLF or LF, commas or semicolons, quoted
/// cells, blank rows, and columns in any order. A sheet with a single fault is refused whole: a
/// half-applied sheet would give capacity to the wrong service without anybody noticing.
#[derive(Debug)]
pub struct SheetReader {
    faults: SheetFaults,
    kinds: Vec<KindPlan>,
    marks: Vec<RowMarks>,
    limits: CallerLimits,
}

/// What the checks over several rows look at; a row with other faults has its marks, too.
#[derive(Debug)]
struct RowMarks {
    row: u64,
    name: Option<(ServiceName, KindName)>,
    matched: Option<(HostMatch, MethodMatch, SmolStr)>,
    pool: Option<PoolName>,
    share: Option<(PoolName, ShareFraction)>,
}

impl SheetReader {
    /// Reads and checks a whole sheet.
    ///
    /// # Errors
    /// Every fault of the sheet, each with row, column, value and what is allowed.
    pub fn read(bytes: &[u8]) -> Result<PolicyPlan> {
        let mut reader = Self {
            faults: SheetFaults::default(),
            kinds: Vec::new(),
            marks: Vec::new(),
            limits: CallerLimits::default(),
        };
        reader.read_text(bytes);
        reader.check_duplicates();
        reader.check_shares();
        if reader.faults.is_empty() {
            let limits = reader.limits;
            return Ok(PolicyPlan { kinds: reader.kinds, limits, ..PolicyPlan::default() });
        }
        reader.faults.sort_by_row();
        Err(reader.faults)
    }

    // -------------------------------------------------------------------------------------
    // Reading

    fn read_text(&mut self, bytes: &[u8]) {
        if bytes.len() > SHEET_BYTES_LIMIT {
            let size = format!("{} bytes", bytes.len());
            return self.sheet_fault(1, &size, format!("at most {SHEET_BYTES_LIMIT} bytes"));
        }
        let text = match std::str::from_utf8(bytes) {
            Ok(text) => text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text),
            Err(error) => {
                let good = &bytes[..error.valid_up_to()];
                let row = 1 + good.iter().filter(|byte| **byte == b'\n').count() as u64;
                let byte = format!("byte {:#04x}", bytes[error.valid_up_to()]);
                return self.sheet_fault(row, &byte, "text in UTF-8");
            }
        };
        let text = &self.read_limits(text);
        let mut records = ReaderBuilder::new()
            .delimiter(delimiter_of(text))
            .has_headers(false)
            .flexible(true)
            .from_reader(text.as_bytes());
        let mut records = records.records().filter_map(std::result::Result::ok);
        let Some(header) = records.next() else {
            return self.sheet_fault(1, "", "a header row and at least one row");
        };
        let Some(columns) = self.read_header(&header) else { return };
        for record in records.filter(|record| !is_blank(record)).take(ROW_LIMIT + 1) {
            self.read_row(&columns, &record);
        }
        if self.kinds.is_empty() && self.faults.is_empty() {
            self.sheet_fault(1, "", "at least one row under the header");
        }
        if self.marks.len() > ROW_LIMIT {
            self.sheet_fault(1, "too many rows", format!("at most {ROW_LIMIT} rows"));
        }
    }

    /// Reads the lines that set callers' limits, and blanks them so that rows keep their numbers.
    fn read_limits(&mut self, text: &str) -> String {
        let mut rest = String::with_capacity(text.len());
        for (place, line) in text.split_inclusive('\n').enumerate() {
            let Some(limit) = line.strip_prefix(LIMIT_MARK) else {
                rest.push_str(line);
                continue;
            };
            rest.push('\n');
            if self.read_limit(limit.trim()).is_none() {
                let allowed = "#limit and header_bytes, body_bytes or header_timeout_ms, a number";
                self.sheet_fault(place as u64 + 1, line.trim(), allowed);
            }
        }
        rest
    }

    fn read_limit(&mut self, text: &str) -> Option<()> {
        let (name, value) = text.split_once(' ')?;
        let value: u64 = value.trim().parse().ok().filter(|value| *value > 0)?;
        match name {
            "header_bytes" => self.limits.header_bytes = value,
            "body_bytes" => self.limits.body_bytes = value,
            "header_timeout_ms" if value <= DEADLINE_MS_LIMIT => {
                self.limits.header_timeout = Duration::from_millis(value);
            }
            _ => return None,
        }
        Some(())
    }

    /// Finds which cell holds which column; `None` stands for an empty column at the end.
    fn read_header(&mut self, header: &StringRecord) -> Option<Vec<Option<SheetColumn>>> {
        let row = row_of(header);
        let mut columns = Vec::new();
        for name in header.iter().map(str::trim) {
            let column = SheetColumn::named(name);
            if column.is_none() && !name.is_empty() {
                self.fault(row, name, name, format!("one of the columns {}", column_names()));
            }
            if column.is_some() && columns.contains(&column) {
                self.fault(row, name, name, "each column once");
            }
            columns.push(column);
        }
        for column in SheetColumn::NEEDED {
            if !columns.contains(&Some(column)) {
                self.fault(row, column.name(), "", "the column must be there");
            }
        }
        self.faults.is_empty().then_some(columns)
    }

    fn read_row(&mut self, columns: &[Option<SheetColumn>], record: &StringRecord) {
        let row = row_of(record);
        let extra = record.iter().enumerate().filter(|(place, cell)| {
            !cell.trim().is_empty() && columns.get(*place).copied().flatten().is_none()
        });
        let extra: Vec<&str> = extra.map(|(_, cell)| cell).collect();
        for cell in extra {
            self.sheet_fault(row, cell, "no cell without a column; is a , or ; unquoted?");
        }
        let cell = |wanted: SheetColumn| {
            let place = columns.iter().position(|column| *column == Some(wanted));
            place.and_then(|place| record.get(place)).unwrap_or_default().trim()
        };
        let mut cells = RowCells { row, cell: &cell, faults: &mut self.faults };
        let (kind, marks) = cells.read_row();
        self.kinds.extend(kind);
        self.marks.push(marks);
    }

    // -------------------------------------------------------------------------------------
    // Checks over several rows

    fn check_duplicates(&mut self) {
        let mut names = FastMap::default();
        let mut matches = FastMap::default();
        let marks = std::mem::take(&mut self.marks);
        for RowMarks { row, name, matched, pool, .. } in &marks {
            if let Some((service, kind)) = name
                && let Some(first) = names.insert((service, kind), *row)
            {
                let allowed = format!("each kind once in its service; row {first} has it too");
                self.fault(*row, SheetColumn::Kind.name(), kind.as_str(), allowed);
            }
            // Of two rows with the same host, prefix and method, none is the better match: which
            // one a request is counted under would depend on the order of the rows. Rows of
            // different pools split the requests between them.
            if let Some((host, method, prefix)) = matched
                && let Some(first) = matches.insert((host, method, prefix, pool), *row)
            {
                let allowed =
                    format!("each host, method and prefix once a pool; row {first} overlaps");
                self.fault(*row, SheetColumn::PathPrefix.name(), prefix, allowed);
            }
        }
        self.marks = marks;
    }

    fn check_shares(&mut self) {
        let mut sums: FastMap<&PoolName, u32> = FastMap::default();
        let marks = std::mem::take(&mut self.marks);
        for RowMarks { row, share, .. } in &marks {
            let Some((pool, share)) = share else { continue };
            let sum = sums.entry(pool).or_default();
            let before = *sum;
            *sum += u32::from(share.parts());
            let whole = u32::from(ShareFraction::WHOLE.parts());
            if before <= whole && *sum > whole {
                let left = whole - before;
                let allowed = format!(
                    "at most {}.{:02}%, so that the shares of pool {pool} stay within 100%",
                    left / 100,
                    left % 100,
                );
                self.fault(*row, SheetColumn::Share.name(), &share.to_string(), allowed);
            }
        }
        self.marks = marks;
    }

    // -------------------------------------------------------------------------------------
    // Faults

    fn fault(&mut self, row: u64, column: &str, value: &str, allowed: impl Into<String>) {
        self.faults.push(SheetFault::new(row, column, value, allowed));
    }

    fn sheet_fault(&mut self, row: u64, value: &str, allowed: impl Into<String>) {
        self.fault(row, SheetFault::WHOLE_SHEET, value, allowed);
    }
}

/// The cells of one row, with where their faults go.
struct RowCells<'a, 'c> {
    row: u64,
    cell: &'c dyn Fn(SheetColumn) -> &'a str,
    faults: &'c mut SheetFaults,
}

impl<'a> RowCells<'a, '_> {
    /// Reads every cell before it gives up, so that all faults of the row are named at once.
    fn read_row(&mut self) -> (Option<KindPlan>, RowMarks) {
        let pool = self.parsed(SheetColumn::Pool);
        let service = self.parsed(SheetColumn::Service);
        let kind = self.parsed(SheetColumn::Kind);
        let method = self.checked(SheetColumn::Method, method_match);
        let path_prefix = self.checked(SheetColumn::PathPrefix, path_prefix);
        let priority = self.checked(SheetColumn::Priority, priority);
        let share = self.parsed(SheetColumn::Share);
        let reserved_slots = self.checked(SheetColumn::ReservedSlots, reserved_slots);
        let deadline = self.checked(SheetColumn::DeadlineMs, deadline);
        let idempotent = self.checked(SheetColumn::Idempotent, yes_or_no);
        let length = self.checked(SheetColumn::Length, work_length);
        let probe_budget = self.parsed(SheetColumn::ProbesPerS);
        let route = self.read_route();
        let marks = RowMarks {
            row: self.row,
            name: service.clone().zip(kind.clone()),
            matched: route
                .clone()
                .zip(method.clone())
                .zip(path_prefix.clone())
                .map(|((route, method), prefix)| (route.host, method, prefix)),
            pool: pool.clone(),
            share: pool.clone().zip(share),
        };
        let plan = || {
            Some(KindPlan {
                pool: pool?,
                service: service?,
                kind: kind?,
                method: method?,
                path_prefix: path_prefix?,
                priority: priority?,
                share: share?,
                reserved_slots: reserved_slots?,
                deadline: deadline?,
                idempotent: idempotent?,
                length: length?,
                probe_budget: probe_budget?,
                route: route?,
            })
        };
        (plan(), marks)
    }

    /// Reads the columns that a sheet may leave out; an empty cell means the default.
    fn read_route(&mut self) -> Option<RouteTerms> {
        let default = RouteTerms::default();
        let host = self.checked(SheetColumn::Host, host_match);
        let weight = self.optional(SheetColumn::Weight, 0, WEIGHT_LIMIT);
        let attempts = self.optional(SheetColumn::Attempts, 1, ATTEMPTS_LIMIT);
        let answers = self.checked(SheetColumn::Answers, answer_size);
        let target = self.optional(SheetColumn::TargetMs, 1, DEADLINE_MS_LIMIT);
        let connections = self.optional(SheetColumn::Connections, 1, CONNECTIONS_LIMIT);
        Some(RouteTerms {
            host: host?,
            weight: weight?.unwrap_or(default.weight),
            attempts: attempts?.unwrap_or(default.attempts),
            answers: answers?,
            target: target?.map(Duration::from_millis),
            connections: connections?,
        })
    }

    fn optional<T>(&mut self, column: SheetColumn, least: T, most: T) -> Option<Option<T>>
    where
        T: std::str::FromStr + PartialOrd,
    {
        self.checked(column, |text| {
            if text.is_empty() {
                return Some(None);
            }
            text.parse().ok().filter(|value| (least..=most).contains(value)).map(Some)
        })
    }

    fn parsed<T: std::str::FromStr>(&mut self, column: SheetColumn) -> Option<T> {
        self.checked(column, |text| text.parse().ok())
    }

    fn checked<T>(
        &mut self,
        column: SheetColumn,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = (self.cell)(column);
        let value = parse(text);
        if value.is_none() {
            let fault = SheetFault::new(self.row, column.name(), text, column.allowed());
            self.faults.push(fault);
        }
        value
    }
}

// -----------------------------------------------------------------------------------------
// Cells

fn method_match(text: &str) -> Option<MethodMatch> {
    if text == "*" || text.eq_ignore_ascii_case("any") {
        return Some(MethodMatch::Any);
    }
    let method = METHODS.into_iter().find(|method| method.eq_ignore_ascii_case(text))?;
    Some(MethodMatch::Only(SmolStr::new_static(method)))
}

fn path_prefix(text: &str) -> Option<SmolStr> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'));
    let allowed = text.starts_with('/') && text.len() <= PATH_LIMIT && visible;
    allowed.then(|| SmolStr::new(text))
}

fn host_match(text: &str) -> Option<HostMatch> {
    if text.is_empty() || text.eq_ignore_ascii_case("any") {
        return Some(HostMatch::Any);
    }
    let named = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
    let allowed = text.len() <= HOST_LIMIT && text.bytes().all(named);
    allowed.then(|| HostMatch::Only(SmolStr::new(text.to_ascii_lowercase())))
}

fn priority(text: &str) -> Option<RequestPriority> {
    text.parse().ok().filter(|priority| *priority <= 9).map(RequestPriority)
}

fn reserved_slots(text: &str) -> Option<SlotCount> {
    text.parse().ok().filter(|slots| *slots <= RESERVED_SLOTS_LIMIT).map(SlotCount)
}

fn deadline(text: &str) -> Option<Duration> {
    let millis = text.parse().ok().filter(|millis| (1..=DEADLINE_MS_LIMIT).contains(millis));
    millis.map(Duration::from_millis)
}

fn yes_or_no(text: &str) -> Option<bool> {
    match text.to_ascii_lowercase().as_str() {
        "yes" | "true" | "1" => Some(true),
        "no" | "false" | "0" => Some(false),
        _ => None,
    }
}

fn answer_size(text: &str) -> Option<AnswerSize> {
    match text.to_ascii_lowercase().as_str() {
        "" | "small" => Some(AnswerSize::Small),
        "large" => Some(AnswerSize::Large),
        _ => None,
    }
}

fn work_length(text: &str) -> Option<WorkLength> {
    match text.to_ascii_lowercase().as_str() {
        "short" => Some(WorkLength::Short),
        "long" => Some(WorkLength::Long),
        _ => None,
    }
}

// -----------------------------------------------------------------------------------------
// Records

/// Column names hold neither commas nor semicolons, so the header tells which one separates.
fn delimiter_of(text: &str) -> u8 {
    let header = text.lines().find(|line| !line.trim().is_empty()).unwrap_or_default();
    if header.contains(';') { b';' } else { b',' }
}

fn is_blank(record: &StringRecord) -> bool {
    record.iter().all(|cell| cell.trim().is_empty())
}

fn row_of(record: &StringRecord) -> u64 {
    record.position().map_or(1, csv::Position::line)
}

fn column_names() -> String {
    SheetColumn::all().map(SheetColumn::name).collect::<Vec<_>>().join(" ")
}
