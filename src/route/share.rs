//! Divides the connections of each target among the entries.

use serde::Deserialize;
use serde::Serialize;

/// The rank of an entry among all entries; each entry has a different rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRank {
    /// The entry's rank, from 0.
    pub rank: u32,
    /// The number of entries; at least 1.
    pub entries: u32,
}

impl EntryRank {
    /// Returns the number of connections to a target that the entry may open.
    ///
    /// The shares of all ranks add up to `connections` exactly. With fewer connections than
    /// entries, only a subset of the entries may connect; the subset depends on `target_hash`.
    pub fn connection_share(&self, connections: u16, target_hash: u64) -> u32 {
        let entries = self.entries.max(1);
        let connections = u32::from(connections);
        let offset = (target_hash % u64::from(entries)) as u32;
        let position = (u64::from(self.rank) + u64::from(offset)) % u64::from(entries);
        let extra = connections % entries;
        connections / entries + u32::from(position < u64::from(extra))
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
