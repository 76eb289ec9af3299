//! Prints a checked sheet in the one form that every reader accepts.

use csv::WriterBuilder;

use super::{KindPlan, MethodMatch, PolicyPlan, SheetColumn, WorkLength};

/// Prints plans as sheets: commas, LF, no byte order mark.
#[derive(Clone, Copy, Debug, Default)]
pub struct SheetPrinter;

impl SheetPrinter {
    /// Prints a plan; [`super::SheetReader::read`] gives an equal plan back.
    ///
    /// # Panics
    /// Never: writing to memory has no way to fail.
    #[must_use]
    pub fn print(plan: &PolicyPlan) -> String {
        const REASON: &str = "writing text to memory has no way to fail";
        let mut writer = WriterBuilder::new().from_writer(Vec::new());
        writer.write_record(SheetColumn::ALL.map(SheetColumn::name)).expect(REASON);
        for row in &plan.kinds {
            writer.write_record(SheetColumn::ALL.map(|column| cell(row, column))).expect(REASON);
        }
        let bytes = writer.into_inner().expect(REASON);
        String::from_utf8(bytes).expect(REASON)
    }
}

fn cell(row: &KindPlan, column: SheetColumn) -> String {
    match column {
        SheetColumn::Pool => row.pool.to_string(),
        SheetColumn::Service => row.service.to_string(),
        SheetColumn::Kind => row.kind.to_string(),
        SheetColumn::Method => match &row.method {
            MethodMatch::Any => "any".to_owned(),
            MethodMatch::Only(method) => method.to_string(),
        },
        SheetColumn::PathPrefix => row.path_prefix.to_string(),
        SheetColumn::Priority => row.priority.0.to_string(),
        SheetColumn::Share => row.share.to_string(),
        SheetColumn::ReservedSlots => row.reserved_slots.to_string(),
        SheetColumn::DeadlineMs => row.deadline.as_millis().to_string(),
        SheetColumn::Idempotent => if row.idempotent { "yes" } else { "no" }.to_owned(),
        SheetColumn::Length => match row.length {
            WorkLength::Short => "short".to_owned(),
            WorkLength::Long => "long".to_owned(),
        },
        SheetColumn::ProbesPerS => row.probe_budget.to_string(),
    }
}
