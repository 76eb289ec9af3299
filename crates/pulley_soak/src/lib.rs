//! A soak test: real daemons, injected faults, and a check of every guarantee whose violation
//! callers and upstreams can observe.
//!
//! [`SoakRun`] starts daemons, stand-in upstreams behind a [`FaultProxy`] each, callers and one
//! operator. [`FaultSchedule`] draws the faults from a seed. [`RequestHistory`] records what
//! callers and upstreams observe of each request and reports violations.

mod daemon_process;
mod end_check;
mod fault_proxy;
mod fault_schedule;
mod limit_check;
mod quota_check;
mod request_history;
mod soak_caller;
mod soak_operator;
mod soak_organisations;
mod soak_run;
mod soak_upstream;
mod stall_watch;
mod stop_check;

pub use daemon_process::DaemonProcess;
pub use fault_proxy::{FaultProxy, HostCuts, ProxyMode};
pub use fault_schedule::{FaultMix, FaultSchedule, ScheduledFault, SoakFault};
pub use request_history::{CallerOutcome, RequestHistory, SoakFinding};
pub use soak_run::{SoakReport, SoakRun, SoakSettings};
