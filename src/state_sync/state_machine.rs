//! State machine that keeps one VM's view up to date. It does no I/O: it turns inputs into actions.

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
use crate::state_sync::recent::RecentChanges;
use crate::view::View;
use crate::view::ViewChange;

/// Interval between two reads of the table by a relay.
const TABLE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two reads of the table when a newer number is known to exist.
const MIN_TABLE_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between two reads of the platform's list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two reads of the platform's list per listed VM.
const VM_LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(150);

/// Returns the interval at which a VM reads the platform's list; it grows with the length of the
/// list.
pub fn vm_list_interval(vms: usize) -> Duration {
    VM_LIST_INTERVAL.max(VM_LIST_INTERVAL_PER_VM * vms as u32)
}

/// Keeps one VM's view up to date: reads the table if it is a relay, and exchanges changes,
/// summaries and censuses with peers.
#[derive(Debug)]
pub struct StateSync {
    pub(super) conf: StateSyncConf,
    pub(super) view: View,
    pub(super) recent: RecentChanges,
    pub(super) members: Members,
    pub(super) required_links: BTreeSet<VmId>,
    pub(super) topology: Topology,
    pub(super) replan_at: Option<Instant>,
    pub(super) links: BTreeMap<LinkId, Peer>,
    pub(super) dialling: BTreeMap<VmId, Instant>,
    pub(super) readiness: Readiness,
    pub(super) census_by_data_centre: Vec<Census>,
    pub(super) crashes: CrashTracker,
    pub(super) crashes_sent_version: u64,
    pub(super) next_crash_report: Instant,
    pub(super) next_seed_dial: Instant,
    pub(super) next_census: Instant,
    next_table_read: Instant,
    next_vm_list_read: Instant,
}

impl StateSync {
    /// Creates the state machine with an empty view.
    pub fn new(conf: StateSyncConf, now: Instant) -> Self {
        // Spreads the reads of VMs that start together over the interval.
        let phase = score("phase", &conf.vm) % TABLE_INTERVAL.as_millis() as u64;
        let phase = Duration::from_millis(phase);
        Self {
            readiness: Readiness::new(now, conf.stale_limit),
            conf,
            view: View::default(),
            recent: RecentChanges::default(),
            members: Members::default(),
            required_links: BTreeSet::new(),
            topology: Topology::default(),
            replan_at: Some(now),
            links: BTreeMap::new(),
            dialling: BTreeMap::new(),
            census_by_data_centre: Vec::new(),
            crashes: CrashTracker::default(),
            crashes_sent_version: 0,
            next_crash_report: now,
            next_seed_dial: now + VM_LIST_INTERVAL,
            next_census: now + phase,
            next_table_read: now + phase,
            next_vm_list_read: now,
        }
    }

    /// Returns the VM's current view of the state in force and of all groups.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the known VMs and which of them are presumed alive.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the last census of every data centre that reported one.
    pub fn census_by_data_centre(&self) -> &[Census] {
        &self.census_by_data_centre
    }

    /// Returns true if this VM is a relay, which reads the table on behalf of other VMs.
    pub fn is_relay(&self) -> bool {
        self.topology.is_relay()
    }

    /// Returns true if this VM may serve; see [`Readiness::is_ready`].
    pub fn is_ready(&self, now: Instant) -> bool {
        self.readiness.is_ready(now)
    }

    /// Returns the hellos of the controllers to which a link is open.
    pub fn linked_controllers(&self) -> impl Iterator<Item = &Hello> {
        let peers = self.links.values().map(|peer| &peer.hello);
        peers.filter(|hello| hello.role == Role::Controller)
    }

    /// Returns the preferred open link to a VM's controller.
    pub fn link_to(&self, vm: &VmId) -> Option<LinkId> {
        let links = self.links.iter();
        let matches = |peer: &Peer| peer.vm == *vm && peer.role == Role::Controller;
        let open = links.filter(|(_, peer)| matches(peer));
        // If both sides opened a link, both choose the one opened by the VM with the lower name,
        // and the newest of those.
        let best =
            open.max_by_key(|(link, peer)| (peer.dialled == (self.conf.vm < peer.vm), **link));
        best.map(|(link, _)| *link)
    }

    /// Handles one input and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut out),
            Input::VmList(list) => self.on_vm_list(now, list, &mut out),
            Input::RequireLinks(vms) => self.required_links = vms,
            Input::LinkOpened {
                link,
                hello,
                dialled,
            } => self.on_link_opened(now, link, hello, dialled, &mut out),
            Input::LinkClosed(link) => self.on_link_closed(now, link),
            Input::DialFailed(vm) => self.on_dial_failed(now, &vm),
            Input::Received { link, message } => self.on_message(now, link, message, &mut out),
            Input::LocalChange(change) => {
                self.apply_changes(now, Source::Local, None, vec![change], &mut out)
            }
            Input::StateRead(result) => self.on_state_read(now, result, &mut out),
            Input::TicketAccepted(number) => self.on_ticket_accepted(number, &mut out),
            Input::QueryCensus => self.query_census(now, None, &mut out),
        }
        out
    }

    /// Summarises the view for comparison by peers.
    pub(super) fn summary(&self, now: Instant) -> Summary {
        let age = self.readiness.age(now);
        Summary::of(&self.view, age.map(|age| age.as_millis() as u64))
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now >= self.next_vm_list_read {
            self.next_vm_list_read = now + vm_list_interval(self.members.count());
            out.push(Action::ReadVmList);
        }
        if now >= self.next_table_read {
            self.next_table_read = now + TABLE_INTERVAL;
            self.read_table(out);
        }
        self.maintain_links(now, out);
        self.send_summaries(now, out);
        self.send_new_crashes(now, out);
        self.send_due_census(now, out);
        self.confirm_by_relays(now);
        self.check_sources(now);
    }

    fn on_ticket_accepted(&self, number: TicketNumber, out: &mut Vec<Action>) {
        let held = self.view.state.number;
        if number > held {
            let verify = false;
            out.push(Action::ReadState { held, verify });
        }
    }

    /// Brings the next read of the table forward, but not closer than [`MIN_TABLE_INTERVAL`] to the
    /// last one.
    pub(super) fn read_table_soon(&mut self, now: Instant) {
        let last = self.next_table_read.checked_sub(TABLE_INTERVAL);
        let earliest = last.map_or(now, |last| last + MIN_TABLE_INTERVAL);
        self.next_table_read = self.next_table_read.min(earliest.max(now));
    }

    fn read_table(&self, out: &mut Vec<Action>) {
        let verify = !self.readiness.is_started();
        if verify || self.is_relay() {
            let held = self.view.state.number;
            out.push(Action::ReadState { held, verify });
        }
    }

    fn on_vm_list(&mut self, now: Instant, list: Arc<VmDirectory>, out: &mut Vec<Action>) {
        if self.members.update_list(list) {
            self.replan_at = Some(now);
            self.send_ranks(out);
        }
    }

    fn on_state_read(&mut self, now: Instant, result: StateRead, out: &mut Vec<Action>) {
        let (number, verified) = match result {
            StateRead::Failed => return self.readiness.record_table_failure(),
            StateRead::NotNewer { number, verified } => (number, verified),
            StateRead::Newer { state, verified } => {
                let number = state.number;
                let change = self.change_to(state);
                let source = match self.is_relay() {
                    true => Source::Table,
                    false => Source::Local,
                };
                self.apply_changes(now, source, None, vec![change], out);
                (number, verified)
            }
        };
        let held = self.view.state.number;
        // A read with a lower number than the one held is stale: it came from a replica that lags.
        let current = number == held && self.readiness.is_started();
        if (verified && number <= held) || current {
            self.readiness.record_table_confirmation(now, verified);
        } else {
            self.readiness.record_table_failure();
        }
    }

    // Returns the services that differ from the state held, or the full state if none is held.
    fn change_to(&self, state: crate::ticket::InForce) -> ViewChange {
        let held = &self.view.state;
        if held.services.is_empty() {
            return ViewChange::State(state);
        }
        let changed = state.services.iter();
        let changed = changed.filter(|(name, service)| held.services.get(*name) != Some(*service));
        let changed = changed.map(|(name, service)| (name.clone(), Some(service.clone())));
        let removed = held.services.keys();
        let removed = removed.filter(|name| !state.services.contains_key(*name));
        let services = changed.chain(removed.map(|name| (name.clone(), None)));
        ViewChange::Services {
            base: held.number,
            number: state.number,
            services: services.collect(),
        }
    }

    fn on_message(&mut self, now: Instant, link: LinkId, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Changes(changes) => self.on_changes(now, link, changes, out),
            Message::Digest(digest) => self.on_digest(link, &digest, out),
            Message::Summary(summary) => self.on_summary(now, link, summary),
            Message::Crashes(report) => self.on_crash_report(now, &report),
            Message::Subscribe(feed) => self.on_subscribe(now, link, feed),
            Message::Report(report) => self.on_entry_report(link, &report),
            Message::Census(census) => self.on_census(now, link, census),
            Message::AskCentres => self.query_census(now, Some(link), out),
            Message::Centres(censuses) => self.on_census_by_data_centre(now, censuses, out),
            _ => {}
        }
    }
}
