//! Where an entry stands among all entries: by the platform's list, in order of the VMs' names.

use crate::ids::VmId;
use crate::link::Message;
use crate::link::Role;
use crate::route::EntryRank;
use crate::state_sync::Action;
use crate::state_sync::StateSync;

impl StateSync {
    /// Returns the rank of a VM's entry; `None` before the list was read.
    fn rank_of(&self, vm: &VmId) -> Option<EntryRank> {
        let entries = self.members.listed().count() as u32;
        let before = self.members.listed().filter(|entry| entry.vm < *vm);
        let rank = before.count() as u32;
        let is_listed = self.members.listed().any(|entry| entry.vm == *vm);
        // A VM that the list does not show yet counts as one more.
        let entries = entries + u32::from(!is_listed);
        (entries > u32::from(!is_listed)).then_some(EntryRank { rank, entries })
    }

    /// Tells the linked entries their ranks.
    pub(super) fn tell_ranks(&self, out: &mut Vec<Action>) {
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
