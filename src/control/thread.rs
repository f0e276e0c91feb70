//! The control thread: takes events one by one and carries out what the state machines ask for.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::channel::Sender;

use crate::clock::Clock;
use crate::control::Ask;
use crate::control::Status;
use crate::control::event::Event;
use crate::control::groups::GroupAction;
use crate::control::groups::Groups;
use crate::control::links::Links;
use crate::control::outside::Outside;
use crate::control::status;
use crate::events;
use crate::events::record;
use crate::ids::VmId;
use crate::link::Frame;
use crate::link::Hello;
use crate::link::Message;
use crate::link::Outbox;
use crate::metrics;
use crate::owner::group;
use crate::owner::message::Member;
use crate::platform::Table;
use crate::platform::VmList;
use crate::platform::VmState;
use crate::spread;
use crate::spread::LinkId;
use crate::spread::Spread;
use crate::view::ViewChange;

/// How long a question waits for the counts of other VMs.
const COUNT_WAIT: Duration = Duration::from_millis(300);

/// The state that one thread owns, and the ways out of it.
pub struct Control<P> {
    me: Member,
    clock: Arc<dyn Clock>,
    spread: Spread,
    groups: Groups,
    links: Links,
    open: BTreeMap<LinkId, OpenLink>,
    outside: Outside<P>,
    pending: VecDeque<spread::Input>,
    curious: Vec<(Instant, Sender<Status>)>,
    stopping: bool,
}

struct OpenLink {
    vm: VmId,
    outbox: Outbox,
}

impl<P: Table + VmList + 'static> Control<P> {
    /// Starts with empty state.
    pub fn new(
        me: Member,
        clock: Arc<dyn Clock>,
        spread: Spread,
        links: Links,
        outside: Outside<P>,
    ) -> Self {
        Self {
            groups: Groups::new(me.clone()),
            me,
            clock,
            spread,
            links,
            open: BTreeMap::new(),
            outside,
            pending: VecDeque::new(),
            curious: Vec::new(),
            stopping: false,
        }
    }

    /// Returns whether everything is handed over and the process may end.
    pub fn is_done(&self) -> bool {
        self.stopping && self.groups.may_stop()
    }

    /// Returns when a group next asks for time to pass.
    pub fn next_tick(&self) -> Option<Instant> {
        self.groups.next_tick()
    }

    /// Takes one event.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Ask(ask) => self.answer(now, ask),
            Event::Linked {
                link,
                hello,
                dialled,
                outbox,
            } => self.linked(now, link, hello, dialled, outbox),
            Event::Unlinked(link) => {
                self.open.remove(&link);
                self.spread(now, spread::Input::Unlinked(link));
                self.refresh(now);
            }
            Event::Received { link, message } => self.received(now, link, message),
            Event::Spread(input) => self.spread(now, input),
            Event::Group { group, input } => {
                let actions = self.groups.tell(now, &group, input);
                self.act(now, actions);
            }
            Event::Stop => self.stop(now),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.spread(now, spread::Input::Tick);
        self.refresh(now);
        self.answer_status(|at| at <= now);
        self.tick_groups();
    }

    /// Lets time pass for the groups that asked for it.
    pub fn tick_groups(&mut self) {
        let now = self.clock.now();
        let actions = self.groups.tick(now);
        self.act(now, actions);
    }

    fn linked(&mut self, now: Instant, link: LinkId, hello: Hello, dialled: bool, outbox: Outbox) {
        let vm = hello.vm.clone();
        self.open.insert(link, OpenLink { vm, outbox });
        let input = spread::Input::Linked {
            link,
            hello,
            dialled,
        };
        self.spread(now, input);
        self.refresh(now);
    }

    fn received(&mut self, now: Instant, link: LinkId, message: Message) {
        let Message::Owner { group, message } = message else {
            self.spread(now, spread::Input::Received { link, message });
            return;
        };
        let Some(open) = self.open.get(&link) else {
            return;
        };
        let from = open.vm.clone();
        let input = group::Input::Peer { from, message };
        let actions = self.groups.tell(now, &group, input);
        self.act(now, actions);
    }

    // Brings groups, wanted links and peers in line with each other.
    fn refresh(&mut self, now: Instant) {
        let state = &self.spread.view().state;
        let actions = self.groups.reconcile(now, state, self.spread.members());
        self.act(now, actions);
        let actions = self.groups.set_peers(now, self.peers());
        self.act(now, actions);
        let wanted = self.groups.wanted(self.spread.members());
        self.spread(now, spread::Input::Want(wanted));
    }

    fn peers(&self) -> Vec<group::Peer> {
        let members = self.spread.members();
        let is_leaving = |vm: &VmId| {
            let entry = members.entry(vm);
            entry.is_some_and(|entry| entry.state == VmState::Leaving)
        };
        let linked = self.spread.linked().map(|hello| Member {
            vm: hello.vm.clone(),
            boot: hello.boot,
            data_centre: hello.data_centre.clone(),
        });
        let mut peers: Vec<_> = linked
            .chain([self.me.clone()])
            .map(|member| group::Peer {
                leaving: is_leaving(&member.vm),
                member,
            })
            .collect();
        peers.sort_by(|a, b| a.member.cmp(&b.member));
        peers.dedup();
        peers
    }

    // A change of one state machine may be news to the other, so both run until nothing is left.
    fn spread(&mut self, now: Instant, input: spread::Input) {
        self.pending.push_back(input);
        while let Some(input) = self.pending.pop_front() {
            for action in self.spread.handle(now, input) {
                self.carry_out(now, action);
            }
        }
    }

    fn carry_out(&mut self, now: Instant, action: spread::Action) {
        match action {
            spread::Action::Send { links, message } => self.send(&links, &message),
            spread::Action::Dial { vm, address } => self.links.dial(vm, address),
            spread::Action::Hangup(link) => {
                self.open.remove(&link);
            }
            spread::Action::ReadTable { held, verify } => self.outside.read_state(held, verify),
            spread::Action::ReadVms => self.outside.read_vms(),
            spread::Action::Counted => self.answer_status(|_| true),
            spread::Action::Changed(change) => self.changed(now, &change),
        }
    }

    fn changed(&mut self, now: Instant, change: &ViewChange) {
        let view = self.spread.view();
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
            let named: Vec<_> = services.flat_map(|s| s.targets.values()).collect();
            self.outside
                .keep_targets(|address| named.iter().any(|target| target.address == *address));
            let state = &self.spread.view().state;
            let actions = self.groups.reconcile(now, state, self.spread.members());
            self.act(now, actions);
        }
    }

    fn act(&mut self, now: Instant, actions: Vec<GroupAction>) {
        for GroupAction { group, action } in actions {
            match action {
                group::Action::Read { id, keys } => self.outside.read_rows(group, id, keys),
                group::Action::Commit(tx) => self.outside.commit(group, tx),
                group::Action::Order {
                    target,
                    address,
                    order,
                } => self.outside.order(group, target, address, order),
                group::Action::Send { to, message } => {
                    let link = self.spread.link_to(&to);
                    let links: Vec<_> = link.into_iter().collect();
                    self.send(&links, &Message::Owner { group, message });
                }
                group::Action::Publish(change) => self.publish(now, change),
                group::Action::Record(event, details) => record(event, format_args!("{details}")),
            }
        }
    }

    fn publish(&mut self, now: Instant, change: ViewChange) {
        self.spread(now, spread::Input::Local(change));
    }

    fn send(&self, links: &[LinkId], message: &Message) {
        if links.is_empty() {
            return;
        }
        let frame = Frame::new(message);
        for open in links.iter().filter_map(|link| self.open.get(link)) {
            open.outbox.send(frame.clone());
        }
    }

    // A channel that nobody reads any more belongs to a caller who went away.
    fn answer(&mut self, now: Instant, ask: Ask) {
        match ask {
            Ask::Show(reply) => {
                let _ = reply.try_send(self.spread.view().state.clone());
            }
            Ask::Status(reply) => {
                self.curious.push((now + COUNT_WAIT, reply));
                self.spread(now, spread::Input::Count);
            }
            Ask::Owner {
                service,
                key_hash,
                reply,
            } => {
                let owner = status::owner(self.spread.view(), &service, key_hash);
                let _ = reply.try_send(owner);
            }
            Ask::Accepted(number) => self.spread(now, spread::Input::Accepted(number)),
            Ask::Ready(reply) => {
                let _ = reply.try_send(!self.stopping && self.spread.is_ready(now));
            }
        }
    }

    fn answer_status(&mut self, due: impl Fn(Instant) -> bool) {
        let (answered, waiting) = self.curious.drain(..).partition(|(at, _)| due(*at));
        self.curious = waiting;
        let answered: Vec<(Instant, Sender<Status>)> = answered;
        for (_, reply) in answered {
            let _ = reply.try_send(status::status(&self.me.vm, &self.spread, &self.groups));
        }
    }

    fn stop(&mut self, now: Instant) {
        self.stopping = true;
        let actions = self.groups.hand_over(now);
        self.act(now, actions);
    }
}
