//! A stream to an upstream whose written bytes are counted and whose answers are checked.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::LinkMeter;
use super::head_lines::HeadLines;

/// A stream that counts its written bytes in a [`LinkMeter`], which can also forbid writes.
///
/// Reads are limited in size, because the other end sends as much at once as a read has taken. They
/// fail if the lines of an answer's head end in different ways.
#[derive(Debug)]
pub(crate) struct MeteredStream<S> {
    stream: S,
    meter: LinkMeter,
    /// The largest read, in bytes.
    read_limit: usize,
    /// The head of the answer to the request with this number, counted by the meter.
    head: HeadLines,
    request: u64,
}

impl<S> MeteredStream<S> {
    pub(crate) fn new(stream: S, meter: LinkMeter, read_limit: usize) -> Self {
        Self { stream, meter, read_limit, head: HeadLines::default(), request: 0 }
    }

    /// Checks the lines of an answer's head in bytes that have been read.
    fn check_lines(&mut self, bytes: &[u8]) -> io::Result<()> {
        let request = self.meter.requests();
        if self.request != request {
            self.request = request;
            self.head = HeadLines::default();
        }
        self.head.check(bytes)
    }
}

fn written_bytes(polled: &Poll<io::Result<usize>>) -> usize {
    match polled {
        Poll::Ready(Ok(count)) => *count,
        Poll::Ready(Err(_)) | Poll::Pending => 0,
    }
}

fn failed_write(fault: io::Error) -> Poll<io::Result<usize>> {
    Poll::Ready(Err(fault))
}

impl<S: AsyncRead + Unpin> MeteredStream<S> {
    fn poll_read_part(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() <= self.read_limit {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(self.read_limit));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        ready!(this.poll_read_part(context, buffer))?;
        Poll::Ready(this.check_lines(&buffer.filled()[before..]))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, meter, .. } = self.get_mut();
        meter.write(failed_write, || Pin::new(stream).poll_write(context, bytes), written_bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, meter, .. } = self.get_mut();
        meter.write(
            failed_write,
            || Pin::new(stream).poll_write_vectored(context, slices),
            written_bytes,
        )
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
