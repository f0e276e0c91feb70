//! Which share of a target's connections belongs to which entry.

use serde::Deserialize;
use serde::Serialize;

/// Where an entry stands among all entries; every entry has a rank of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRank {
    /// The entry's position, from 0.
    pub rank: u32,
    /// The number of entries; at least 1.
    pub entries: u32,
}

impl EntryRank {
    /// Returns how many of a target's connections the entry may hold.
    ///
    /// The shares of all ranks add up to `connections` exactly. With fewer connections than
    /// entries the target belongs to a subset of the entries, which differs by `target_hash`.
    pub fn connection_share(&self, connections: u16, target_hash: u64) -> u32 {
        let entries = self.entries.max(1);
        let connections = u32::from(connections);
        let offset = (target_hash % u64::from(entries)) as u32;
        let turn = (u64::from(self.rank) + u64::from(offset)) % u64::from(entries);
        let extra = connections % entries;
        connections / entries + u32::from(turn < u64::from(extra))
    }
}

impl Default for EntryRank {
    fn default() -> Self {
        Self {
            rank: 0,
            entries: 1,
        }
    }
}
