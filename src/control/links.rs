//! Opens, accepts and runs links to other controllers and to entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_std::channel::Sender;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::stream::StreamExt;
use async_std::task;

use crate::control::event::Event;
use crate::events;
use crate::ids::VmId;
use crate::link;
use crate::link::Hello;
use crate::link::Link;
use crate::link::LinkError;
use crate::link::Message;
use crate::link::Outbox;
use crate::state_sync;
use crate::state_sync::LinkId;

const OPEN_TIMEOUT: Duration = Duration::from_millis(1500);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Opens and accepts links; clones share the identity and the link ids of the process.
#[derive(Clone)]
pub struct Links {
    /// Identity that is sent to peers; kept up to date by the control thread.
    pub hello: Arc<ArcSwap<Hello>>,
    token: Arc<str>,
    events: Sender<Event>,
    next_link: Arc<AtomicU64>,
}

impl Links {
    /// Creates an instance that reports links and messages to `events`.
    pub fn new(hello: Hello, token: &str, events: Sender<Event>) -> Self {
        Self {
            hello: Arc::new(ArcSwap::from_pointee(hello)),
            token: token.into(),
            events,
            next_link: Arc::default(),
        }
    }

    /// Accepts links until the process ends.
    pub async fn accept_all(self, listener: TcpListener) {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            match stream {
                Ok(stream) => {
                    task::spawn(self.clone().accept(stream));
                }
                // Probably out of file descriptors: retry after a delay instead of in a busy loop.
                Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Opens a link in the background. If `vm` is `None`, any VM at the address is accepted.
    pub fn dial(&self, vm: Option<VmId>, address: SocketAddr) {
        task::spawn(self.clone().open(vm, address));
    }

    async fn accept(self, stream: TcpStream) {
        let accepted = link::accept(stream, &self.token);
        if let Ok((link, hello)) = with_timeout(self.handshake(accepted)).await {
            self.run(link, hello, false).await;
        }
    }

    async fn open(self, vm: Option<VmId>, address: SocketAddr) {
        let connected = link::connect(address, &self.token);
        match with_timeout(self.handshake(connected)).await {
            // The address may belong to another VM by now.
            Ok((link, hello)) if vm.as_ref().is_none_or(|vm| *vm == hello.vm) => {
                self.run(link, hello, true).await;
            }
            _ => {
                let Some(vm) = vm else {
                    return;
                };
                let input = state_sync::Input::DialFailed(vm);
                let _ = self.events.send(Event::StateSync(input)).await;
            }
        }
    }

    async fn handshake(
        &self,
        opened: impl Future<Output = Result<Link, LinkError>>,
    ) -> Result<(Link, Hello), LinkError> {
        let mut link = opened.await?;
        let hello = Hello::clone(&self.hello.load());
        link.send(&Message::Hello(hello)).await?;
        match link.recv().await? {
            Message::Hello(hello) => Ok((link, hello)),
            _ => Err(LinkError::Malformed(
                "the first message is not Hello".into(),
            )),
        }
    }

    async fn run(&self, socket: Link, hello: Hello, dialled: bool) {
        let link = LinkId(self.next_link.fetch_add(1, Ordering::Relaxed));
        let (outbox, queue) = Outbox::new();
        let vm = hello.vm.clone();
        let opened = Event::LinkOpened {
            link,
            hello,
            dialled,
            outbox,
        };
        if self.events.send(opened).await.is_err() {
            return;
        }
        let wrap = |message| Event::Received { link, message };
        let error = link::run(socket, queue, self.events.clone(), wrap).await;
        events::record(events::Event::LinkLost, format_args!("vm={vm} {error}"));
        let _ = self.events.send(Event::LinkClosed(link)).await;
    }
}

async fn with_timeout<T>(
    operation: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    match timeout(OPEN_TIMEOUT, operation).await {
        Ok(result) => result,
        Err(_) => Err(LinkError::TimedOut),
    }
}
