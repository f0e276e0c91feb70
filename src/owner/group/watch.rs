//! A VM that is no member of the newest term: it steps in only if all members are gone.

use std::time::Duration;
use std::time::Instant;

use crate::owner::group::Action;
use crate::owner::group::base::Base;
use crate::owner::group::elect;
use crate::owner::message::Member;

/// Time between two reads of the rows.
pub(super) const READ_PERIOD: Duration = Duration::from_secs(10);

const CANDIDATES: usize = 4;
const CREATE_AFTER: Duration = Duration::from_millis(300);
const ORPHAN_AFTER: Duration = Duration::from_secs(2);
const ORPHAN_READ: Duration = Duration::from_millis(500);
const RANK_PAUSE: Duration = Duration::from_millis(500);

/// A VM that watches a group.
#[derive(Debug, Default)]
pub(super) struct Watch {
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

impl Watch {
    pub fn advance(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        let rank = elect::rank(base).filter(|rank| *rank < CANDIDATES);
        let Some(rank) = rank.filter(|_| base.service.is_some()) else {
            return;
        };
        base.read_if_due(now, out);
        let pause = RANK_PAUSE * rank as u32;
        let Some(rows) = base.store.rows().filter(|_| !base.store.writing()) else {
            return;
        };
        if rows.group.is_none() {
            let since = *self.absent.get_or_insert(now);
            if now >= since + CREATE_AFTER + pause {
                base.take(now, &[], None, out);
            }
            return;
        }
        self.absent = None;
        let revision = rows.group_revision;
        let runs = |vm: &Member| base.peers.iter().any(|peer| peer.member == *vm);
        let members = base.place.iter().flat_map(|place| &place.members);
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
        base.read_due = base.read_due.min(now + ORPHAN_READ);
        if now >= orphan.since + ORPHAN_AFTER + pause {
            base.take(now, &[], None, out);
        }
    }

    pub fn wake(&self, base: &Base, now: Instant) -> Option<Instant> {
        let waits = self.absent.is_some() || self.orphan.is_some();
        let soon = waits.then_some(now + CREATE_AFTER / 3);
        soon.into_iter().chain([base.read_due]).min()
    }
}
