//! The memory for long bodies that are read whole before they are sent.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum size of a body that is read whole before it is sent, in bytes.
pub(super) const HELD_BODY_LIMIT: usize = 1 << 20;

/// Maximum number of such bodies at a time.
const MAX_HELD_BODIES: usize = 8;

/// The memory for long bodies that are read whole before they are sent.
///
/// A body that is longer than what is kept for another attempt is read whole only where a content
/// with the same method, host and path is suspected, or once its upstream may have ended.
#[derive(Clone, Debug)]
pub struct HeldBodies {
    permits: Arc<Semaphore>,
}

impl Default for HeldBodies {
    fn default() -> Self {
        Self { permits: Arc::new(Semaphore::new(MAX_HELD_BODIES)) }
    }
}

impl HeldBodies {
    /// Waits for room for one body.
    pub(super) async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).acquire_owned().await.ok()
    }

    /// Takes room for one body, if there is any.
    pub(super) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }
}
