//! The threads that carry requests.

use std::io;

use tokio::runtime::{Builder, Handle, Runtime};

/// The result of starting the threads.
type Result<T> = std::result::Result<T, io::Error>;

/// The threads that carry requests: one multi-thread runtime.
///
/// All threads of one runtime share its connections to upstreams. With one runtime per thread, each
/// would need its own idle connections, and an entry's share of an upstream's limit is too small to
/// be split again: 300 connections over 29 hosts are ten each. A thread delayed by other processes
/// on the machine would also delay the requests bound to it, while here another thread takes them
/// over.
#[derive(Debug)]
pub struct TrafficThreads {
    runtime: Runtime,
}

impl TrafficThreads {
    /// Starts `count` threads.
    ///
    /// # Errors
    /// The operating system's error if a thread cannot be created.
    pub fn start(count: usize) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(count.max(1))
            .thread_name("traffic")
            .enable_all()
            .build()?;
        Ok(Self { runtime })
    }

    /// Returns a handle for spawning tasks on the threads.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        self.runtime.handle()
    }

    /// Stops the threads without waiting for tasks that still run. These are aborted.
    pub fn stop(self) {
        self.runtime.shutdown_background();
    }
}
