//! The control thread's API for listeners of any protocol.

use std::time::Duration;

use pulley_core::UpstreamId;
use pulley_core::process::{ActorName, Announcement, ChangeId, Incarnation, ZoneName};
use pulley_core::version::{
    ChangeAnswer, ChangeRequest, LogIndex, SheetView, ZoneAnswer, ZoneOrder, ZoneUse,
};
use smol_str::SmolStr;

use super::{
    ControlFault, ControlHandle, ControlRequest, HostReadiness, ProcessClock, Result, ViewCell,
};

/// Timeout for an answer of the control thread. Requesters give up after 1 s and ask another host.
/// They should hear before then that this host has no answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// The control thread's API for listeners of any protocol.
#[derive(Clone, Debug)]
pub struct ControlApi {
    control: ControlHandle,
    view: ViewCell,
}

impl ControlApi {
    /// Creates the API from the control thread's handle and the current view.
    #[must_use]
    pub fn new(control: ControlHandle, view: ViewCell) -> Self {
        Self { control, view }
    }

    /// Returns whether this host accepts callers' requests and is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.view.readiness() == HostReadiness::Ready
    }

    /// Passes on an upstream's announcement. If the upstream is leaving, the answer comes once a
    /// quorum knows of it.
    ///
    /// # Errors
    /// Returns `Refused` if the announcement contradicts what is known. After any other fault, it
    /// may not be known to this host.
    pub async fn announce(&self, announcement: Announcement) -> Result<()> {
        with_timeout(self.control.ask(|reply| ControlRequest::Announce(announcement, reply)))
            .await?
    }

    /// Records that an upstream has left. The answer comes once a quorum knows of it.
    ///
    /// # Errors
    /// Returns the same faults as [`Self::announce`].
    pub async fn announce_departure(
        &self,
        id: UpstreamId,
        incarnation: Option<Incarnation>,
    ) -> Result<()> {
        with_timeout(self.control.ask(|reply| ControlRequest::UpstreamLeft(id, incarnation, reply)))
            .await?
    }

    /// Puts a configuration in force. After the answer `Unknown` it may be sent again.
    pub async fn apply(&self, change: ChangeRequest) -> ChangeAnswer {
        let change = Box::new(change);
        let asked =
            with_timeout(self.control.ask(|reply| ControlRequest::Apply(change, reply))).await;
        asked.unwrap_or_else(|fault| ChangeAnswer::Unknown { why: SmolStr::new(fault.to_string()) })
    }

    /// Evacuates a zone or puts it back in use.
    ///
    /// # Errors
    /// Returns the fault that kept a quorum from deciding in time. The order may be accepted
    /// nevertheless.
    pub async fn order_zone(
        &self,
        change_id: ChangeId,
        actor: ActorName,
        (zone, zone_use): (ZoneName, ZoneUse),
    ) -> Result<ZoneAnswer> {
        let order = Box::new(ZoneOrder {
            change_id,
            actor,
            received_unix_ms: ProcessClock::unix_ms(),
            zone,
            zone_use,
            based_on: LogIndex::default(),
        });
        with_timeout(self.control.ask(|reply| ControlRequest::OrderZone(order, reply))).await?
    }

    /// Returns the sheet that a quorum confirms to be current.
    ///
    /// # Errors
    /// Returns the fault that kept a quorum from confirming it.
    pub async fn current_plan(&self) -> Result<SheetView> {
        with_timeout(self.control.ask(ControlRequest::CurrentPlan)).await?
    }
}

async fn with_timeout<T>(question: impl Future<Output = Result<T>>) -> Result<T> {
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, question).await;
    answer.unwrap_or(Err(ControlFault::NoAnswer))
}
