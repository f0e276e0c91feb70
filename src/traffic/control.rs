//! The control loop of an entry: executes the actions of a [`Follower`] on a network link.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::task;

use crate::events::Event;
use crate::events::record;
use crate::ids::TicketNumber;
use crate::link;
use crate::link::Link;
use crate::link::LinkError;
use crate::link::Message;
use crate::traffic::drain::Stage;
use crate::traffic::follow::Action;
use crate::traffic::follow::CONNECT_TIMEOUT;
use crate::traffic::follow::Follower;
use crate::traffic::worker::Shared;

const TICK: Duration = Duration::from_millis(50);

/// Keeps the view of the routing state up to date until in-flight requests are aborted.
pub async fn run(mut follower: Follower, token: String, shared: Arc<Shared>) {
    let mut control = Control {
        link: None,
        token,
        shared,
        sent_crash_version: 0,
    };
    while control.shared.drain.stage() < Stage::Aborting {
        let key_loads = |elapsed| control.shared.router.take_key_loads(elapsed);
        let actions = follower.tick(Instant::now(), key_loads);
        control.execute_all(&mut follower, actions).await;
        control.send_crash_report(&mut follower).await;
        control.receive(&mut follower).await;
        control.publish_freshness(&follower);
    }
}

struct Control {
    link: Option<Link>,
    token: String,
    shared: Arc<Shared>,
    /// Version of the crash report last sent on the current link; 0 if none was sent.
    sent_crash_version: u64,
}

impl Control {
    async fn execute_all(&mut self, follower: &mut Follower, actions: Vec<Action>) {
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            queue.extend(self.execute(follower, action).await);
        }
    }

    async fn execute(&mut self, follower: &mut Follower, action: Action) -> Vec<Action> {
        match action {
            Action::Open(peer) => {
                let open = timeout(CONNECT_TIMEOUT, link::connect(peer, &self.token)).await;
                let Ok(Ok(link)) = open else {
                    return follower.lost(Instant::now());
                };
                self.link = Some(link);
                self.sent_crash_version = 0;
                return follower.opened(Instant::now());
            }
            Action::Drop => {
                if self.link.take().is_some() {
                    record(Event::LinkLost, format_args!("trying another controller"));
                }
            }
            Action::Send(message) => return self.send(follower, &message).await,
            Action::Crashes(report) => {
                self.shared
                    .router
                    .merge_crash_report(&report, Instant::now());
            }
            Action::Rank(rank) => self.shared.router.set_rank(rank),
            Action::Publish(view) => {
                let number = view.state.number;
                if number > self.ticket_number() {
                    record(Event::TicketInForce, format_args!("ticket {number}"));
                }
                self.shared.router.update(view);
            }
        }
        Vec::new()
    }

    async fn send(&mut self, follower: &mut Follower, message: &Message) -> Vec<Action> {
        let Some(link) = &mut self.link else {
            return Vec::new();
        };
        match timeout(CONNECT_TIMEOUT, link.send(message)).await {
            Ok(Ok(())) => Vec::new(),
            _ => follower.lost(Instant::now()),
        }
    }

    /// Sends the router's report of requests that crash targets if it changed.
    async fn send_crash_report(&mut self, follower: &mut Follower) {
        let router = &self.shared.router;
        let version = router.crash_version();
        if self.link.is_none() || version == self.sent_crash_version {
            return;
        }
        self.sent_crash_version = version;
        let message = Message::Crashes(router.crash_report(Instant::now()));
        let actions = self.send(follower, &message).await;
        self.execute_all(follower, actions).await;
    }

    /// Waits for a message and handles it; returns after [`TICK`] if none arrives.
    async fn receive(&mut self, follower: &mut Follower) {
        let Some(link) = &mut self.link else {
            return task::sleep(TICK).await;
        };
        let received: Result<Result<Message, LinkError>, _> = timeout(TICK, link.recv()).await;
        let actions = match received {
            Err(_) => return,
            Ok(Ok(message)) => follower.received(message, Instant::now()),
            Ok(Err(_)) => follower.lost(Instant::now()),
        };
        self.execute_all(follower, actions).await;
    }

    fn publish_freshness(&self, follower: &Follower) {
        let stale = !follower.is_fresh(Instant::now());
        let before = self.shared.stale.swap(stale, Ordering::Relaxed);
        if stale && !before {
            record(
                Event::ViewStale,
                format_args!("no controller confirmed the view within the stale limit"),
            );
        }
    }

    fn ticket_number(&self) -> TicketNumber {
        self.shared.router.view().state.number
    }
}
