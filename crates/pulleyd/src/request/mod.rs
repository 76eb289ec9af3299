//! State that lives as long as one request.

mod answer_body;
mod attempt_guard;
mod request_body;
mod request_forwarder;
mod request_headers;
mod scheduler_set;
mod system_answer;
mod traffic_context;

pub use answer_body::{AnswerBody, BodyFault};
pub use attempt_guard::AttemptGuard;
pub use request_body::RequestBody;
pub use request_forwarder::RequestForwarder;
pub use scheduler_set::{Placement, SchedulerSet};
pub use system_answer::{CAUSE_HEADER, SystemAnswer, VERDICT_HEADER};
pub use traffic_context::{TrafficContext, TrafficLimits};
