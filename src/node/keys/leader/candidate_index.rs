//! Finds the candidates of owners; the leader looks up every range's owner in every tick.

use std::collections::HashMap;

use crate::ids::TargetId;
use crate::node::keys::map::Holder;
use crate::node::keys::plan::Candidate;

/// The candidates by target.
#[derive(Debug)]
pub(super) struct CandidateIndex<'a> {
    all: &'a [Candidate],
    by_target: HashMap<&'a TargetId, &'a Candidate>,
}

impl<'a> CandidateIndex<'a> {
    pub(super) fn new(all: &'a [Candidate]) -> Self {
        let by_target = all.iter().map(|c| (&c.holder.id, c)).collect();
        Self { all, by_target }
    }

    /// Returns all candidates.
    pub(super) fn all(&self) -> &'a [Candidate] {
        self.all
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

    /// Returns true if a process is known to have ended, because a later one of the same target runs.
    pub(super) fn has_ended(&self, holder: &Holder) -> bool {
        let candidate = self.by_target.get(&holder.id);
        candidate.is_some_and(|candidate| candidate.holder.incarnation > holder.incarnation)
    }
}
