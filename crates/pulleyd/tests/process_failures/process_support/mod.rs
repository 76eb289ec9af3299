//! Starts real daemons on loopback addresses with system-assigned ports, and sends requests to
//! them.

mod daemon_process;
mod ending_upstream;
mod http_client;
mod stand_in_upstream;
mod test_cluster;

pub(crate) use daemon_process::DaemonProcess;
pub(crate) use ending_upstream::{EndWay, EndingUpstream};
pub(crate) use http_client::{HttpAnswer, HttpClient};
pub(crate) use stand_in_upstream::StandInUpstream;
pub(crate) use test_cluster::{KEY, TestCluster, wait_until};
