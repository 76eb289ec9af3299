//! The daemon's process: settings, event log, metrics, listeners' APIs, timers and the control
//! thread.

mod announce_api;
mod api_fault;
mod api_server;
mod bootstrap_replica;
mod content_api;
mod content_metrics;
mod content_status;
mod control_answer;
mod control_api;
mod control_core;
mod control_counts;
mod control_flush;
mod control_handle;
mod control_inbox;
mod control_log;
mod control_replica;
mod control_status;
mod control_thread;
mod daemon;
mod daemon_protocol;
mod daemon_settings;
mod event_log;
mod host_roles;
mod operator_api;
mod organisation_metrics;
mod path_metrics;
mod process_clock;
mod process_metrics;
mod process_signals;
mod quota_metrics;
mod replica_opener;
mod running_view;
mod setting_groups;
mod setting_list;
mod shutdown_cell;
mod timer_service;
mod upstream_recovery;
mod view_inputs;

pub use announce_api::AnnounceApi;
pub use api_server::{ApiLimits, ApiServer};
pub use bootstrap_replica::BootstrapReplica;
pub use content_status::{ContentFilter, ContentStatus};
pub use control_api::ControlApi;
pub use control_handle::{
    ClaimAnswer, ClaimRequest, ControlFault, ControlHandle, ControlRequest, FencingToken,
    RecordedAnswer, ReplicaChange, Result,
};
pub use control_thread::{ControlParts, ControlStartFault, ControlThread, StartResult};
pub use daemon::{Daemon, DaemonAddresses, DaemonFault, DaemonResult};
pub use daemon_protocol::{DaemonProtocol, ProtocolRouter, RouterBuilder};
pub use daemon_settings::{DaemonSettings, SettingsFaults, SettingsRequest};
pub use event_log::EventLog;
pub use host_roles::HostRoles;
pub use operator_api::{OperatorApi, OperatorKeys};
pub use organisation_metrics::OrganisationRequests;
pub use process_clock::ProcessClock;
pub use process_metrics::ProcessMetrics;
pub use process_signals::ProcessSignals;
pub use running_view::{HostReadiness, RunningView, ViewCell};
pub use setting_groups::{ReplicationSettings, TrafficSettings};
pub use shutdown_cell::ShutdownCell;
pub use timer_service::{TimerService, TimerSubscription};
