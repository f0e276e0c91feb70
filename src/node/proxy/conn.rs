//! A buffered TCP connection, used both towards callers and towards targets.

use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;

/// Buffer space reserved for each read, in bytes.
pub const READ_BYTES: usize = 8 << 10;
/// Time after which the kernel drops a connection whose sent bytes are not acknowledged. A lost
/// packet delays the acknowledgement by a few hundred milliseconds only.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// A TCP connection with a read buffer.
///
/// A connection that is dropped during an exchange is reset, so that the kernel does not continue
/// to deliver data that nobody reads.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buffer: ReadBuffer,
    in_exchange: bool,
}

impl Drop for Conn {
    fn drop(&mut self) {
        if self.in_exchange {
            let socket = socket2::SockRef::from(&self.stream);
            // If the option cannot be set, the connection is closed without a reset.
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

/// Shows whether a caller has disconnected, even while its connection is read.
#[derive(Clone, Copy, Debug)]
pub struct CallerStatus<'a>(&'a TcpStream);

impl<'a> CallerStatus<'a> {
    /// Creates the status of the caller at the other end of a connection.
    pub fn new(write: &'a WriteHalf<'_>) -> Self {
        Self(write.as_ref())
    }

    /// Returns true if the caller has closed or reset its connection. This asks the kernel directly:
    /// the runtime reads an accepted connection before it learns of its state, and reports no change
    /// while other tasks run.
    pub fn has_left(self) -> bool {
        let mut descriptors = [PollFd::new(self.0, PollFlags::RDHUP)];
        let no_wait = Timespec::default();
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        rustix::event::poll(&mut descriptors, Some(&no_wait)).is_ok()
            && descriptors[0].revents().intersects(ended)
    }
}

/// Bytes that were received but not consumed yet.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl ReadBuffer {
    /// Returns the buffered bytes.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Removes `count` bytes from the front of the buffer.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.bytes.len() {
            self.start = 0;
            self.bytes.clear();
            if self.bytes.capacity() > READ_BYTES {
                self.bytes = Vec::new();
            }
        }
    }

    /// Reads into the buffer once; returns the number of bytes read, 0 at the end of the stream.
    pub async fn fill(&mut self, from: &mut (impl AsyncReadExt + Unpin)) -> io::Result<usize> {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.reserve(READ_BYTES);
        from.read_buf(&mut self.bytes).await
    }
}

/// Writes parts one after the other without copying them together.
pub async fn write_parts<'a>(
    write: &mut (impl AsyncWriteExt + Unpin),
    parts: impl Iterator<Item = &'a [u8]>,
) -> io::Result<()> {
    let mut slices: Vec<IoSlice<'_>> = parts
        .filter(|part| !part.is_empty())
        .map(IoSlice::new)
        .collect();
    let mut left = &mut slices[..];
    while !left.is_empty() {
        match write.write_vectored(left).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => IoSlice::advance_slices(&mut left, count),
        }
    }
    Ok(())
}

impl Conn {
    /// Wraps a connected stream and sets its socket options.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(Self {
            stream,
            buffer: ReadBuffer::default(),
            in_exchange: false,
        })
    }

    /// Connects to an IPv4 address.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        Self::new(socket.connect(address).await?)
    }

    /// Returns the address of the other side.
    pub fn peer_ip(&self) -> Option<IpAddr> {
        self.stream.peer_addr().ok().map(|address| address.ip())
    }

    /// Marks that a request is about to be sent; until [`Conn::end_exchange`], dropping the
    /// connection resets it.
    pub fn begin_exchange(&mut self) {
        self.in_exchange = true;
    }

    /// Marks that the whole response to the request has been received.
    pub fn end_exchange(&mut self) {
        self.in_exchange = false;
    }

    /// Returns the buffered bytes.
    pub fn data(&self) -> &[u8] {
        self.buffer.data()
    }

    /// Returns the memory that the read buffer takes, in bytes.
    pub fn buffer_memory(&self) -> usize {
        self.buffer.bytes.capacity()
    }

    /// Removes `count` bytes from the front of the buffer.
    pub fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
    }

    /// Reads into the buffer once; returns the number of bytes read, 0 at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.fill(&mut self.stream).await
    }

    /// Returns the read half, the write half and the read buffer, to use them concurrently.
    pub fn split(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>, &mut ReadBuffer) {
        let (read, write) = self.stream.split();
        (read, write, &mut self.buffer)
    }

    /// Returns true if the kernel has received bytes that were not read yet. This asks the kernel
    /// directly, since the runtime may not have reported the socket as readable yet.
    pub fn has_unread_data(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = socket2::SockRef::from(&self.stream);
        matches!(socket.peek(&mut byte), Ok(1..))
    }

    /// Returns true if the connection is open and no unexpected bytes have arrived, so that it can
    /// be used for another request.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let nothing_to_read = match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        };
        nothing_to_read && self.data().is_empty()
    }
}
