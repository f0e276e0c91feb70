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
use crate::member::VmTable;
use crate::member::score;
use crate::spread::Action;
use crate::spread::Census;
use crate::spread::Input;
use crate::spread::LinkId;
use crate::spread::Plan;
use crate::spread::Readiness;
use crate::spread::SpreadConf;
use crate::spread::Summary;
use crate::spread::TableAnswer;
use crate::spread::peer::Peer;
use crate::spread::peer::Source;
use crate::spread::recent::Recent;
use crate::view::View;
use crate::view::ViewChange;

const TABLE_INTERVAL: Duration = Duration::from_secs(1);
const TABLE_PAUSE: Duration = Duration::from_millis(250);
const LIST_INTERVAL: Duration = Duration::from_secs(2);
const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(30);

/// Keeps one VM's view up to date.
#[derive(Debug)]
pub struct Spread {
    pub(super) conf: SpreadConf,
    pub(super) view: View,
    pub(super) recent: Recent,
    pub(super) members: Members,
    pub(super) wanted: BTreeSet<VmId>,
    pub(super) plan: Plan,
    pub(super) replan_at: Option<Instant>,
    pub(super) links: BTreeMap<LinkId, Peer>,
    pub(super) dialling: BTreeMap<VmId, Instant>,
    pub(super) ready: Readiness,
    pub(super) centres: Vec<Census>,
    pub(super) seeds_at: Instant,
    pub(super) count_at: Instant,
    table_at: Instant,
    list_at: Instant,
}

impl Spread {
    /// Starts with an empty view.
    pub fn new(conf: SpreadConf, now: Instant) -> Self {
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
            plan: Plan::default(),
            replan_at: Some(now),
            links: BTreeMap::new(),
            dialling: BTreeMap::new(),
            centres: Vec::new(),
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
    pub fn centres(&self) -> &[Census] {
        &self.centres
    }

    /// Returns whether this VM reads the table for others.
    pub fn is_relay(&self) -> bool {
        self.plan.is_relay()
    }

    /// Returns whether this VM may serve.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.ready.is_ready(now)
    }

    /// Returns the controllers that a link is open to.
    pub fn linked(&self) -> impl Iterator<Item = &Hello> {
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
            Input::Vms(list) => self.take_list(now, list),
            Input::Want(vms) => self.wanted = vms,
            Input::Linked {
                link,
                hello,
                dialled,
            } => self.linked_up(now, link, hello, dialled, &mut out),
            Input::Unlinked(link) => self.unlinked(now, link),
            Input::Unreachable(vm) => self.unreachable(now, &vm),
            Input::Received { link, message } => self.received(now, link, message, &mut out),
            Input::Local(change) => self.learn(now, Source::Local, None, vec![change], &mut out),
            Input::Table(answer) => self.table_answered(now, answer, &mut out),
            Input::Accepted(number) => self.accepted(number, &mut out),
            Input::Count => self.ask_centres(now, None, &mut out),
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
            let count = self.members.count() as u32;
            self.list_at = now + LIST_INTERVAL.max(LIST_INTERVAL_PER_VM * count);
            out.push(Action::ReadVms);
        }
        if now >= self.table_at {
            self.table_at = now + TABLE_INTERVAL;
            self.read_table(out);
        }
        self.maintain_links(now, out);
        self.sum_up(now, out);
        self.count(now, out);
        self.confirm_by_relays(now);
        self.check_peers(now);
    }

    fn accepted(&self, number: TicketNumber, out: &mut Vec<Action>) {
        let held = self.view.state.number;
        if number > held {
            let verify = false;
            out.push(Action::ReadTable { held, verify });
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
            out.push(Action::ReadTable { held, verify });
        }
    }

    fn take_list(&mut self, now: Instant, list: Arc<VmTable>) {
        if self.members.take_list(list) {
            self.replan_at = Some(now);
        }
    }

    fn table_answered(&mut self, now: Instant, answer: TableAnswer, out: &mut Vec<Action>) {
        let (number, verified) = match answer {
            TableAnswer::Failed => return self.ready.table_fails(),
            TableAnswer::Held { number, verified } => (number, verified),
            TableAnswer::Newer { state, verified } => {
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
        // A read below what is held came from a replica that lags.
        if verified || number >= self.view.state.number {
            self.ready.table_confirms(now, verified);
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

    // Without the table, relays of most data centres that hold the same confirm each other.
    fn confirm_by_relays(&mut self, now: Instant) {
        let number = self.view.state.number;
        let agrees = |peer: &&Peer| {
            let summary = peer.recent_summary(now);
            let same = summary.is_some_and(|s| s.number == number && s.age_ms.is_some());
            same && peer.is_mesh()
        };
        let agreeing = self.links.values().filter(agrees);
        let near = &self.conf.data_centre;
        let mut centres: BTreeSet<_> = agreeing.map(|peer| &peer.data_centre).collect();
        if !self.is_relay() || centres.is_empty() {
            return;
        }
        centres.insert(near);
        let listed = self.members.listed().map(|entry| &entry.data_centre);
        let all: BTreeSet<_> = listed.collect();
        if centres.len() * 2 > all.len() {
            self.ready.peer_confirms(now, Duration::ZERO);
        }
    }

    // At the start: whether everybody to take state from was heard and holds nothing newer.
    fn check_peers(&mut self, now: Instant) {
        let number = self.view.state.number;
        if self.ready.is_started() {
            return;
        }
        let sources = self.sources().into_iter();
        let linked: Vec<_> = sources.filter_map(|(vm, _)| self.link_to(&vm)).collect();
        let agrees = |link: &LinkId| {
            let summary = self.links[link].summary;
            summary.is_some_and(|(_, summary)| summary.number <= number)
        };
        let agree = !linked.is_empty() && linked.iter().all(agrees);
        self.ready.peers_agree(now, agree);
    }

    fn received(&mut self, now: Instant, link: LinkId, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Changes(changes) => self.take_changes(now, link, changes, out),
            Message::Digest(digest) => self.take_digest(link, &digest, out),
            Message::Summary(summary) => self.take_summary(now, link, summary),
            Message::Subscribe(feed) => self.subscribed(now, link, feed),
            Message::Report(report) => self.take_report(link, &report),
            Message::Census(census) => self.take_census(now, link, census),
            Message::AskCentres => self.ask_centres(now, Some(link), out),
            Message::Centres(centres) => self.take_centres(now, centres, out),
            _ => {}
        }
    }
}
