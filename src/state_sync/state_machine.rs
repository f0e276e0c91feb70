//! The state machine that keeps one VM's view up to date.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::TicketNumber;
use crate::ids::VmId;
use crate::link::Hello;
use crate::link::Message;
use crate::link::Role;
use crate::member::Members;
use crate::member::VmDirectory;
use crate::member::score;
use crate::route::CrashTracker;
use crate::state_sync::Action;
use crate::state_sync::Census;
use crate::state_sync::Input;
use crate::state_sync::LinkId;
use crate::state_sync::Readiness;
use crate::state_sync::StateRead;
use crate::state_sync::StateSyncConf;
use crate::state_sync::Summary;
use crate::state_sync::Topology;
use crate::state_sync::peer::Peer;
use crate::state_sync::peer::Source;
use crate::state_sync::recent::Recent;
use crate::view::View;
use crate::view::ViewChange;

const TABLE_INTERVAL: Duration = Duration::from_secs(1);
const TABLE_PAUSE: Duration = Duration::from_millis(250);
const LIST_INTERVAL: Duration = Duration::from_secs(2);
const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(150);

/// Returns how often a VM reads the platform's list: the longer the list, the less often.
pub fn vm_list_interval(vms: usize) -> Duration {
    LIST_INTERVAL.max(LIST_INTERVAL_PER_VM * vms as u32)
}

/// Keeps one VM's view up to date.
#[derive(Debug)]
pub struct StateSync {
    pub(super) conf: StateSyncConf,
    pub(super) view: View,
    pub(super) recent: Recent,
    pub(super) members: Members,
    pub(super) wanted: BTreeSet<VmId>,
    pub(super) topology: Topology,
    pub(super) replan_at: Option<Instant>,
    pub(super) links: BTreeMap<LinkId, Peer>,
    pub(super) dialling: BTreeMap<VmId, Instant>,
    pub(super) ready: Readiness,
    pub(super) centres: Vec<Census>,
    pub(super) crashes: CrashTracker,
    pub(super) crashes_told: u64,
    pub(super) crashes_at: Instant,
    pub(super) seeds_at: Instant,
    pub(super) count_at: Instant,
    table_at: Instant,
    list_at: Instant,
}

impl StateSync {
    /// Starts with an empty view.
    pub fn new(conf: StateSyncConf, now: Instant) -> Self {
        // VMs that start together do not read together.
        let phase = score("phase", &conf.vm) % TABLE_INTERVAL.as_millis() as u64;
        let phase = Duration::from_millis(phase);
        Self {
            ready: Readiness::new(now, conf.stale_limit),
            conf,
            view: View::default(),
            recent: Recent::default(),
            members: Members::default(),
            wanted: BTreeSet::new(),
            topology: Topology::default(),
            replan_at: Some(now),
            links: BTreeMap::new(),
            dialling: BTreeMap::new(),
            centres: Vec::new(),
            crashes: CrashTracker::default(),
            crashes_told: 0,
            crashes_at: now,
            seeds_at: now + LIST_INTERVAL,
            count_at: now + phase,
            table_at: now + phase,
            list_at: now,
        }
    }

    /// Returns the view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the VMs as this VM knows them.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the numbers in force in every data centre heard of.
    pub fn census_by_data_centre(&self) -> &[Census] {
        &self.centres
    }

    /// Returns whether this VM reads the table for others.
    pub fn is_relay(&self) -> bool {
        self.topology.is_relay()
    }

    /// Returns whether this VM may serve.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.ready.is_ready(now)
    }

    /// Returns the controllers that a link is open to.
    pub fn linked_controllers(&self) -> impl Iterator<Item = &Hello> {
        let peers = self.links.values().map(|peer| &peer.hello);
        peers.filter(|hello| hello.role == Role::Controller)
    }

    /// Returns an open link to a VM's controller.
    pub fn link_to(&self, vm: &VmId) -> Option<LinkId> {
        let links = self.links.iter();
        let fits = |peer: &Peer| peer.vm == *vm && peer.role == Role::Controller;
        let open = links.filter(|(_, peer)| fits(peer));
        // Both sides choose alike where both opened one: the lower name's, and the newest of it.
        let best =
            open.max_by_key(|(link, peer)| (peer.dialled == (self.conf.vm < peer.vm), **link));
        best.map(|(link, _)| *link)
    }

    /// Takes one input; returns what to do.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut out),
            Input::VmList(list) => self.take_list(now, list, &mut out),
            Input::RequireLinks(vms) => self.wanted = vms,
            Input::LinkOpened {
                link,
                hello,
                dialled,
            } => self.linked_up(now, link, hello, dialled, &mut out),
            Input::LinkClosed(link) => self.unlinked(now, link),
            Input::DialFailed(vm) => self.unreachable(now, &vm),
            Input::Received { link, message } => self.received(now, link, message, &mut out),
            Input::LocalChange(change) => {
                self.learn(now, Source::Local, None, vec![change], &mut out)
            }
            Input::StateRead(answer) => self.table_answered(now, answer, &mut out),
            Input::TicketAccepted(number) => self.accepted(number, &mut out),
            Input::QueryCensus => self.ask_centres(now, None, &mut out),
        }
        out
    }

    /// Returns what the view holds, in short.
    pub(super) fn summary(&self, now: Instant) -> Summary {
        let age = self.ready.age(now);
        Summary::of(&self.view, age.map(|age| age.as_millis() as u64))
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now >= self.list_at {
            self.list_at = now + vm_list_interval(self.members.count());
            out.push(Action::ReadVmList);
        }
        if now >= self.table_at {
            self.table_at = now + TABLE_INTERVAL;
            self.read_table(out);
        }
        self.maintain_links(now, out);
        self.sum_up(now, out);
        self.tell_crashes(now, out);
        self.count(now, out);
        self.confirm_by_relays(now);
        self.check_peers(now);
    }

    fn accepted(&self, number: TicketNumber, out: &mut Vec<Action>) {
        let held = self.view.state.number;
        if number > held {
            let verify = false;
            out.push(Action::ReadState { held, verify });
        }
    }

    /// Reads the table at the next tick rather than later, though not at every tick.
    pub(super) fn read_table_soon(&mut self, now: Instant) {
        let last = self.table_at.checked_sub(TABLE_INTERVAL);
        let again = last.map_or(now, |last| last + TABLE_PAUSE);
        self.table_at = self.table_at.min(again.max(now));
    }

    fn read_table(&self, out: &mut Vec<Action>) {
        let verify = !self.ready.is_started();
        if verify || self.is_relay() {
            let held = self.view.state.number;
            out.push(Action::ReadState { held, verify });
        }
    }

    fn take_list(&mut self, now: Instant, list: Arc<VmDirectory>, out: &mut Vec<Action>) {
        if self.members.update_list(list) {
            self.replan_at = Some(now);
            self.tell_ranks(out);
        }
    }

    fn table_answered(&mut self, now: Instant, answer: StateRead, out: &mut Vec<Action>) {
        let (number, verified) = match answer {
            StateRead::Failed => return self.ready.table_fails(),
            StateRead::NotNewer { number, verified } => (number, verified),
            StateRead::Newer { state, verified } => {
                let number = state.number;
                let change = self.step_to(state);
                let source = match self.is_relay() {
                    true => Source::Table,
                    false => Source::Local,
                };
                self.learn(now, source, None, vec![change], out);
                (number, verified)
            }
        };
        let held = self.view.state.number;
        // A read below what is held came from a replica that lags.
        let current = number == held && self.ready.is_started();
        if (verified && number <= held) || current {
            self.ready.table_confirms(now, verified);
        } else {
            self.ready.table_fails();
        }
    }

    // The services that differ, where there is a state to differ from.
    fn step_to(&self, state: crate::ticket::InForce) -> ViewChange {
        let held = &self.view.state;
        if held.services.is_empty() {
            return ViewChange::State(state);
        }
        let changed = state.services.iter();
        let changed = changed.filter(|(name, service)| held.services.get(*name) != Some(*service));
        let changed = changed.map(|(name, service)| (name.clone(), Some(service.clone())));
        let gone = held.services.keys();
        let gone = gone.filter(|name| !state.services.contains_key(*name));
        let services = changed.chain(gone.map(|name| (name.clone(), None)));
        ViewChange::Services {
            base: held.number,
            number: state.number,
            services: services.collect(),
        }
    }

    fn received(&mut self, now: Instant, link: LinkId, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Changes(changes) => self.take_changes(now, link, changes, out),
            Message::Digest(digest) => self.take_digest(link, &digest, out),
            Message::Summary(summary) => self.take_summary(now, link, summary),
            Message::Crashes(report) => self.take_crashes(now, &report),
            Message::Subscribe(feed) => self.subscribed(now, link, feed),
            Message::Report(report) => self.take_report(link, &report),
            Message::Census(census) => self.take_census(now, link, census),
            Message::AskCentres => self.ask_centres(now, Some(link), out),
            Message::Centres(centres) => self.take_centres(now, centres, out),
            _ => {}
        }
    }
}
