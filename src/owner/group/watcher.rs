//! A VM that is no member of the newest term: it steps in only if all members are gone.

use std::time::Duration;
use std::time::Instant;

use crate::owner::group::Action;
use crate::owner::group::elect;
use crate::owner::group::shared::SharedState;
use crate::owner::message::Member;

/// Time between two reads of the rows.
pub(super) const READ_PERIOD: Duration = Duration::from_secs(10);

const MAX_CANDIDATES: usize = 4;
const CREATE_DELAY: Duration = Duration::from_millis(300);
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(2);
const ORPHAN_READ_PERIOD: Duration = Duration::from_millis(500);
const DELAY_PER_RANK: Duration = Duration::from_millis(500);

/// A VM that watches a group.
#[derive(Debug, Default)]
pub(super) struct Watcher {
    /// Since when the row is known to be absent.
    absent: Option<Instant>,
    /// Since when no member is known to run, and the row's revision then.
    orphan: Option<Orphan>,
}

#[derive(Debug)]
struct Orphan {
    since: Instant,
    revision: u64,
}

impl Watcher {
    pub fn advance(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        let rank = elect::rank(shared).filter(|rank| *rank < MAX_CANDIDATES);
        let Some(rank) = rank.filter(|_| shared.service.is_some()) else {
            return;
        };
        shared.read_if_due(now, out);
        let pause = DELAY_PER_RANK * rank as u32;
        let Some(rows) = shared.store.rows().filter(|_| !shared.store.writing()) else {
            return;
        };
        if rows.group.is_none() {
            let since = *self.absent.get_or_insert(now);
            if now >= since + CREATE_DELAY + pause {
                shared.write_new_term(now, &[], None, out);
            }
            return;
        }
        self.absent = None;
        let revision = rows.group_revision;
        let runs = |vm: &Member| shared.peers.iter().any(|peer| peer.member == *vm);
        let members = shared.place.iter().flat_map(|place| &place.members);
        if members.into_iter().any(runs) {
            self.orphan = None;
            return;
        }
        let orphan = self.orphan.get_or_insert(Orphan {
            since: now,
            revision,
        });
        if orphan.revision != revision {
            *orphan = Orphan {
                since: now,
                revision,
            };
        }
        shared.read_due = shared.read_due.min(now + ORPHAN_READ_PERIOD);
        if now >= orphan.since + ORPHAN_TIMEOUT + pause {
            shared.write_new_term(now, &[], None, out);
        }
    }

    pub fn next_wakeup(&self, shared: &SharedState, now: Instant) -> Option<Instant> {
        let waits = self.absent.is_some() || self.orphan.is_some();
        let soon = waits.then_some(now + CREATE_DELAY / 3);
        soon.into_iter().chain([shared.read_due]).min()
    }
}
