//! State that belongs to one version of the configuration, and the log that orders versions.

mod change;
mod plan;
mod sheet_column;
mod sheet_fault;
mod sheet_printer;
mod sheet_reader;
mod sheet_upload;

pub use change::{
    AuditFilter, AuditRecord, ChangeAnswer, ChangeRefusal, ChangeRequest, ConfigVersion, StoredPlan,
};
pub use plan::{KindPlan, MethodMatch, PolicyPlan, RequestPriority, WorkLength};
pub use sheet_column::SheetColumn;
pub use sheet_fault::{SheetFault, SheetFaults};
pub use sheet_printer::SheetPrinter;
pub use sheet_reader::SheetReader;
pub use sheet_upload::{SheetUpload, SheetView};
