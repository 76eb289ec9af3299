//! The queues from which the control thread takes its events.

use pulley_core::version::DriverInput;
use tokio::sync::mpsc;

use super::control_counts::ProbeReport;
use super::control_handle::ControlRequest;
use crate::connection::{InboundDatagram, InboundFrame};

/// Something for the control thread to handle.
pub(super) enum ControlEvent {
    Request(ControlRequest),
    Frame(InboundFrame),
    Datagram(InboundDatagram),
    Stored(DriverInput),
    Probed(ProbeReport),
    Closed,
}

/// The queues from which the control thread takes its events.
pub(super) struct ControlInbox {
    pub(super) requests: mpsc::Receiver<ControlRequest>,
    pub(super) frames: mpsc::Receiver<InboundFrame>,
    pub(super) datagrams: mpsc::Receiver<InboundDatagram>,
    pub(super) stored: mpsc::UnboundedReceiver<DriverInput>,
    pub(super) probes: mpsc::Receiver<ProbeReport>,
}

impl ControlInbox {
    /// Waits for an event of any queue.
    pub(super) async fn wait(&mut self) -> ControlEvent {
        tokio::select! {
            Some(input) = self.stored.recv() => ControlEvent::Stored(input),
            Some(frame) = self.frames.recv() => ControlEvent::Frame(frame),
            Some(datagram) = self.datagrams.recv() => ControlEvent::Datagram(datagram),
            Some(request) = self.requests.recv() => ControlEvent::Request(request),
            Some(report) = self.probes.recv() => ControlEvent::Probed(report),
            else => ControlEvent::Closed,
        }
    }

    /// Takes an event that is already queued.
    pub(super) fn poll(&mut self) -> Option<ControlEvent> {
        if let Ok(input) = self.stored.try_recv() {
            return Some(ControlEvent::Stored(input));
        }
        if let Ok(frame) = self.frames.try_recv() {
            return Some(ControlEvent::Frame(frame));
        }
        if let Ok(datagram) = self.datagrams.try_recv() {
            return Some(ControlEvent::Datagram(datagram));
        }
        if let Ok(request) = self.requests.try_recv() {
            return Some(ControlEvent::Request(request));
        }
        self.probes.try_recv().ok().map(ControlEvent::Probed)
    }
}
