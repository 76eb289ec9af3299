//! The queue of frames for one host.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::Notify;

use super::peer_frame::FrameClass;

/// Maximum number of frames in one call.
const BATCH_FRAMES: usize = 64;
/// Number of bytes from which no further frame is added to a call. The last frame may exceed it.
pub(crate) const BATCH_BYTES: usize = 128 * 1024;

/// A frame that waits to be sent.
#[derive(Clone, Debug)]
pub(crate) struct QueuedFrame {
    pub(crate) class: FrameClass,
    pub(crate) body: Bytes,
}

/// A queue bounded in frames and bytes, so that a host that accepts nothing cannot exhaust the
/// memory of this one.
#[derive(Debug)]
pub(crate) struct LinkQueue {
    frames: RefCell<VecDeque<QueuedFrame>>,
    bytes: Cell<usize>,
    frame_limit: usize,
    byte_limit: usize,
    frame_added: Notify,
}

impl LinkQueue {
    pub(crate) fn new(frame_limit: usize, byte_limit: usize) -> Self {
        Self {
            frames: RefCell::default(),
            bytes: Cell::new(0),
            frame_limit,
            byte_limit,
            frame_added: Notify::new(),
        }
    }

    /// Appends a frame unless the queue is full. Returns whether it was appended.
    pub(crate) fn push(&self, frame: QueuedFrame) -> bool {
        let mut frames = self.frames.borrow_mut();
        let bytes = self.bytes.get() + frame.body.len();
        if frames.len() >= self.frame_limit || bytes > self.byte_limit {
            return false;
        }
        frames.push_back(frame);
        self.bytes.set(bytes);
        self.frame_added.notify_one();
        true
    }

    /// Removes the next frames that are sent in one call. Returns none if the queue is empty.
    pub(crate) fn take_batch(&self) -> Vec<QueuedFrame> {
        let mut frames = self.frames.borrow_mut();
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < BATCH_FRAMES && bytes < BATCH_BYTES {
            let Some(frame) = frames.pop_front() else {
                break;
            };
            bytes += frame.body.len();
            batch.push(frame);
        }
        self.bytes.set(self.bytes.get() - bytes);
        batch
    }

    /// Drops all frames. Returns how many there were.
    pub(crate) fn clear(&self) -> usize {
        self.bytes.set(0);
        std::mem::take(&mut *self.frames.borrow_mut()).len()
    }

    /// Waits until the queue has a frame.
    pub(crate) async fn wait_for_frame(&self) {
        while self.frames.borrow().is_empty() {
            self.frame_added.notified().await;
        }
    }
}
