//! Carries out what the exchanges between hosts ask for.

use bytes::Bytes;
use pulley_core::process::{LimitOutput, QuarantineOutput, QuotaOutput};
use pulley_core::{HostId, Moment};

use super::control_core::{ChangedContent, ControlCore, DecidedRun, KeptAccount};
use crate::connection::FrameClass;

impl ControlCore {
    /// Carries out what the exchange of limits asks for.
    pub(super) fn flush_limits(&mut self, now: Moment) {
        for output in self.limits.take_outputs() {
            match output {
                LimitOutput::ToHost { to, body } => {
                    self.datagram_to_host(&to, FrameClass::Limits, body);
                }
                LimitOutput::ToAddress { to, body } => {
                    self.datagram(to, FrameClass::Limits, body);
                }
                LimitOutput::Permits(answer) => self.schedulers.receive_permits(now, &answer),
                LimitOutput::Limit { record, is_new } => {
                    self.schedulers.apply_limit(now, &record);
                    if is_new {
                        self.new_limits.push(record);
                    }
                }
            }
        }
    }

    /// Carries out what the exchange of quotas asks for.
    pub(super) fn flush_quotas(&mut self, now: Moment) {
        for output in self.quotas.take_outputs() {
            match output {
                QuotaOutput::ToHost { to, body } => {
                    self.datagram_to_host(&to, FrameClass::Quotas, body);
                }
                QuotaOutput::Verdict(verdict) => self.quota_gate.receive(now, &verdict),
                QuotaOutput::Isolated(organisation) => self.quota_gate.isolate(now, &organisation),
                QuotaOutput::KeeperChanged { organisation, former, keeper } => {
                    self.kept_accounts.push(KeptAccount { organisation, former, keeper });
                }
            }
        }
        self.quota_gate.record_counts(self.quotas.counts());
    }

    /// Compares what upstreams have announced with the runs of which it is not known whether their
    /// upstreams ended.
    pub(super) fn decide_runs(&mut self, now: Moment) {
        let (time, registry) = (self.registry.shared_time(now), &self.registry);
        self.quarantine.decide_runs(now, time, |start, address, at| {
            registry.start_evidence(now, start, address, at)
        });
    }

    /// Carries out what the exchange of suspected contents asks for.
    pub(super) fn flush_quarantine(&mut self, now: Moment) {
        let time = self.registry.shared_time(now);
        for output in self.quarantine.take_outputs() {
            match output {
                QuarantineOutput::ToHost { to, body } => {
                    self.datagram_to_host(&to, FrameClass::Quarantine, body);
                }
                QuarantineOutput::ToAddress { to, body } => {
                    self.datagram(to, FrameClass::Quarantine, body);
                }
                QuarantineOutput::Verdict { number, verdict } => {
                    self.quarantine_gate.receive(number, verdict);
                }
                QuarantineOutput::Decided { content, start, evidence } => {
                    self.decided_runs.push(DecidedRun { content, start, evidence });
                }
                QuarantineOutput::Changed(digest, record) => {
                    self.quarantine_gate.apply(time, digest, record.as_ref());
                    self.changed_contents.push(ChangedContent { digest, record });
                }
            }
        }
    }

    /// Sends a datagram to a host, if it is known.
    fn datagram_to_host(&mut self, to: &HostId, class: FrameClass, body: Bytes) {
        let address = self.members.find(to).map(|record| record.peer_address);
        if let Some(address) = address {
            self.datagram(address, class, body);
        }
    }
}
