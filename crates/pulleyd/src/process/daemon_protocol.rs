//! Replaces the daemon's own protocol towards callers, upstreams and operators by another one.

use std::fmt;

use axum::Router;

use super::api_server::with_body_limits;
use super::{ApiLimits, ControlApi};
use crate::request::HeaderDialect;

/// Builds the router of a listener from the control thread's API.
pub type RouterBuilder = Box<dyn FnOnce(ControlApi) -> Router + Send>;

/// The router of a listener, and the listener's limits.
pub struct ProtocolRouter {
    builder: RouterBuilder,
    limits: ApiLimits,
}

impl ProtocolRouter {
    /// Creates a router whose `builder` runs once the control thread's API is available.
    #[must_use]
    pub fn new(limits: ApiLimits, builder: RouterBuilder) -> Self {
        Self { builder, limits }
    }

    /// Builds the router and returns it with the listener's limits.
    pub fn build(self, control: ControlApi) -> (Router, ApiLimits) {
        let Self { builder, limits } = self;
        (with_body_limits(builder(control), limits.body_bytes), limits)
    }
}

/// The protocol of a daemon towards callers, upstreams and operators. The default is its own
/// protocol.
///
/// An installation whose platform uses another protocol supplies the translation: the headers of
/// requests, and routers for the listeners of upstreams and operators.
#[derive(Default)]
pub struct DaemonProtocol {
    /// The headers exchanged with callers and upstreams.
    pub dialect: HeaderDialect,
    /// The router for upstreams and for the health checks of the platform's balancer.
    pub upstreams: Option<ProtocolRouter>,
    /// The router for operators.
    pub operators: Option<ProtocolRouter>,
}

impl fmt::Debug for DaemonProtocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DaemonProtocol").field("dialect", &self.dialect).finish_non_exhaustive()
    }
}
