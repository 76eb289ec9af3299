//! Bounds the interim responses that an upstream sends before its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use http::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// Maximum number of interim responses to one request. Upstreams send one or two.
const MAX_INTERIM: u32 = 16;

/// Counts the interim responses to one request.
///
/// The HTTP library reads them as long as they come. An upstream that sends them without end would
/// otherwise hold the request until its deadline in place of another attempt.
#[derive(Debug, Default)]
pub(super) struct InterimLimit {
    count: Arc<InterimCount>,
}

#[derive(Debug, Default)]
struct InterimCount {
    responses: AtomicU32,
    exceeded: Notify,
}

impl InterimLimit {
    /// Counts the interim responses to a request that is about to be sent.
    pub(super) fn watch<B>(request: &mut Request<B>) -> Self {
        let limit = Self::default();
        let count = Arc::clone(&limit.count);
        on_informational(request, move |_| {
            if count.responses.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM {
                count.exceeded.notify_one();
            }
        });
        limit
    }

    /// Waits until there are too many.
    pub(super) async fn exceeded(&self) {
        self.count.exceeded.notified().await;
    }
}
