//! Performs the actions that the state machines return, and answers operators' requests.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::channel::Sender;

use crate::control::ControlRequest;
use crate::control::Status;
use crate::control::groups::GroupAction;
use crate::control::status;
use crate::control::thread::Control;
use crate::events;
use crate::events::record;
use crate::link::Frame;
use crate::link::Hello;
use crate::link::Message;
use crate::metrics;
use crate::owner::group;
use crate::platform::Table;
use crate::platform::VmList;
use crate::state_sync;
use crate::state_sync::LinkId;
use crate::view::ViewChange;

/// Time that a status request waits for the ticket numbers of other VMs.
const CENSUS_WAIT: Duration = Duration::from_millis(300);

impl<P: Table + VmList + 'static> Control<P> {
    pub(super) fn perform(&mut self, now: Instant, action: state_sync::Action) {
        match action {
            state_sync::Action::Send { links, message } => self.send(&links, &message),
            state_sync::Action::Dial { vm, address } => self.links.dial(vm, address),
            state_sync::Action::CloseLink(link) => {
                self.open_links.remove(&link);
            }
            state_sync::Action::ReadState { held, verify } => {
                self.remote_calls.read_state(held, verify)
            }
            state_sync::Action::ReadVmList => self.remote_calls.read_vm_list(),
            state_sync::Action::CensusUpdated => self.answer_status_requests(|_| true),
            state_sync::Action::ViewChanged(change) => self.view_changed(now, &change),
        }
    }

    fn view_changed(&mut self, now: Instant, change: &ViewChange) {
        let view = self.state_sync.view();
        let mut hello = Hello::clone(&self.links.hello.load());
        hello.digest = view.digest();
        self.links.hello.store(Arc::new(hello));
        if let ViewChange::State(_) | ViewChange::Services { .. } = change {
            let number = view.state.number;
            metrics::instruments().in_force(number);
            record(
                events::Event::TicketInForce,
                format_args!("ticket={number}"),
            );
            let services = view.state.services.values();
            let used: Vec<_> = services.flat_map(|s| s.targets.values()).collect();
            self.remote_calls
                .retain_clients(|address| used.iter().any(|target| target.address == *address));
            let state = &self.state_sync.view().state;
            let actions = self.groups.reconcile(now, state, self.state_sync.members());
            self.perform_group_actions(now, actions);
        }
    }

    pub(super) fn perform_group_actions(&mut self, now: Instant, actions: Vec<GroupAction>) {
        for GroupAction { group, action } in actions {
            match action {
                group::Action::Read { id, keys } => self.remote_calls.read_rows(group, id, keys),
                group::Action::Commit(tx) => self.remote_calls.commit(group, tx),
                group::Action::Order {
                    target,
                    address,
                    order,
                } => self.remote_calls.order(group, target, address, order),
                group::Action::Send { to, message } => {
                    let link = self.state_sync.link_to(&to);
                    let links: Vec<_> = link.into_iter().collect();
                    self.send(&links, &Message::Owner { group, message });
                }
                group::Action::Publish(change) => self.publish(now, change),
                group::Action::Record(event, details) => record(event, format_args!("{details}")),
            }
        }
    }

    fn publish(&mut self, now: Instant, change: ViewChange) {
        self.sync_state(now, state_sync::Input::LocalChange(change));
    }

    fn send(&self, links: &[LinkId], message: &Message) {
        if links.is_empty() {
            return;
        }
        let frame = Frame::new(message);
        for open in links.iter().filter_map(|link| self.open_links.get(link)) {
            open.outbox.send(frame.clone());
        }
    }

    // Send errors are ignored: the channel is closed if the operator's connection has ended.
    pub(super) fn answer_request(&mut self, now: Instant, request: ControlRequest) {
        match request {
            ControlRequest::Show(reply) => {
                let _ = reply.try_send(self.state_sync.view().state.clone());
            }
            ControlRequest::Status(reply) => {
                self.status_requests.push((now + CENSUS_WAIT, reply));
                self.sync_state(now, state_sync::Input::QueryCensus);
            }
            ControlRequest::Owner {
                service,
                key_hash,
                reply,
            } => {
                let owner = status::owner(self.state_sync.view(), &service, key_hash);
                let _ = reply.try_send(owner);
            }
            ControlRequest::Accepted(number) => {
                self.sync_state(now, state_sync::Input::TicketAccepted(number))
            }
            ControlRequest::Ready(reply) => {
                let _ = reply.try_send(!self.stopping && self.state_sync.is_ready(now));
            }
        }
    }

    pub(super) fn answer_status_requests(&mut self, due: impl Fn(Instant) -> bool) {
        let (answered, waiting) = self.status_requests.drain(..).partition(|(at, _)| due(*at));
        self.status_requests = waiting;
        let answered: Vec<(Instant, Sender<Status>)> = answered;
        for (_, reply) in answered {
            let _ = reply.try_send(status::status(&self.me.vm, &self.state_sync, &self.groups));
        }
    }
}
