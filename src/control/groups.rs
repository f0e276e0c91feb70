//! The groups that this VM controls or may come to control.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::GroupId;
use crate::ids::VmId;
use crate::member::Members;
use crate::member::candidates;
use crate::owner::group::Action;
use crate::owner::group::Group;
use crate::owner::group::GroupConf;
use crate::owner::group::Input;
use crate::owner::group::Peer;
use crate::owner::message::Member;
use crate::owner::right::VouchPolicy;
use crate::ticket::InForce;
use crate::ticket::Service;

/// VMs that stand ready to control one group.
const CANDIDATES: usize = 5;

/// What one group asks for.
pub struct GroupAction {
    /// The group.
    pub group: GroupId,
    /// What to do.
    pub action: Action,
}

/// The state machines of the groups on this VM.
pub struct Groups {
    me: Member,
    running: BTreeMap<GroupId, Group>,
    services: BTreeMap<GroupId, Option<Service>>,
    peers: Vec<Peer>,
}

impl Groups {
    /// Starts without groups.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            running: BTreeMap::new(),
            services: BTreeMap::new(),
            peers: Vec::new(),
        }
    }

    /// Returns the state machine of a group.
    pub fn get(&self, group: &GroupId) -> Option<&Group> {
        self.running.get(group)
    }

    /// Tells one group something.
    pub fn tell(&mut self, now: Instant, group: &GroupId, input: Input) -> Vec<GroupAction> {
        let Some(machine) = self.running.get_mut(group) else {
            return Vec::new();
        };
        named(group, machine.handle(now, input))
    }

    /// Lets time pass for the groups that asked for it.
    pub fn tick(&mut self, now: Instant) -> Vec<GroupAction> {
        let due = self.running.iter();
        let due = due.filter(|(_, machine)| machine.next_tick() <= now);
        let due: Vec<_> = due.map(|(group, _)| group.clone()).collect();
        let ticked = due
            .iter()
            .flat_map(|group| self.tell(now, group, Input::Tick));
        ticked.collect()
    }

    /// Returns when a group next asks for time to pass.
    pub fn next_tick(&self) -> Option<Instant> {
        self.running.values().map(Group::next_tick).min()
    }

    /// Asks the other VMs to take over, before a planned stop.
    pub fn hand_over(&mut self, now: Instant) -> Vec<GroupAction> {
        let mut out = Vec::new();
        for (group, machine) in &mut self.running {
            out.extend(named(group, machine.hand_over(now)));
        }
        out
    }

    /// Returns whether this process can stop without a gap in the control of any group.
    pub fn may_stop(&self) -> bool {
        self.running.values().all(Group::may_stop)
    }

    /// Starts the groups that this VM may come to control, and tells all of what is in force.
    pub fn reconcile(
        &mut self,
        now: Instant,
        state: &InForce,
        members: &Members,
    ) -> Vec<GroupAction> {
        let mut out = Vec::new();
        let keyed = keyed_groups(state);
        for group in keyed.keys() {
            if !self.running.contains_key(group) && self.is_candidate(group, members) {
                out.extend(self.start(now, group));
            }
        }
        let running: Vec<_> = self.running.keys().cloned().collect();
        for group in running {
            let service = keyed.get(&group).map(|service| (*service).clone());
            if self.services.get(&group) != Some(&service) {
                self.services.insert(group.clone(), service.clone());
                out.extend(self.tell(now, &group, Input::Service(service)));
            }
        }
        out
    }

    /// Tells all groups which of our own VMs run, if that changed.
    pub fn set_peers(&mut self, now: Instant, peers: Vec<Peer>) -> Vec<GroupAction> {
        if peers == self.peers {
            return Vec::new();
        }
        self.peers = peers;
        let mut out = Vec::new();
        for (group, machine) in &mut self.running {
            let input = Input::Vms(self.peers.clone());
            out.extend(named(group, machine.handle(now, input)));
        }
        out
    }

    /// Returns the VMs that the groups need links to.
    pub fn wanted(&self, members: &Members) -> BTreeSet<VmId> {
        let mut wanted = BTreeSet::new();
        for (group, machine) in &self.running {
            let name = group.to_string();
            let ready = candidates(&name, members.listed(), CANDIDATES);
            wanted.extend(ready.into_iter().map(|entry| entry.vm.clone()));
            let status = machine.status();
            wanted.extend(status.holder);
            wanted.extend(status.deputies);
        }
        wanted.remove(&self.me.vm);
        wanted
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
        self.tell(now, group, Input::Vms(self.peers.clone()))
    }

    fn is_candidate(&self, group: &GroupId, members: &Members) -> bool {
        let name = group.to_string();
        let ready = candidates(&name, members.listed(), CANDIDATES);
        ready.into_iter().any(|entry| entry.vm == self.me.vm)
    }
}

fn named(group: &GroupId, actions: Vec<Action>) -> Vec<GroupAction> {
    let named = actions.into_iter().map(|action| GroupAction {
        group: group.clone(),
        action,
    });
    named.collect()
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
