//! Opens and takes links, and runs them.

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

const OPEN_LIMIT: Duration = Duration::from_millis(1500);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens and takes links; clones do so for the same process.
#[derive(Clone)]
pub struct Links {
    /// What this side says of itself; kept up to date by the control thread.
    pub hello: Arc<ArcSwap<Hello>>,
    token: Arc<str>,
    events: Sender<Event>,
    next: Arc<AtomicU64>,
}

impl Links {
    /// Creates the opener of links.
    pub fn new(hello: Hello, token: &str, events: Sender<Event>) -> Self {
        Self {
            hello: Arc::new(ArcSwap::from_pointee(hello)),
            token: token.into(),
            events,
            next: Arc::default(),
        }
    }

    /// Takes links until the process ends.
    pub async fn accept_all(self, listener: TcpListener) {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            match stream {
                Ok(stream) => {
                    task::spawn(self.clone().take(stream));
                }
                // Out of descriptors, most likely: later is better than at once.
                Err(_) => task::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// Opens a link in the background; to whoever answers if no VM is named.
    pub fn dial(&self, vm: Option<VmId>, address: SocketAddr) {
        task::spawn(self.clone().open(vm, address));
    }

    async fn take(self, stream: TcpStream) {
        let accepted = link::accept(stream, &self.token);
        if let Ok((link, hello)) = bounded(self.greet(accepted)).await {
            self.run(link, hello, false).await;
        }
    }

    async fn open(self, vm: Option<VmId>, address: SocketAddr) {
        let connected = link::connect(address, &self.token);
        match bounded(self.greet(connected)).await {
            // Another VM may have taken over the address.
            Ok((link, hello)) if vm.as_ref().is_none_or(|vm| *vm == hello.vm) => {
                self.run(link, hello, true).await;
            }
            _ => {
                let Some(vm) = vm else {
                    return;
                };
                let input = state_sync::Input::DialFailed(vm);
                let _ = self.events.send(Event::Spread(input)).await;
            }
        }
    }

    async fn greet(
        &self,
        opened: impl Future<Output = Result<Link, LinkError>>,
    ) -> Result<(Link, Hello), LinkError> {
        let mut link = opened.await?;
        let hello = Hello::clone(&self.hello.load());
        link.send(&Message::Hello(hello)).await?;
        match link.recv().await? {
            Message::Hello(hello) => Ok((link, hello)),
            _ => Err(LinkError::Malformed("no greeting first".into())),
        }
    }

    async fn run(&self, socket: Link, hello: Hello, dialled: bool) {
        let link = LinkId(self.next.fetch_add(1, Ordering::Relaxed));
        let (outbox, queue) = Outbox::new();
        let vm = hello.vm.clone();
        let linked = Event::Linked {
            link,
            hello,
            dialled,
            outbox,
        };
        if self.events.send(linked).await.is_err() {
            return;
        }
        let wrap = |message| Event::Received { link, message };
        let error = link::run(socket, queue, self.events.clone(), wrap).await;
        events::record(events::Event::LinkLost, format_args!("vm={vm} {error}"));
        let _ = self.events.send(Event::Unlinked(link)).await;
    }
}

async fn bounded<T>(work: impl Future<Output = Result<T, LinkError>>) -> Result<T, LinkError> {
    match timeout(OPEN_LIMIT, work).await {
        Ok(result) => result,
        Err(_) => Err(LinkError::Silent),
    }
}
