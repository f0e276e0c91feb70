//! The watcher role: a VM outside the newest term, which starts a new term only if the group has
//! none yet or no member of it runs.

use std::time::Duration;
use std::time::Instant;

use crate::owner::group::Action;
use crate::owner::group::elect;
use crate::owner::group::shared::SharedState;
use crate::owner::message::Member;

/// Time between two reads of the rows.
pub(super) const READ_PERIOD: Duration = Duration::from_secs(10);

/// Only the VMs that rank first for the group start a term.
const MAX_CANDIDATES: usize = 4;
/// How long the group's row must be absent before it is created.
const CREATE_DELAY: Duration = Duration::from_millis(300);
/// How long no member may run before a new term starts.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two reads of the rows while no member runs.
const ORPHAN_READ_PERIOD: Duration = Duration::from_millis(500);
/// Each VM waits this much longer than the one that ranks before it.
const DELAY_PER_RANK: Duration = Duration::from_millis(500);

/// State of a watcher.
#[derive(Debug, Default)]
pub(super) struct Watcher {
    /// Since when the row is known to be absent.
    absent: Option<Instant>,
    /// Since when no member of the term runs, and the row's revision at that time.
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
        let members = shared
            .membership
            .iter()
            .flat_map(|membership| &membership.members);
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
