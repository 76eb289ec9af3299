//! Sheets as operators write them, and the plans read from them.

mod indexed_plan;
mod organisation;
mod organisation_line;
mod plan;
mod pool_summary;
mod route_index;
mod sheet_column;
mod sheet_fault;
mod sheet_printer;
mod sheet_reader;
mod sheet_upload;

pub use indexed_plan::IndexedPlan;
pub use organisation::{
    ApiKeyDigest, ApiKeyDigestFault, KeyFingerprint, OrganisationTerms, RequestQuota,
};
pub use organisation_line::{OrganisationFault, check_organisations};
pub use plan::{
    AnswerSize, CallerLimits, HostMatch, KindPlan, MethodMatch, PolicyPlan, PoolTerms,
    RequestPriority, RouteTerms, WarmUpTerms, WorkLength,
};
pub use sheet_column::SheetColumn;
pub use sheet_fault::{SheetFault, SheetFaults};
pub use sheet_printer::SheetPrinter;
pub use sheet_reader::SheetReader;
pub use sheet_upload::{SheetUpload, SheetView};

use super::ConfigVersion;
