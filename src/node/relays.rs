//! The other nodes that pass requests on to targets which this node does not reach.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::ids::TargetId;
use crate::ids::VmId;
use crate::node::fleet::Target;

/// Cost of a node in another data centre, in requests in flight at it: traffic between data centres is
/// billed by the byte.
const REMOTE_COST: f64 = 6.0;

/// Another node that is alive and not stranded.
#[derive(Clone, Debug)]
pub struct RelayNode {
    /// Its name.
    pub name: VmId,
    /// The address on which it accepts requests of other nodes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version of its rules, by its last heartbeat.
    pub rules: u64,
}

/// What the node must fulfil to which a request is passed on.
#[derive(Clone, Copy, Debug)]
pub struct RelayCriteria<'a> {
    /// The data centre whose nodes are preferred.
    pub data_centre: &'a DataCentre,
    /// The version of the rules by which the request was routed; the node must apply the same.
    pub rules: u64,
    /// The nodes and targets to which the request was already sent.
    pub tried: &'a [TargetId],
    /// Current time.
    pub now: Instant,
}

#[derive(Debug)]
struct Relay {
    target: Rc<Target>,
    rules: u64,
}

/// The nodes that this node may pass requests to.
#[derive(Debug, Default)]
pub struct Relays(RefCell<BTreeMap<VmId, Relay>>);

impl Relays {
    /// Replaces the nodes; those that stay keep their requests in flight and their failures.
    pub fn set(&self, nodes: Vec<RelayNode>, now: Instant) {
        let mut relays = self.0.borrow_mut();
        let mut old = std::mem::take(&mut *relays);
        for node in nodes {
            let known = old.remove(&node.name);
            let known = known.map(|relay| relay.target);
            let known = known.filter(|target| target.entry.address == node.address);
            let target = known.unwrap_or_else(|| {
                let target = Target::relay(&node.name, node.address, node.data_centre, now);
                Rc::new(target)
            });
            let rules = node.rules;
            relays.insert(node.name, Relay { target, rules });
        }
    }

    /// Returns the least loaded node that fulfils the criteria, for which `reaches` is true and that has
    /// not failed just now. `random` returns numbers from 0 to 1.
    pub fn choose(
        &self,
        criteria: &RelayCriteria<'_>,
        reaches: impl Fn(&VmId) -> bool,
        mut random: impl FnMut() -> f64,
    ) -> Option<Rc<Target>> {
        let relays = self.0.borrow();
        let able = relays.iter().filter(|(name, relay)| {
            relay.rules == criteria.rules
                && !relay.target.is_ejected(criteria.now)
                && !criteria.tried.contains(&relay.target.entry.id)
                && reaches(name)
        });
        let costed = able.map(|(_, Relay { target, .. })| {
            let remote = match target.entry.data_centre == *criteria.data_centre {
                true => 0.0,
                false => REMOTE_COST,
            };
            (
                f64::from(target.in_flight.get()) + remote + random(),
                target,
            )
        });
        let best = costed.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, target)| target.clone())
    }

    /// Returns the number of nodes for which `reaches` is true.
    pub fn count(&self, reaches: impl Fn(&VmId) -> bool) -> usize {
        self.0.borrow().keys().filter(|name| reaches(name)).count()
    }
}
