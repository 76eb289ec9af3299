//! A soak: real daemons, faults from outside, and a check of every promise that callers and upstreams
//! can see broken.
//!
//! [`SoakRun`] starts daemons, stand-in upstreams behind [`FaultProxy`], callers and one operator;
//! [`FaultSchedule`] draws the faults from a seed; [`RequestBook`] holds what each side saw of each
//! request and says what must not have been.

mod daemon_process;
mod fault_proxy;
mod fault_schedule;
mod request_book;
mod soak_caller;
mod soak_operator;
mod soak_run;
mod soak_upstream;

pub use daemon_process::DaemonProcess;
pub use fault_proxy::{FaultProxy, ProxyMode};
pub use fault_schedule::{FaultSchedule, ScheduledFault, SoakFault};
pub use request_book::{CallerOutcome, RequestBook, SoakFinding};
pub use soak_run::{SoakPlan, SoakReport, SoakRun};
