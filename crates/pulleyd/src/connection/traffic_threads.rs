//! The threads that carry requests.

use std::io;

use tokio::runtime::{Builder, Handle, Runtime};

/// What starting the threads returns.
type Result<T> = std::result::Result<T, io::Error>;

/// The threads that carry requests: one multi-thread runtime.
///
/// One runtime shares its connections to upstreams among all threads. Runtimes of one thread each
/// would each need idle connections of their own, and an entry's share of an upstream's limit (300
/// over 29 hosts: ten) is too small to be split again; and a thread held up by its neighbours on
/// the machine would hold up the requests bound to it, where here another thread takes them over.
#[derive(Debug)]
pub struct TrafficThreads {
    runtime: Runtime,
}

impl TrafficThreads {
    /// Starts `count` threads.
    ///
    /// # Errors
    /// The operating system's, if it gives no thread.
    pub fn start(count: usize) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(count.max(1))
            .thread_name("traffic")
            .enable_all()
            .build()?;
        Ok(Self { runtime })
    }

    /// Where to spawn tasks on the threads.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        self.runtime.handle()
    }

    /// Ends the threads without waiting; whatever still runs is cut off.
    pub fn stop(self) {
        self.runtime.shutdown_background();
    }
}
