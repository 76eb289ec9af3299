//! What a daemon speaks with callers, upstreams and operators, where it is not its own protocol.

use std::fmt;

use axum::Router;

use super::api_server::with_bounded_bodies;
use super::{ApiLimits, ControlApi};
use crate::request::HeaderDialect;

/// Builds the router of a listener over what the control thread offers.
pub type RouterBuilder = Box<dyn FnOnce(ControlApi) -> Router + Send>;

/// A listener's router and its limits.
pub struct ProtocolRouter {
    builder: RouterBuilder,
    limits: ApiLimits,
}

impl ProtocolRouter {
    /// Makes a router that is built once the control thread can be asked.
    #[must_use]
    pub fn new(limits: ApiLimits, builder: RouterBuilder) -> Self {
        Self { builder, limits }
    }

    /// Builds the router for a listener, with the listener's limits.
    pub fn build(self, control: ControlApi) -> (Router, ApiLimits) {
        let Self { builder, limits } = self;
        (with_bounded_bodies(builder(control), limits.body_bytes), limits)
    }
}

/// What a daemon speaks with callers, upstreams and operators; the default is its own protocol.
///
/// An installation whose platform speaks another one hands in what translates: headers of requests,
/// and routers for the upstreams' and operators' listeners.
#[derive(Default)]
pub struct DaemonProtocol {
    /// Which headers are spoken with callers and upstreams.
    pub dialect: HeaderDialect,
    /// The upstreams' and the balancer's listener.
    pub upstreams: Option<ProtocolRouter>,
    /// The operators' listener.
    pub operators: Option<ProtocolRouter>,
}

impl fmt::Debug for DaemonProtocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DaemonProtocol").field("dialect", &self.dialect).finish_non_exhaustive()
    }
}
