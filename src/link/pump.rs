//! Drives one link: sends what is queued, delivers what comes, finds silence by a deadline.

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

/// Silence after which a ping is sent.
pub const PING_AFTER: Duration = Duration::from_millis(1000);
/// Silence after which a link counts as lost.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const QUEUE_FRAMES: usize = 1024;

/// An encoded message; clones share the bytes, so that a fan-out encodes once.
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
    /// Creates a queue and the end that [`run`] takes.
    pub fn new() -> (Self, Receiver<Frame>) {
        let (frames, queue) = bounded(QUEUE_FRAMES);
        (Self { frames }, queue)
    }

    /// Queues a frame. A peer that reads too slowly for its queue loses the link; it is opened
    /// again and catches up by digest.
    pub fn send(&self, frame: Frame) {
        if let Err(TrySendError::Full(_)) = self.frames.try_send(frame) {
            self.frames.close();
        }
    }
}

/// Runs a link until it fails, goes silent or its outbox is dropped; returns why it ended.
pub async fn run(
    link: Link,
    queue: Receiver<Frame>,
    deliver: impl FnMut(Message) + Send,
) -> LinkError {
    let (sender, receiver) = link.split();
    let (pongs, answers) = bounded(QUEUE_FRAMES);
    let send = send_all(sender, queue, answers).fuse();
    let receive = receive_all(receiver, pongs, deliver).fuse();
    pin_mut!(send, receive);
    select! {
        error = send => error,
        error = receive => error,
    }
}

async fn send_all(
    mut sender: LinkSender,
    queue: Receiver<Frame>,
    answers: Receiver<Frame>,
) -> LinkError {
    loop {
        let next = select! {
            frame = queue.recv().fuse() => frame,
            frame = answers.recv().fuse() => frame,
        };
        let Ok(frame) = next else {
            sender.close().await;
            return LinkError::Closed;
        };
        match timeout(SILENCE_LIMIT, sender.send(frame.bytes())).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error,
            Err(_) => return LinkError::Silent,
        }
    }
}

async fn receive_all(
    mut receiver: LinkReceiver,
    answers: Sender<Frame>,
    mut deliver: impl FnMut(Message),
) -> LinkError {
    let mut heard = Instant::now();
    let mut pings = 0;
    let mut next = Box::pin(receiver.recv().fuse());
    loop {
        match timeout(CHECK_INTERVAL, &mut next).await {
            Ok(Err(error)) => return error,
            Ok(Ok(bytes)) => {
                heard = Instant::now();
                match decode(&bytes) {
                    Err(error) => return error,
                    Ok(message) => take(message, &answers, &mut deliver),
                }
                drop(next);
                next = Box::pin(receiver.recv().fuse());
            }
            Err(_) if heard.elapsed() >= SILENCE_LIMIT => return LinkError::Silent,
            Err(_) if heard.elapsed() >= PING_AFTER => {
                pings += 1;
                let _ = answers.try_send(Frame::new(&Message::Ping(pings)));
            }
            Err(_) => {}
        }
    }
}

fn take(message: Message, answers: &Sender<Frame>, deliver: &mut impl FnMut(Message)) {
    match message {
        // A peer that floods pings while it reads no pongs loses the surplus.
        Message::Ping(number) => {
            let _ = answers.try_send(Frame::new(&Message::Pong(number)));
        }
        Message::Pong(_) => {}
        message => deliver(message),
    }
}
