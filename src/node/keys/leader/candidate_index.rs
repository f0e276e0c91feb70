//! Finds the candidates of owners; the leader looks up every range's owner in every tick.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::ids::TargetId;
use crate::node::keys::map::Holder;
use crate::node::keys::plan::Candidate;

/// The candidates by target.
#[derive(Debug)]
pub(super) struct CandidateIndex<'a> {
    all: &'a [Candidate],
    by_target: HashMap<&'a TargetId, &'a Candidate>,
    /// The latest process at each address; only needed after owners were replaced.
    by_address: OnceCell<HashMap<SocketAddr, &'a Candidate>>,
}

impl<'a> CandidateIndex<'a> {
    pub(super) fn new(all: &'a [Candidate]) -> Self {
        let by_target = all.iter().map(|c| (&c.holder.id, c)).collect();
        Self {
            all,
            by_target,
            by_address: OnceCell::new(),
        }
    }

    /// Returns the candidate that is this process of a target.
    pub(super) fn get(&self, holder: &Holder) -> Option<&'a Candidate> {
        let candidate = self.by_target.get(&holder.id).copied();
        candidate.filter(|candidate| candidate.holder == *holder)
    }

    /// Returns the candidate that is this process of a target or a later one.
    pub(super) fn get_latest(&self, holder: &Holder) -> Option<&'a Candidate> {
        let candidate = self.by_target.get(&holder.id).copied();
        candidate.filter(|candidate| candidate.holder.incarnation >= holder.incarnation)
    }

    /// Returns the latest process that is listed at an address, unless it is one of this target.
    pub(super) fn other_at(&self, address: SocketAddr, id: &TargetId) -> Option<&'a Candidate> {
        let by_address = self.by_address.get_or_init(|| {
            let mut by_address = HashMap::<SocketAddr, &Candidate>::new();
            for candidate in self.all {
                let latest = by_address.entry(candidate.address).or_insert(candidate);
                if candidate.holder.incarnation > latest.holder.incarnation {
                    *latest = candidate;
                }
            }
            by_address
        });
        let candidate = by_address.get(&address).copied();
        candidate.filter(|candidate| candidate.holder.id != *id)
    }

    /// Returns true if a process is known to have ended, because a later one of the same target runs.
    pub(super) fn has_ended(&self, holder: &Holder) -> bool {
        let candidate = self.by_target.get(&holder.id);
        candidate.is_some_and(|candidate| candidate.holder.incarnation > holder.incarnation)
    }
}
