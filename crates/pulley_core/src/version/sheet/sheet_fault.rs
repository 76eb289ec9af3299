//! What is wrong with a sheet, cell by cell.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Longest part of a faulty cell that is repeated to the planner, in characters.
const VALUE_LIMIT: usize = 80;

/// Most faults kept; a sheet in a wrong format would otherwise have one for every cell.
const FAULT_LIMIT: usize = 200;

/// One fault of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetFault {
    /// The line of the file, from 1; the header is usually line 1.
    pub row: u64,
    /// The column's name, or `sheet` when the fault is not in one cell.
    pub column: SmolStr,
    /// What the cell holds, shortened to 80 characters.
    pub value: String,
    /// What would have been allowed.
    pub allowed: String,
}

impl SheetFault {
    /// The column that stands for the whole sheet.
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

/// Every fault of one sheet, in the order of its rows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct SheetFaults {
    /// The faults, at most 200.
    pub faults: Vec<SheetFault>,
    /// How many more there are.
    pub omitted: u64,
}

impl SheetFaults {
    /// Whether the sheet has none.
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
