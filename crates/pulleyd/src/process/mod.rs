//! State that lives as long as the process.

mod control_handle;
mod process_clock;
mod running_view;
mod timer_service;

pub use control_handle::{
    ClaimAnswer, ClaimRequest, ControlFault, ControlHandle, ControlRequest, FencingToken,
    RecordedAnswer, ReplicaChange, Result,
};
pub use process_clock::ProcessClock;
pub use running_view::{HostReadiness, RunningView, ViewCell};
pub use timer_service::{TimerService, TimerSubscription};
