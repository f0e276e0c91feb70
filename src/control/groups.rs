//! Runs the state machines of the groups for which this VM is the controller or a candidate.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::GroupId;
use crate::ids::TicketNumber;
use crate::ids::VmId;
use crate::link::EntryReport;
use crate::member::Members;
use crate::member::candidates;
use crate::owner::authority::VouchPolicy;
use crate::owner::group::Action;
use crate::owner::group::Group;
use crate::owner::group::GroupConf;
use crate::owner::group::Input;
use crate::owner::group::Peer;
use crate::owner::loads::Loads;
use crate::owner::message::Member;
use crate::ticket::InForce;
use crate::ticket::Service;

/// VMs that are candidates for the control of one group.
const CANDIDATES_PER_GROUP: usize = 5;

/// An action that a group requests.
pub struct GroupAction {
    /// The group that requests it.
    pub group: GroupId,
    /// The requested action.
    pub action: Action,
}

/// The state machines of all groups on this VM.
pub struct Groups {
    me: Member,
    running: BTreeMap<GroupId, Group>,
    services: BTreeMap<GroupId, Option<Service>>,
    peers: Vec<Peer>,
    /// The candidates of each group, ranked at `ranked_versions`.
    candidates: BTreeMap<GroupId, BTreeSet<VmId>>,
    /// The versions of the list of VMs and of the state in force at the last ranking.
    ranked_versions: (u64, TicketNumber),
}

impl Groups {
    /// Creates an instance without groups.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            running: BTreeMap::new(),
            services: BTreeMap::new(),
            peers: Vec::new(),
            candidates: BTreeMap::new(),
            ranked_versions: (0, TicketNumber(0)),
        }
    }

    /// Returns the state machine of a group, if it runs on this VM.
    pub fn get(&self, group: &GroupId) -> Option<&Group> {
        self.running.get(group)
    }

    /// Passes an input to a group; ignored if the group does not run on this VM.
    pub fn handle(&mut self, now: Instant, group: &GroupId, input: Input) -> Vec<GroupAction> {
        let Some(machine) = self.running.get_mut(group) else {
            return Vec::new();
        };
        with_group(group, machine.handle(now, input))
    }

    /// Passes the request rates that the entry on this VM measured to the groups of keyed services.
    pub fn record_loads(&mut self, now: Instant, report: &EntryReport) -> Vec<GroupAction> {
        let mut out = Vec::new();
        for (group, machine) in &mut self.running {
            let service = self.services.get(group).and_then(Option::as_ref);
            let Some(keying) = service.and_then(|service| service.keying.as_ref()) else {
                continue;
            };
            let loads = Loads::of_group(report, group, keying);
            out.extend(with_group(group, machine.handle(now, Input::Loads(loads))));
        }
        out
    }

    /// Passes a tick to the groups whose next tick is due.
    pub fn tick(&mut self, now: Instant) -> Vec<GroupAction> {
        let due = self.running.iter();
        let due = due.filter(|(_, machine)| machine.next_tick() <= now);
        let due: Vec<_> = due.map(|(group, _)| group.clone()).collect();
        let ticked = due
            .iter()
            .flat_map(|group| self.handle(now, group, Input::Tick));
        ticked.collect()
    }

    /// Returns the time of the earliest tick that a group has requested.
    pub fn next_tick(&self) -> Option<Instant> {
        self.running.values().map(Group::next_tick).min()
    }

    /// Starts to hand over the control of all groups to other VMs, before a planned stop.
    pub fn hand_over(&mut self, now: Instant) -> Vec<GroupAction> {
        let mut out = Vec::new();
        for (group, machine) in &mut self.running {
            out.extend(with_group(group, machine.hand_over(now)));
        }
        out
    }

    /// Returns true if this process can stop without interrupting the control of any group.
    pub fn may_stop(&self) -> bool {
        self.running.values().all(Group::may_stop)
    }

    /// Starts the groups for which this VM has become a candidate, and passes changed service
    /// definitions to all groups.
    pub fn reconcile(
        &mut self,
        now: Instant,
        state: &InForce,
        members: &Members,
    ) -> Vec<GroupAction> {
        let mut out = Vec::new();
        let ranked_versions = (members.version(), state.number);
        if ranked_versions == self.ranked_versions {
            return out;
        }
        self.ranked_versions = ranked_versions;
        let keyed = keyed_groups(state);
        self.rank_candidates(keyed.keys(), members);
        for group in keyed.keys() {
            if !self.running.contains_key(group) && self.is_candidate(group) {
                out.extend(self.start(now, group));
            }
        }
        let running: Vec<_> = self.running.keys().cloned().collect();
        for group in running {
            let service = keyed.get(&group).map(|service| (*service).clone());
            if self.services.get(&group) != Some(&service) {
                self.services.insert(group.clone(), service.clone());
                out.extend(self.handle(now, &group, Input::Service(service)));
            }
        }
        out
    }

    /// Passes the list of controllers (this VM and those it has links to) to all groups, if it has
    /// changed.
    pub fn set_peers(&mut self, now: Instant, peers: Vec<Peer>) -> Vec<GroupAction> {
        if peers == self.peers {
            return Vec::new();
        }
        self.peers = peers;
        let mut out = Vec::new();
        for (group, machine) in &mut self.running {
            let input = Input::Vms(self.peers.clone());
            out.extend(with_group(group, machine.handle(now, input)));
        }
        out
    }

    /// Returns the VMs to which the groups require links.
    pub fn required_links(&self) -> BTreeSet<VmId> {
        let mut required = BTreeSet::new();
        for (group, machine) in &self.running {
            let ranked = self.candidates.get(group);
            required.extend(ranked.into_iter().flatten().cloned());
            let status = machine.status();
            required.extend(status.holder);
            required.extend(status.deputies);
        }
        required.remove(&self.me.vm);
        required
    }

    fn start(&mut self, now: Instant, group: &GroupId) -> Vec<GroupAction> {
        let conf = GroupConf {
            group: group.clone(),
            me: self.me.vm.clone(),
            boot: self.me.boot,
            data_centre: self.me.data_centre.clone(),
            policy: VouchPolicy::default(),
        };
        let machine = Group::new(now, conf, rand::random());
        self.running.insert(group.clone(), machine);
        self.handle(now, group, Input::Vms(self.peers.clone()))
    }

    // Ranks every VM for every group. This is slow with the largest supported number of VMs and
    // groups, so it is called only after changes.
    fn rank_candidates<'a>(
        &mut self,
        groups: impl Iterator<Item = &'a GroupId>,
        members: &Members,
    ) {
        let ranked = groups.map(|group| {
            let best = candidates(&group.to_string(), members.listed(), CANDIDATES_PER_GROUP);
            let names = best.into_iter().map(|entry| entry.vm.clone());
            (group.clone(), names.collect())
        });
        self.candidates = ranked.collect();
    }

    fn is_candidate(&self, group: &GroupId) -> bool {
        let ranked = self.candidates.get(group);
        ranked.is_some_and(|ranked| ranked.contains(&self.me.vm))
    }
}

fn with_group(group: &GroupId, actions: Vec<Action>) -> Vec<GroupAction> {
    let group_actions = actions.into_iter().map(|action| GroupAction {
        group: group.clone(),
        action,
    });
    group_actions.collect()
}

fn keyed_groups(state: &InForce) -> BTreeMap<GroupId, &Service> {
    let mut groups = BTreeMap::new();
    for (name, service) in &state.services {
        let count = service.keying.as_ref().map_or(0, |keying| keying.groups);
        for index in 0..count {
            let service_id = name.clone();
            let group = GroupId {
                service: service_id,
                index,
            };
            groups.insert(group, service);
        }
    }
    groups
}
