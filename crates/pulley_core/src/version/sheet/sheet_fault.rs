//! Faults of a sheet, by row and column.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of a faulty cell's value in a fault, in characters.
const VALUE_LIMIT: usize = 80;

/// Maximum number of faults kept; otherwise a sheet in a wrong format could have one for every
/// cell.
const FAULT_LIMIT: usize = 200;

/// One fault of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetFault {
    /// The line of the file, starting at 1. The header is usually line 1.
    pub row: u64,
    /// The column's name, or `sheet` if the fault is not in a single cell.
    pub column: SmolStr,
    /// The cell's value, shortened to 80 characters.
    pub value: String,
    /// Describes the allowed values.
    pub allowed: String,
}

impl SheetFault {
    /// The column name for faults of the whole sheet.
    pub const WHOLE_SHEET: &'static str = "sheet";

    pub(crate) fn new(row: u64, column: &str, value: &str, allowed: impl Into<String>) -> Self {
        Self {
            row,
            column: SmolStr::new(column),
            value: value.chars().take(VALUE_LIMIT).collect(),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for SheetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { row, column, value, allowed } = self;
        write!(f, "row {row}, column {column}: {value:?} is not allowed; allowed: {allowed}")
    }
}

/// All faults of one sheet, in the order of its rows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct SheetFaults {
    /// The faults, at most 200.
    pub faults: Vec<SheetFault>,
    /// Number of further faults.
    pub omitted: u64,
}

impl SheetFaults {
    /// Whether the sheet has no faults.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    pub(crate) fn push(&mut self, fault: SheetFault) {
        if self.faults.len() < FAULT_LIMIT {
            self.faults.push(fault);
        } else {
            self.omitted += 1;
        }
    }

    pub(crate) fn sort_by_row(&mut self) {
        self.faults.sort_by_key(|fault| fault.row);
    }
}

impl fmt::Display for SheetFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))?;
        if self.omitted > 0 {
            write!(f, "\nand {} more", self.omitted)?;
        }
        Ok(())
    }
}
