//! Reads the planners' sheet and reports all its faults.

use std::time::Duration;

use csv::{ReaderBuilder, StringRecord};
use smol_str::SmolStr;

use super::organisation_line::{
    ORGANISATION_ALLOWED, ORGANISATION_PREFIX, check_organisations, read_organisation,
};
use super::{
    AnswerSize, CallerLimits, HostMatch, KindPlan, MethodMatch, OrganisationTerms, PolicyPlan,
    RequestPriority, RouteTerms, SheetColumn, SheetFault, SheetFaults, WorkLength,
};
use crate::process::{FastMap, KindName, PoolName, ServiceName, ShareFraction, SlotCount};
use crate::version::{PLAN_ROW_LIMIT, SHEET_LIMIT};

/// The result of reading: a value, or all faults.
type Result<T> = std::result::Result<T, SheetFaults>;

/// Maximum size of a sheet, in bytes. 44 services with a few kinds each need less than 64 KiB.
const SHEET_BYTES_LIMIT: usize = 400 << 10;

/// Maximum number of rows. Entries process all of them at each change of the sheet.
const ROW_LIMIT: usize = 4_096;

// A sheet accepted here must also fit the log and messages between hosts.
const _: () = assert!(SHEET_BYTES_LIMIT <= SHEET_LIMIT && ROW_LIMIT <= PLAN_ROW_LIMIT);

/// Maximum deadline, in milliseconds.
const DEADLINE_MS_LIMIT: u64 = 600_000;

/// Maximum number of slots that one row may reserve.
const RESERVED_SLOTS_LIMIT: u32 = 10_000;

/// Maximum length of a path prefix, in bytes.
const PATH_LIMIT: usize = 256;

/// Maximum weight of a row.
const WEIGHT_LIMIT: u32 = 1_000_000;

/// Maximum number of attempts that a row may allow. Each retry takes capacity from a request that
/// has not had an attempt yet.
const ATTEMPTS_LIMIT: u8 = 10;

/// Maximum value of a row's limit of connections to one upstream.
const CONNECTIONS_LIMIT: u32 = 1_000_000;

/// Maximum length of a host name in the domain name system.
const HOST_LIMIT: usize = 253;

/// Prefix of lines that set a limit on what callers may send, such as
/// `#limit header_bytes 16384`.
const LIMIT_PREFIX: &str = "#limit ";

/// Describes such a line, for the planner.
const LIMIT_ALLOWED: &str = "#limit and header_bytes, body_bytes or header_timeout_ms, a number";

/// The methods that a row may match.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Byte order mark that spreadsheet programs write before UTF-8 text.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Reads sheets exported by planners' tools.
///
/// It accepts UTF-8 with or without a byte order mark, CRLF or LF, commas or semicolons, quoted
/// cells, blank rows and columns in any order. If there is a single fault, the whole sheet is
/// refused, because a partially applied sheet would give capacity to the wrong service without
/// anyone noticing.
#[derive(Debug)]
pub struct SheetReader {
    faults: SheetFaults,
    kinds: Vec<KindPlan>,
    summaries: Vec<RowSummary>,
    limits: CallerLimits,
    organisations: Vec<OrganisationTerms>,
    /// The line of each organisation.
    organisation_lines: Vec<u64>,
}

/// The cells of a row that are compared with other rows. Rows with other faults are compared too.
#[derive(Debug)]
struct RowSummary {
    row: u64,
    name: Option<(ServiceName, KindName)>,
    route_match: Option<(HostMatch, MethodMatch, SmolStr)>,
    pool: Option<PoolName>,
    share: Option<(PoolName, ShareFraction)>,
}

impl SheetReader {
    /// Reads and checks a whole sheet.
    ///
    /// # Errors
    /// All faults of the sheet, each with row, column, value and allowed values.
    pub fn read(bytes: &[u8]) -> Result<PolicyPlan> {
        let mut reader = Self {
            faults: SheetFaults::default(),
            kinds: Vec::new(),
            summaries: Vec::new(),
            limits: CallerLimits::default(),
            organisations: Vec::new(),
            organisation_lines: Vec::new(),
        };
        reader.read_text(bytes);
        reader.check_duplicates();
        reader.check_shares();
        reader.check_organisations();
        if reader.faults.is_empty() {
            let (limits, organisations) = (reader.limits, reader.organisations);
            return Ok(PolicyPlan {
                kinds: reader.kinds,
                limits,
                pools: Vec::new(),
                organisations,
            });
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
                let valid_bytes = &bytes[..error.valid_up_to()];
                let row = 1 + valid_bytes.iter().filter(|byte| **byte == b'\n').count() as u64;
                let byte = format!("byte {:#04x}", bytes[error.valid_up_to()]);
                return self.sheet_fault(row, &byte, "text in UTF-8");
            }
        };
        let text = &self.read_settings(text);
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
        if self.summaries.len() > ROW_LIMIT {
            self.sheet_fault(1, "too many rows", format!("at most {ROW_LIMIT} rows"));
        }
    }

    /// Reads the lines that set limits on callers or describe organisations, and blanks them so
    /// that rows keep their line numbers.
    fn read_settings(&mut self, text: &str) -> String {
        let mut rest = String::with_capacity(text.len());
        for (number, line) in (1..).zip(text.split_inclusive('\n')) {
            if let Some(limit) = line.strip_prefix(LIMIT_PREFIX) {
                if self.read_limit(limit.trim()).is_none() {
                    self.sheet_fault(number, line.trim(), LIMIT_ALLOWED);
                }
            } else if let Some(organisation) = line.strip_prefix(ORGANISATION_PREFIX) {
                self.read_organisation(number, organisation);
            } else {
                rest.push_str(line);
                continue;
            }
            rest.push('\n');
        }
        rest
    }

    fn read_organisation(&mut self, line: u64, text: &str) {
        if let Some(terms) = read_organisation(text) {
            self.organisations.push(terms);
            self.organisation_lines.push(line);
            return;
        }
        // The line may hold keys, so only the name is shown.
        let name = text.split_whitespace().next().unwrap_or_default();
        self.sheet_fault(line, name, ORGANISATION_ALLOWED);
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

    /// Maps cells to columns. A column without a name maps to `None`.
    fn read_header(&mut self, header: &StringRecord) -> Option<Vec<Option<SheetColumn>>> {
        let row = row_of(header);
        let mut columns = Vec::new();
        for name in header.iter().map(str::trim) {
            let column = SheetColumn::from_name(name);
            if column.is_none() && !name.is_empty() {
                self.fault(row, name, name, format!("one of the columns {}", column_names()));
            }
            if column.is_some() && columns.contains(&column) {
                self.fault(row, name, name, "each column once");
            }
            columns.push(column);
        }
        for column in SheetColumn::REQUIRED {
            if !columns.contains(&Some(column)) {
                self.fault(row, column.name(), "", "the column must be there");
            }
        }
        self.faults.is_empty().then_some(columns)
    }

    fn read_row(&mut self, columns: &[Option<SheetColumn>], record: &StringRecord) {
        let row = row_of(record);
        let extra = record.iter().enumerate().filter(|(index, cell)| {
            !cell.trim().is_empty() && columns.get(*index).copied().flatten().is_none()
        });
        let extra: Vec<&str> = extra.map(|(_, cell)| cell).collect();
        for cell in extra {
            self.sheet_fault(row, cell, "no cell without a column; is a , or ; unquoted?");
        }
        let cell = |wanted: SheetColumn| {
            let index = columns.iter().position(|column| *column == Some(wanted));
            index.and_then(|index| record.get(index)).unwrap_or_default().trim()
        };
        let mut cells = RowCells { row, cell: &cell, faults: &mut self.faults };
        let (kind, summary) = cells.read_row();
        self.kinds.extend(kind);
        self.summaries.push(summary);
    }

    // -------------------------------------------------------------------------------------
    // Checks over several rows

    fn check_duplicates(&mut self) {
        let mut names = FastMap::default();
        let mut matches = FastMap::default();
        let summaries = std::mem::take(&mut self.summaries);
        for RowSummary { row, name, route_match, pool, .. } in &summaries {
            if let Some((service, kind)) = name
                && let Some(first) = names.insert((service, kind), *row)
            {
                let allowed = format!("each kind once in its service; row {first} has it too");
                self.fault(*row, SheetColumn::Kind.name(), kind.as_str(), allowed);
            }
            // Two rows with the same host, prefix and method match equally well. In one pool, the
            // kind that a request is counted under would depend on the order of the rows. Rows of
            // different pools split the requests between them.
            if let Some((host, method, prefix)) = route_match
                && let Some(first) = matches.insert((host, method, prefix, pool), *row)
            {
                let allowed =
                    format!("each host, method and prefix once a pool; row {first} overlaps");
                self.fault(*row, SheetColumn::PathPrefix.name(), prefix, allowed);
            }
        }
        self.summaries = summaries;
    }

    fn check_shares(&mut self) {
        let mut sums: FastMap<&PoolName, u32> = FastMap::default();
        let summaries = std::mem::take(&mut self.summaries);
        for RowSummary { row, share, .. } in &summaries {
            let Some((pool, share)) = share else { continue };
            let sum = sums.entry(pool).or_default();
            let before = *sum;
            *sum += u32::from(share.basis_points());
            let whole = u32::from(ShareFraction::WHOLE.basis_points());
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
        self.summaries = summaries;
    }

    fn check_organisations(&mut self) {
        let organisations = std::mem::take(&mut self.organisations);
        for (index, fault) in check_organisations(&organisations) {
            let (line, name) = (self.organisation_lines[index], &organisations[index].name);
            self.sheet_fault(line, name.as_str(), format!("each name and key once; {fault}"));
        }
        self.organisations = organisations;
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

/// The cells of one row, and the list that collects their faults.
struct RowCells<'a, 'c> {
    row: u64,
    cell: &'c dyn Fn(SheetColumn) -> &'a str,
    faults: &'c mut SheetFaults,
}

impl<'a> RowCells<'a, '_> {
    /// Reads every cell even after a fault, so that all faults of the row are reported at once.
    fn read_row(&mut self) -> (Option<KindPlan>, RowSummary) {
        let pool = self.parse_from_str(SheetColumn::Pool);
        let service = self.parse_from_str(SheetColumn::Service);
        let kind = self.parse_from_str(SheetColumn::Kind);
        let method = self.parse_cell(SheetColumn::Method, method_match);
        let path_prefix = self.parse_cell(SheetColumn::PathPrefix, path_prefix);
        let priority = self.parse_cell(SheetColumn::Priority, priority);
        let share = self.parse_from_str(SheetColumn::Share);
        let reserved_slots = self.parse_cell(SheetColumn::ReservedSlots, reserved_slots);
        let deadline = self.parse_cell(SheetColumn::DeadlineMs, deadline);
        let idempotent = self.parse_cell(SheetColumn::Idempotent, yes_or_no);
        let length = self.parse_cell(SheetColumn::Length, work_length);
        let probe_budget = self.parse_from_str(SheetColumn::ProbesPerS);
        let route = self.read_route();
        let summary = RowSummary {
            row: self.row,
            name: service.clone().zip(kind.clone()),
            route_match: route
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
        (plan(), summary)
    }

    /// Reads the optional columns; an empty cell means the default.
    fn read_route(&mut self) -> Option<RouteTerms> {
        let default = RouteTerms::default();
        let host = self.parse_cell(SheetColumn::Host, host_match);
        let weight = self.parse_optional(SheetColumn::Weight, 0, WEIGHT_LIMIT);
        let attempts = self.parse_optional(SheetColumn::Attempts, 1, ATTEMPTS_LIMIT);
        let answers = self.parse_cell(SheetColumn::Answers, answer_size);
        let target = self.parse_optional(SheetColumn::TargetMs, 1, DEADLINE_MS_LIMIT);
        let connections = self.parse_optional(SheetColumn::Connections, 1, CONNECTIONS_LIMIT);
        let public = self.parse_cell(SheetColumn::Public, |text| match text {
            "" => Some(false),
            text => yes_or_no(text),
        });
        Some(RouteTerms {
            host: host?,
            weight: weight?.unwrap_or(default.weight),
            attempts: attempts?.unwrap_or(default.attempts),
            answers: answers?,
            target: target?.map(Duration::from_millis),
            connections: connections?,
            public: public?,
        })
    }

    fn parse_optional<T>(&mut self, column: SheetColumn, least: T, most: T) -> Option<Option<T>>
    where
        T: std::str::FromStr + PartialOrd,
    {
        self.parse_cell(column, |text| {
            if text.is_empty() {
                return Some(None);
            }
            text.parse().ok().filter(|value| (least..=most).contains(value)).map(Some)
        })
    }

    fn parse_from_str<T: std::str::FromStr>(&mut self, column: SheetColumn) -> Option<T> {
        self.parse_cell(column, |text| text.parse().ok())
    }

    fn parse_cell<T>(
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
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
    let allowed = text.len() <= HOST_LIMIT && text.bytes().all(is_allowed);
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

/// Returns the delimiter found in the header. Column names contain neither commas nor semicolons.
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
