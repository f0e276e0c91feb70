//! The control thread: takes events one by one and carries out what the state machines ask for.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use async_std::channel::Sender;

use crate::clock::Clock;
use crate::control::Status;
use crate::control::event::Event;
use crate::control::groups::Groups;
use crate::control::links::Links;
use crate::control::outside::Outside;
use crate::ids::VmId;
use crate::link::Hello;
use crate::link::Message;
use crate::link::Outbox;
use crate::owner::group;
use crate::owner::message::Member;
use crate::platform::Table;
use crate::platform::VmList;
use crate::platform::VmState;
use crate::state_sync;
use crate::state_sync::LinkId;
use crate::state_sync::StateSync;

/// The state that one thread owns, and the ways out of it.
pub struct Control<P> {
    pub(super) me: Member,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) spread: StateSync,
    pub(super) groups: Groups,
    pub(super) links: Links,
    pub(super) open: BTreeMap<LinkId, OpenLink>,
    pub(super) outside: Outside<P>,
    pub(super) pending: VecDeque<state_sync::Input>,
    pub(super) curious: Vec<(Instant, Sender<Status>)>,
    pub(super) stopping: bool,
}

pub(super) struct OpenLink {
    pub(super) vm: VmId,
    pub(super) outbox: Outbox,
}

impl<P: Table + VmList + 'static> Control<P> {
    /// Starts with empty state.
    pub fn new(
        me: Member,
        clock: Arc<dyn Clock>,
        spread: StateSync,
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
                self.spread(now, state_sync::Input::LinkClosed(link));
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
        self.spread(now, state_sync::Input::Tick);
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
        let input = state_sync::Input::LinkOpened {
            link,
            hello,
            dialled,
        };
        self.spread(now, input);
        self.refresh(now);
    }

    fn received(&mut self, now: Instant, link: LinkId, message: Message) {
        let Some(open) = self.open.get(&link) else {
            return;
        };
        let from = open.vm.clone();
        let actions = match message {
            Message::Owner { group, message } => {
                let input = group::Input::Peer { from, message };
                self.groups.tell(now, &group, input)
            }
            message => {
                // The samples of one entry are enough; others' entries tell their own controllers.
                let actions = match &message {
                    Message::Report(report) if from == self.me.vm => self.groups.load(now, report),
                    _ => Vec::new(),
                };
                self.spread(now, state_sync::Input::Received { link, message });
                actions
            }
        };
        self.act(now, actions);
    }

    // Brings groups, wanted links and peers in line with each other.
    fn refresh(&mut self, now: Instant) {
        let state = &self.spread.view().state;
        let actions = self.groups.reconcile(now, state, self.spread.members());
        self.act(now, actions);
        let actions = self.groups.set_peers(now, self.peers());
        self.act(now, actions);
        let wanted = self.groups.wanted();
        self.spread(now, state_sync::Input::RequireLinks(wanted));
    }

    fn peers(&self) -> Vec<group::Peer> {
        let members = self.spread.members();
        let is_leaving = |vm: &VmId| {
            let entry = members.entry(vm);
            entry.is_some_and(|entry| entry.state == VmState::Leaving)
        };
        let linked = self.spread.linked_controllers().map(|hello| Member {
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
    pub(super) fn spread(&mut self, now: Instant, input: state_sync::Input) {
        self.pending.push_back(input);
        while let Some(input) = self.pending.pop_front() {
            for action in self.spread.handle(now, input) {
                self.carry_out(now, action);
            }
        }
    }

    fn stop(&mut self, now: Instant) {
        self.stopping = true;
        let actions = self.groups.hand_over(now);
        self.act(now, actions);
    }
}
