//! The control thread: handles one event at a time and performs the actions that the state machines
//! return.

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
use crate::control::remote_calls::RemoteCalls;
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

/// The state of the control thread, with its links and remote calls.
pub struct Control<P> {
    pub(super) me: Member,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) state_sync: StateSync,
    pub(super) groups: Groups,
    pub(super) links: Links,
    pub(super) open_links: BTreeMap<LinkId, OpenLink>,
    pub(super) remote_calls: RemoteCalls<P>,
    /// Inputs for `state_sync` that wait until the current one is handled.
    pub(super) pending_inputs: VecDeque<state_sync::Input>,
    /// Status requests, with the time at which each is answered at the latest.
    pub(super) status_requests: Vec<(Instant, Sender<Status>)>,
    pub(super) stopping: bool,
}

pub(super) struct OpenLink {
    pub(super) vm: VmId,
    pub(super) outbox: Outbox,
}

impl<P: Table + VmList + 'static> Control<P> {
    /// Creates the state without groups and open links.
    pub fn new(
        me: Member,
        clock: Arc<dyn Clock>,
        state_sync: StateSync,
        links: Links,
        remote_calls: RemoteCalls<P>,
    ) -> Self {
        Self {
            groups: Groups::new(me.clone()),
            me,
            clock,
            state_sync,
            links,
            open_links: BTreeMap::new(),
            remote_calls,
            pending_inputs: VecDeque::new(),
            status_requests: Vec::new(),
            stopping: false,
        }
    }

    /// Returns true if the process is stopping and the control of all groups is handed over.
    pub fn is_done(&self) -> bool {
        self.stopping && self.groups.may_stop()
    }

    /// Returns the time of the earliest tick that a group has requested.
    pub fn next_tick(&self) -> Option<Instant> {
        self.groups.next_tick()
    }

    /// Handles one event.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Request(request) => self.answer_request(now, request),
            Event::LinkOpened {
                link,
                hello,
                dialled,
                outbox,
            } => self.link_opened(now, link, hello, dialled, outbox),
            Event::LinkClosed(link) => {
                self.open_links.remove(&link);
                self.sync_state(now, state_sync::Input::LinkClosed(link));
                self.reconcile(now);
            }
            Event::Received { link, message } => self.received(now, link, message),
            Event::StateSync(input) => self.sync_state(now, input),
            Event::Group { group, input } => {
                let actions = self.groups.handle(now, &group, input);
                self.perform_group_actions(now, actions);
            }
            Event::Stop => self.stop(now),
        }
    }

    /// Handles the regular tick: runs all state machines and answers status requests that are due.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.sync_state(now, state_sync::Input::Tick);
        self.reconcile(now);
        self.answer_status_requests(|at| at <= now);
        self.tick_groups();
    }

    /// Passes a tick to the groups whose next tick is due.
    pub fn tick_groups(&mut self) {
        let now = self.clock.now();
        let actions = self.groups.tick(now);
        self.perform_group_actions(now, actions);
    }

    fn link_opened(
        &mut self,
        now: Instant,
        link: LinkId,
        hello: Hello,
        dialled: bool,
        outbox: Outbox,
    ) {
        let vm = hello.vm.clone();
        self.open_links.insert(link, OpenLink { vm, outbox });
        let input = state_sync::Input::LinkOpened {
            link,
            hello,
            dialled,
        };
        self.sync_state(now, input);
        self.reconcile(now);
    }

    fn received(&mut self, now: Instant, link: LinkId, message: Message) {
        let Some(open) = self.open_links.get(&link) else {
            return;
        };
        let from = open.vm.clone();
        let actions = match message {
            Message::Owner { group, message } => {
                let input = group::Input::Peer { from, message };
                self.groups.handle(now, &group, input)
            }
            message => {
                // Only samples of the entry on this VM are used; other entries report to the
                // controllers on their own VMs.
                let actions = match &message {
                    Message::Report(report) if from == self.me.vm => {
                        self.groups.record_loads(now, report)
                    }
                    _ => Vec::new(),
                };
                self.sync_state(now, state_sync::Input::Received { link, message });
                actions
            }
        };
        self.perform_group_actions(now, actions);
    }

    // Updates the groups, their peers and the required links after a change of links or members.
    fn reconcile(&mut self, now: Instant) {
        let state = &self.state_sync.view().state;
        let actions = self.groups.reconcile(now, state, self.state_sync.members());
        self.perform_group_actions(now, actions);
        let actions = self.groups.set_peers(now, self.peers());
        self.perform_group_actions(now, actions);
        let required = self.groups.required_links();
        self.sync_state(now, state_sync::Input::RequireLinks(required));
    }

    fn peers(&self) -> Vec<group::Peer> {
        let members = self.state_sync.members();
        let is_leaving = |vm: &VmId| {
            let entry = members.entry(vm);
            entry.is_some_and(|entry| entry.state == VmState::Leaving)
        };
        let linked = self.state_sync.linked_controllers().map(|hello| Member {
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

    // Handling an input may queue more: the actions of `state_sync` run the groups, and changes that
    // groups publish are inputs for `state_sync`. Runs until the queue is empty.
    pub(super) fn sync_state(&mut self, now: Instant, input: state_sync::Input) {
        self.pending_inputs.push_back(input);
        while let Some(input) = self.pending_inputs.pop_front() {
            for action in self.state_sync.handle(now, input) {
                self.perform(now, action);
            }
        }
    }

    fn stop(&mut self, now: Instant) {
        self.stopping = true;
        let actions = self.groups.hand_over(now);
        self.perform_group_actions(now, actions);
    }
}
