//! Prints a plan as a sheet in a form that every reader accepts.

use csv::WriterBuilder;

use super::organisation_line::organisation_line;
use super::{
    AnswerSize, CallerLimits, HostMatch, KindPlan, MethodMatch, PolicyPlan, RouteTerms,
    SheetColumn, WorkLength,
};

/// Prints plans as sheets with commas, LF line ends and no byte order mark.
#[derive(Clone, Copy, Debug, Default)]
pub struct SheetPrinter;

impl SheetPrinter {
    /// Prints a plan. [`super::SheetReader::read`] reads it back as an equal plan.
    ///
    /// # Panics
    /// Never, because writing to memory cannot fail.
    #[must_use]
    pub fn print(plan: &PolicyPlan) -> String {
        const REASON: &str = "writing text to memory cannot fail";
        let mut writer = WriterBuilder::new().from_writer(Vec::new());
        let columns: Vec<SheetColumn> = printed_columns(plan);
        writer.write_record(columns.iter().map(|column| column.name())).expect(REASON);
        for row in &plan.kinds {
            writer.write_record(columns.iter().map(|column| cell(row, *column))).expect(REASON);
        }
        let bytes = writer.into_inner().expect(REASON);
        let organisations: String = plan.organisations.iter().map(organisation_line).collect();
        limit_lines(plan.limits) + &organisations + &String::from_utf8(bytes).expect(REASON)
    }
}

/// Returns the required columns and those optional columns that some row uses.
fn printed_columns(plan: &PolicyPlan) -> Vec<SheetColumn> {
    let is_used = |column: &SheetColumn| {
        let mut rows = plan.kinds.iter().cloned();
        rows.any(|row| {
            let route = RouteTerms::default();
            cell(&row, *column) != cell(&KindPlan { route, ..row.clone() }, *column)
        })
    };
    let used = SheetColumn::OPTIONAL.into_iter().filter(is_used);
    SheetColumn::REQUIRED.into_iter().chain(used).collect()
}

fn limit_lines(limits: CallerLimits) -> String {
    if limits == CallerLimits::default() {
        return String::new();
    }
    format!(
        "#limit header_bytes {}\n#limit body_bytes {}\n#limit header_timeout_ms {}\n",
        limits.header_bytes,
        limits.body_bytes,
        limits.header_timeout.as_millis(),
    )
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
        SheetColumn::Host => match &row.route.host {
            HostMatch::Any => "any".to_owned(),
            HostMatch::Only(host) => host.to_string(),
        },
        SheetColumn::Weight => row.route.weight.to_string(),
        SheetColumn::Attempts => row.route.attempts.to_string(),
        SheetColumn::Answers => match row.route.answers {
            AnswerSize::Small => "small".to_owned(),
            AnswerSize::Large => "large".to_owned(),
        },
        SheetColumn::TargetMs => {
            row.route.target.map(|target| target.as_millis().to_string()).unwrap_or_default()
        }
        SheetColumn::Connections => {
            row.route.connections.map(|count| count.to_string()).unwrap_or_default()
        }
        SheetColumn::Public => if row.route.public { "yes" } else { "no" }.to_owned(),
    }
}
