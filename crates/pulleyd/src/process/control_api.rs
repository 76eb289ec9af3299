//! What listeners of any protocol ask of the control thread.

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

/// Time the control thread has for an answer: whoever asks gives up after a second and asks
/// another host, and should learn before that that this one does not know.
const ANSWER_TIME: Duration = Duration::from_millis(900);

/// What listeners of any protocol ask of the control thread.
#[derive(Clone, Debug)]
pub struct ControlApi {
    control: ControlHandle,
    view: ViewCell,
}

impl ControlApi {
    /// Makes the API over the control thread's handle and the current view.
    #[must_use]
    pub fn new(control: ControlHandle, view: ViewCell) -> Self {
        Self { control, view }
    }

    /// Whether this host takes callers' requests and wants more of them.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.view.readiness() == HostReadiness::Ready
    }

    /// Takes in an upstream's announcement; one that leaves is answered once a quorum knows.
    ///
    /// # Errors
    /// `Refused` if the announcement cannot hold; any other fault means that it may not be known.
    pub async fn announce(&self, announcement: Announcement) -> Result<()> {
        within(self.control.ask(|reply| ControlRequest::Announce(announcement, reply))).await?
    }

    /// Takes in that an upstream has left; answered once a quorum knows.
    ///
    /// # Errors
    /// As for [`Self::announce`].
    pub async fn announce_gone(
        &self,
        id: UpstreamId,
        incarnation: Option<Incarnation>,
    ) -> Result<()> {
        within(self.control.ask(|reply| ControlRequest::Gone(id, incarnation, reply))).await?
    }

    /// Puts a configuration in force; `Unknown` means that it may be sent again.
    pub async fn apply(&self, change: ChangeRequest) -> ChangeAnswer {
        let change = Box::new(change);
        let asked = within(self.control.ask(|reply| ControlRequest::Apply(change, reply))).await;
        asked.unwrap_or_else(|fault| ChangeAnswer::Unknown { why: SmolStr::new(fault.to_string()) })
    }

    /// Empties a zone or takes it back.
    ///
    /// # Errors
    /// Whatever kept a quorum from deciding it in time; the order may hold all the same.
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
        within(self.control.ask(|reply| ControlRequest::OrderZone(order, reply))).await?
    }

    /// The sheet that a quorum confirms to be current.
    ///
    /// # Errors
    /// Whatever kept a quorum from confirming it.
    pub async fn current_plan(&self) -> Result<SheetView> {
        within(self.control.ask(ControlRequest::CurrentPlan)).await?
    }
}

async fn within<T>(question: impl Future<Output = Result<T>>) -> Result<T> {
    let answer = tokio::time::timeout(ANSWER_TIME, question).await;
    answer.unwrap_or(Err(ControlFault::NoAnswer))
}
