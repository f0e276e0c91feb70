//! A TCP connection with the bytes read ahead on it.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;

/// What one read asks for, in bytes.
const READ_BYTES: usize = 8 << 10;
/// Sent bytes may stay unacknowledged for this long before the system breaks the connection;
/// a loss costs a few hundred milliseconds.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection.
///
/// One that is dropped in the middle of an exchange is reset, so that the system does not go on
/// delivering what nobody waits for.
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
            // Without it the connection closes in the ordinary way.
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

/// Bytes read and not consumed yet.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl ReadBuffer {
    /// Returns the bytes.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Drops bytes from the front.
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

    /// Reads more; returns the number of bytes, 0 at the end of the stream.
    pub async fn fill(&mut self, from: &mut (impl AsyncReadExt + Unpin)) -> io::Result<usize> {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.reserve(READ_BYTES);
        from.read_buf(&mut self.bytes).await
    }
}

impl Conn {
    /// Wraps a connection.
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

    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        Self::new(socket.connect(address).await?)
    }

    /// Marks the start of a request that is sent on the connection.
    pub fn begin_exchange(&mut self) {
        self.in_exchange = true;
    }

    /// Marks that the request has its whole answer.
    pub fn end_exchange(&mut self) {
        self.in_exchange = false;
    }

    /// Returns the bytes read ahead.
    pub fn data(&self) -> &[u8] {
        self.buffer.data()
    }

    /// Drops bytes from the front of those read ahead.
    pub fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
    }

    /// Reads more; returns the number of bytes, 0 at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.fill(&mut self.stream).await
    }

    /// Returns the two directions and the bytes read ahead, to use at the same time.
    pub fn split(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>, &mut ReadBuffer) {
        let (read, write) = self.stream.split();
        (read, write, &mut self.buffer)
    }

    /// Returns whether bytes have arrived that were not read yet, by what the system says now.
    pub fn has_unread_data(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = socket2::SockRef::from(&self.stream);
        matches!(socket.peek(&mut byte), Ok(1..))
    }

    /// Returns whether the connection is open and silent, as one between two requests should be.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let nothing_to_read = match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        };
        nothing_to_read && self.data().is_empty()
    }
}
