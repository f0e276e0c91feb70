//! Runs one link: sends queued frames, delivers received messages and detects an unresponsive peer
//! with pings and a timeout.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::TrySendError;
use async_std::channel::bounded;
use async_std::future::timeout;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;

use crate::link::Link;
use crate::link::LinkError;
use crate::link::Message;
use crate::link::socket::LinkReceiver;
use crate::link::socket::LinkSender;
use crate::link::socket::decode;
use crate::link::socket::encode;

/// Time without a received message after which a ping is sent.
pub const PING_AFTER: Duration = Duration::from_millis(1000);
/// Time after which a link is closed, if nothing is received or a send does not finish.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1500);

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MAX_QUEUED_FRAMES: usize = 1024;

/// An encoded message. Clones share the bytes, so that a message to many peers is encoded once.
#[derive(Clone, Debug)]
pub struct Frame(Arc<[u8]>);

impl Frame {
    /// Encodes a message.
    pub fn new(message: &Message) -> Self {
        Self(encode(message).into())
    }

    /// Returns the encoded bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Queues frames for one link; dropping the last clone closes the link.
#[derive(Clone, Debug)]
pub struct Outbox {
    frames: Sender<Frame>,
}

impl Outbox {
    /// Creates an outbox and the receiver of its queue, which is passed to [`run`].
    pub fn new() -> (Self, Receiver<Frame>) {
        let (frames, queue) = bounded(MAX_QUEUED_FRAMES);
        (Self { frames }, queue)
    }

    /// Queues a frame. If the queue is full because the peer reads too slowly, the link is closed;
    /// once it is reopened, the peer catches up by exchanging digests.
    pub fn send(&self, frame: Frame) {
        if let Err(TrySendError::Full(_)) = self.frames.try_send(frame) {
            self.frames.close();
        }
    }
}

/// Runs a link until it fails, times out or its outbox is dropped, and returns the reason.
///
/// Each received message is passed through `wrap` and sent to `inbox`; while `inbox` is full,
/// nothing more is read from the link.
pub async fn run<T: Send>(
    link: Link,
    queue: Receiver<Frame>,
    inbox: Sender<T>,
    wrap: impl Fn(Message) -> T + Send,
) -> LinkError {
    let (sender, receiver) = link.split();
    let (reply_sender, replies) = bounded(MAX_QUEUED_FRAMES);
    let send = run_sender(sender, queue, replies).fuse();
    let receive = run_receiver(receiver, reply_sender, inbox, wrap).fuse();
    pin_mut!(send, receive);
    select! {
        error = send => error,
        error = receive => error,
    }
}

async fn run_sender(
    mut sender: LinkSender,
    queue: Receiver<Frame>,
    replies: Receiver<Frame>,
) -> LinkError {
    loop {
        let next = select! {
            frame = queue.recv().fuse() => frame,
            frame = replies.recv().fuse() => frame,
        };
        let Ok(frame) = next else {
            sender.close().await;
            return LinkError::Closed;
        };
        match timeout(LINK_TIMEOUT, sender.send(frame.bytes())).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error,
            Err(_) => return LinkError::TimedOut,
        }
    }
}

async fn run_receiver<T>(
    mut receiver: LinkReceiver,
    replies: Sender<Frame>,
    inbox: Sender<T>,
    wrap: impl Fn(Message) -> T,
) -> LinkError {
    let mut last_received = Instant::now();
    let mut pings = 0;
    let mut next = Box::pin(receiver.recv().fuse());
    loop {
        match timeout(CHECK_INTERVAL, &mut next).await {
            Ok(Err(error)) => return error,
            Ok(Ok(bytes)) => {
                match decode(&bytes) {
                    Err(error) => return error,
                    Ok(Message::Ping(number)) => send_pong(&replies, number),
                    Ok(Message::Pong(_)) => {}
                    Ok(message) => {
                        let delivered = inbox.send(wrap(message)).await;
                        if delivered.is_err() {
                            return LinkError::Closed;
                        }
                    }
                }
                last_received = Instant::now();
                drop(next);
                next = Box::pin(receiver.recv().fuse());
            }
            Err(_) if last_received.elapsed() >= LINK_TIMEOUT => return LinkError::TimedOut,
            Err(_) if last_received.elapsed() >= PING_AFTER => {
                pings += 1;
                let _ = replies.try_send(Frame::new(&Message::Ping(pings)));
            }
            Err(_) => {}
        }
    }
}

// Drops the pong if the queue is full, so that a peer that sends pings without reading the pongs
// cannot make the queue grow.
fn send_pong(replies: &Sender<Frame>, number: u64) {
    let _ = replies.try_send(Frame::new(&Message::Pong(number)));
}
