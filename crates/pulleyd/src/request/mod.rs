//! The request path, from arrival to response, and the state that requests share.

mod answer_body;
mod answer_metadata;
mod arrival_probing;
mod attempt_fault;
mod attempt_guard;
mod call_terms;
mod caller_access;
mod content_run;
mod cut_notice;
mod header_dialect;
mod held_bodies;
mod interim_limit;
mod keyed_run;
mod ledger_claim;
mod load_report;
mod protocol_headers;
mod quarantine_gate;
mod quota_gate;
mod request_admission;
mod request_attempt;
mod request_body;
mod request_content;
mod request_forwarder;
mod request_headers;
mod request_rematch;
mod request_run;
mod scheduler_set;
mod scheduler_set_counts;
mod scheduler_set_limits;
mod scheduler_set_probes;
mod scheduler_set_stops;
mod stop_refusal;
mod system_answer;
mod traffic_context;
mod traffic_counters;

pub use answer_body::{AnswerBody, BodyFault};
pub use attempt_guard::AttemptGuard;
pub use call_terms::TrustedCallers;
pub use header_dialect::{HeaderDialect, LoadReader};
pub use held_bodies::HeldBodies;
pub use load_report::read_load_report;
pub use protocol_headers::{
    ATTEMPT_HEADER, CAUSE_HEADER, DEADLINE_HEADER, DRAINING_HEADER, KEY_HEADER, LIMIT_HEADER,
    LOAD_HEADER, ORGANISATION_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER,
};
pub use quarantine_gate::QuarantineGate;
pub use quota_gate::QuotaGate;
pub use request_body::{BodyCursor, BodySource, RequestBody, RequestFault};
pub(crate) use request_forwarder::FirstRequestFlag;
pub use request_forwarder::{ForwardFuture, RequestForwarder};
pub(crate) use request_headers::connection_options;
pub use scheduler_set::{Placement, SchedulerSet};
pub use system_answer::SystemAnswer;
pub use traffic_context::{TrafficContext, TrafficLimits};
pub use traffic_counters::TrafficCounters;
