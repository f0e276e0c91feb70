//! Buffered read side of a connection; idle connections release large buffers.

use std::io;
use std::task::Poll;

use async_std::io::ReadExt;
use async_std::net::TcpStream;
use futures::AsyncRead;

use crate::traffic::head::MAX_HEAD_BYTES;

const INITIAL_BUFFER_BYTES: usize = 4 << 10;

/// Buffer size for streaming a body.
pub const STREAM_BUFFER_BYTES: usize = 64 << 10;

/// A connection with a read buffer; unconsumed data is `buffer[start..end]`.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
}

impl Reader {
    /// Wraps a connection; the buffer is allocated on the first read.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
            end: 0,
        }
    }

    /// Returns the underlying connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the bytes that were read but not consumed.
    pub fn data(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Removes `count` bytes from the start of the data.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        }
    }

    /// Reads more of a head; returns the number of bytes read, 0 at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let size = self.data().len() + 1;
        self.fill_up_to(size.next_power_of_two().max(INITIAL_BUFFER_BYTES))
            .await
    }

    /// Reads more of a body; returns the number of bytes read, 0 at the end of the stream.
    pub async fn fill_body(&mut self) -> io::Result<usize> {
        self.fill_up_to(STREAM_BUFFER_BYTES).await
    }

    /// Returns true if the buffered data has reached the maximum size of a head.
    pub fn is_full(&self) -> bool {
        self.data().len() >= MAX_HEAD_BYTES
    }

    /// Returns true if the connection is open and has no unread data.
    pub fn is_idle(&mut self) -> bool {
        let mut byte = [0];
        let mut cx = std::task::Context::from_waker(futures::task::noop_waker_ref());
        let mut stream = &self.stream;
        let poll = std::pin::Pin::new(&mut stream).poll_read(&mut cx, &mut byte);
        self.data().is_empty() && matches!(poll, Poll::Pending)
    }

    /// Releases the buffer if it is empty and larger than a head.
    pub fn shrink(&mut self) {
        if self.start == self.end && self.buffer.len() > MAX_HEAD_BYTES {
            self.buffer = Vec::new();
        }
    }

    async fn fill_up_to(&mut self, size: usize) -> io::Result<usize> {
        if self.start > 0 && self.end == self.buffer.len() {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.buffer.len() < size {
            self.buffer.resize(size, 0);
        }
        let free = &mut self.buffer[self.end..];
        let count = (&self.stream).read(free).await?;
        self.end += count;
        Ok(count)
    }
}
