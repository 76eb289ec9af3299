//! The asking host's end of a relayed connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncBufRead, AsyncRead, AsyncWrite, BufReader, ReadBuf};
use tokio::net::TcpStream;

use super::relay_client::RelayState;

/// The size of a frame's header, which is a big-endian number.
pub(crate) const FRAME_HEADER: usize = 2;
/// The header that follows the last byte when the upstream has closed its connection cleanly. If it
/// is missing, the other host or its path has failed, and what was read may be incomplete.
pub(crate) const FRAME_END: u16 = 0;
/// The header that says that the other host shuts down. Other headers are the number of bytes that
/// follow.
pub(crate) const FRAME_DRAINING: u16 = u16::MAX;

/// The header that says that the other host sends nothing to the upstream for now, because the
/// upstream has asked it for rest.
pub(crate) const FRAME_RESTING: u16 = u16::MAX - 1;

/// A connection to an upstream that another host has opened for this one.
///
/// Written bytes are passed on as they are. What the upstream sends arrives in frames, because only
/// then a clean end of its answer differs from the loss of the other host.
#[derive(Debug)]
pub(crate) struct RelayStream {
    stream: BufReader<TcpStream>,
    state: Arc<RelayState>,
    is_held: Arc<AtomicBool>,
    frame: FramePart,
}

#[derive(Clone, Copy, Debug)]
enum FramePart {
    /// The bytes of a header read so far.
    Header {
        bytes: [u8; FRAME_HEADER],
        count: usize,
    },
    /// The number of bytes left in the frame.
    Data(usize),
    Ended,
}

impl FramePart {
    const START: Self = Self::Header { bytes: [0; FRAME_HEADER], count: 0 };
}

impl RelayStream {
    pub(crate) fn new(stream: BufReader<TcpStream>, state: Arc<RelayState>) -> Self {
        Self { stream, state, is_held: Arc::default(), frame: FramePart::START }
    }

    /// Returns the state of the host that relays.
    pub(crate) fn state(&self) -> &Arc<RelayState> {
        &self.state
    }

    /// Returns a flag that is set once no request is to be sent over the connection any more.
    pub(crate) fn hold_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.is_held)
    }

    /// Reads the header of the next frame.
    fn poll_header(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let FramePart::Header { mut bytes, count } = self.frame {
            let available = ready!(Pin::new(&mut self.stream).poll_fill_buf(context))?;
            let Some(byte) = available.first().copied() else {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            };
            Pin::new(&mut self.stream).consume(1);
            bytes[count] = byte;
            self.frame = if count + 1 < FRAME_HEADER {
                FramePart::Header { bytes, count: count + 1 }
            } else {
                self.begin_frame(u16::from_be_bytes(bytes))
            };
        }
        Poll::Ready(Ok(()))
    }

    fn begin_frame(&self, header: u16) -> FramePart {
        match header {
            FRAME_END => FramePart::Ended,
            FRAME_DRAINING => {
                self.state.record_draining();
                FramePart::START
            }
            FRAME_RESTING => {
                self.is_held.store(true, Ordering::Relaxed);
                FramePart::START
            }
            length => FramePart::Data(usize::from(length)),
        }
    }
}

impl AsyncRead for RelayStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_header(context))?;
        let FramePart::Data(left) = this.frame else { return Poll::Ready(Ok(())) };
        let available = ready!(Pin::new(&mut this.stream).poll_fill_buf(context))?;
        if available.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        let count = available.len().min(left).min(buffer.remaining());
        buffer.put_slice(&available[..count]);
        Pin::new(&mut this.stream).consume(count);
        this.frame = if count < left { FramePart::Data(left - count) } else { FramePart::START };
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RelayStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.get_mut().stream.get_mut()).poll_shutdown(context)
    }
}
