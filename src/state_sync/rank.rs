//! Sends each linked entry its rank: its position among all entries, sorted by the names of their
//! VMs.

use crate::ids::VmId;
use crate::link::Message;
use crate::link::Role;
use crate::route::EntryRank;
use crate::state_sync::Action;
use crate::state_sync::StateSync;

impl StateSync {
    /// Returns the rank of a VM's entry; `None` until the platform's list was read.
    fn rank_of(&self, vm: &VmId) -> Option<EntryRank> {
        let entries = self.members.listed().count() as u32;
        let before = self.members.listed().filter(|entry| entry.vm < *vm);
        let rank = before.count() as u32;
        let is_listed = self.members.listed().any(|entry| entry.vm == *vm);
        // A VM that is not listed yet is counted in addition to the listed ones.
        let entries = entries + u32::from(!is_listed);
        (entries > u32::from(!is_listed)).then_some(EntryRank { rank, entries })
    }

    /// Sends all linked entries their ranks.
    pub(super) fn send_ranks(&self, out: &mut Vec<Action>) {
        for (link, peer) in &self.links {
            if peer.role != Role::Entry {
                continue;
            }
            if let Some(rank) = self.rank_of(&peer.vm) {
                out.push(Action::Send {
                    links: vec![*link],
                    message: Message::Rank(rank),
                });
            }
        }
    }
}
