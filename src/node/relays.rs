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
}

/// The nodes that this node may pass requests to.
#[derive(Debug, Default)]
pub struct Relays(RefCell<BTreeMap<VmId, Rc<Target>>>);

impl Relays {
    /// Replaces the nodes; those that stay keep their requests in flight and their failures.
    pub fn set(&self, nodes: Vec<RelayNode>, now: Instant) {
        let mut relays = self.0.borrow_mut();
        let mut old = std::mem::take(&mut *relays);
        for node in nodes {
            let known = old.remove(&node.name);
            let known = known.filter(|relay| relay.entry.address == node.address);
            let relay = known.unwrap_or_else(|| {
                let relay = Target::relay(&node.name, node.address, node.data_centre, now);
                Rc::new(relay)
            });
            relays.insert(node.name, relay);
        }
    }

    /// Returns the least loaded node for which `reaches` is true, that has not failed just now and was
    /// not tried for this request. `random` returns numbers from 0 to 1.
    pub fn choose(
        &self,
        data_centre: &DataCentre,
        tried: &[TargetId],
        now: Instant,
        reaches: impl Fn(&VmId) -> bool,
        mut random: impl FnMut() -> f64,
    ) -> Option<Rc<Target>> {
        let relays = self.0.borrow();
        let able = relays.iter().filter(|(name, relay)| {
            !relay.is_ejected(now) && !tried.contains(&relay.entry.id) && reaches(name)
        });
        let costed = able.map(|(_, relay)| {
            let remote = match relay.entry.data_centre == *data_centre {
                true => 0.0,
                false => REMOTE_COST,
            };
            (f64::from(relay.in_flight.get()) + remote + random(), relay)
        });
        let best = costed.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, relay)| relay.clone())
    }

    /// Returns the number of nodes for which `reaches` is true.
    pub fn count(&self, reaches: impl Fn(&VmId) -> bool) -> usize {
        self.0.borrow().keys().filter(|name| reaches(name)).count()
    }
}
