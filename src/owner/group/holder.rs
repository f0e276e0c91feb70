//! The holder role: renews its authority to send orders, monitors the targets and assigns shards to
//! them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::owner::assignment::Assignment;
use crate::owner::authority::OrderAuthority;
use crate::owner::group::Action;
use crate::owner::group::GroupStatus;
use crate::owner::group::lost_targets::start_revocation;
use crate::owner::group::orders;
use crate::owner::group::placement::PlanInputs;
use crate::owner::group::publish::ExpectedGrants;
use crate::owner::group::shared::SharedState;
use crate::owner::message::Membership;
use crate::owner::message::TargetBoot;
use crate::owner::moves::Moves;
use crate::owner::order::OrderReply;
use crate::owner::order::ShardFence;
use crate::owner::revocation::Revocation;

/// Time between two reads of the rows.
pub(super) const READ_PERIOD: Duration = Duration::from_secs(30);

/// Time between two checks of the deputies.
pub(super) const MEMBERS_PERIOD: Duration = Duration::from_secs(1);
/// The authority to send orders is renewed by a write when it ends within this time.
pub(super) const RENEWAL_MARGIN: Duration = Duration::from_millis(120);

/// The holder of the newest term.
#[derive(Debug)]
pub(super) struct Holder {
    pub authority: OrderAuthority,
    /// When this role started, or when the process last resumed from a pause.
    pub since: Instant,
    /// Earlier terms whose orders may still have effect.
    pub prior: Vec<Prior>,
    /// Lost target processes, whose grants are not extended, and when the grants end.
    pub barred: BTreeMap<TargetBoot, Revocation>,
    pub moves: Moves,
    /// Shards whose owner has not confirmed the grant yet.
    pub ungranted: BTreeSet<Shard>,
    /// Shards whose owner rejected the fence as too low; they are placed again with a higher one.
    pub denied: BTreeSet<Shard>,
    /// The assignment last published.
    pub published: Option<Assignment>,
    /// The grants that each target should hold by the table.
    pub expected_grants: BTreeMap<TargetId, ExpectedGrants>,
    /// Whether the published assignment may be outdated.
    pub dirty: bool,
    /// Number of shards published without an owner.
    pub unowned: usize,
    pub plan_due: Instant,
    /// Inputs of the last plan, if it started no move.
    pub plan_inputs: Option<PlanInputs>,
    /// Whether a loss beyond the allowance has been logged.
    pub loss_deferred: bool,
    pub ask_due: Instant,
    pub members_due: Instant,
}

/// An earlier term and the state of its revocation.
#[derive(Debug)]
pub(super) struct Prior {
    pub membership: Membership,
    pub revocation: Revocation,
}

impl Holder {
    pub fn new(shared: &SharedState, now: Instant, membership: &Membership) -> Self {
        let row = shared.store.rows().and_then(|rows| rows.group.as_ref());
        let prior = row.map_or(&[][..], |row| &row.prior);
        Self {
            authority: OrderAuthority::new(membership.required_vouches),
            since: now,
            prior: prior
                .iter()
                .map(|membership| Prior::new(shared, now, membership))
                .collect(),
            barred: BTreeMap::new(),
            moves: Moves::default(),
            ungranted: BTreeSet::new(),
            denied: BTreeSet::new(),
            published: None,
            expected_grants: BTreeMap::new(),
            dirty: true,
            unowned: 0,
            plan_due: now,
            plan_inputs: None,
            loss_deferred: false,
            ask_due: now,
            members_due: now + MEMBERS_PERIOD,
        }
    }

    /// Takes over the state of this process's previous term.
    pub fn inherit(&mut self, previous: &mut Self, shared: &SharedState, now: Instant) {
        self.moves = std::mem::take(&mut previous.moves);
        self.ungranted = std::mem::take(&mut previous.ungranted);
        self.denied = std::mem::take(&mut previous.denied);
        self.published = previous.published.take();
        self.loss_deferred = previous.loss_deferred;
        let prior_terms = std::mem::take(&mut previous.prior);
        for known in prior_terms {
            let same = |prior: &&mut Prior| prior.membership.term == known.membership.term;
            if let Some(prior) = self.prior.iter_mut().find(same) {
                *prior = known;
            }
        }
        for process in std::mem::take(&mut previous.barred).into_keys() {
            self.barred.extend(
                start_revocation(shared, now, &process).map(|revocation| (process, revocation)),
            );
        }
    }

    /// Restarts the timeouts of targets and deputies after a pause of this process, during which it
    /// received no messages.
    pub fn reset_timeouts(&mut self, now: Instant) {
        self.since = now;
    }

    pub fn advance(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        shared.read_if_due(now, out);
        if shared.service.is_none() {
            return;
        }
        self.check_targets(shared, now, out);
        self.send_asks(shared, now, out);
        self.place_free_shards(shared, now, out);
        self.change_members(shared, now, out);
        self.renew(shared, now, out);
        self.plan_moves(shared, now, out);
        self.send_orders(shared, now, out);
        self.publish_changes(shared, now, out);
    }

    pub fn on_reply(
        &mut self,
        shared: &mut SharedState,
        now: Instant,
        target: &TargetId,
        reply: &OrderReply,
        out: &mut Vec<Action>,
    ) {
        let Some(process) = shared.fleet.current_process(target) else {
            return;
        };
        if self.moves.record_release(&process, &reply.released) {
            self.dirty = true;
        }
        self.record_grant_replies(shared, &process, reply, out);
        let expected = self
            .expected_grants
            .get(target)
            .filter(|expected| expected.boot == process.boot);
        let mismatches = expected.is_some_and(|expected| expected.differs(reply))
            && !self.is_changing(shared, &process);
        if let Some(contact) = shared.fleet.contacts.get_mut(target) {
            contact.mismatches = if mismatches {
                contact.mismatches + 1
            } else {
                0
            };
            if contact.mismatches == 1 {
                contact.due = now;
            }
        }
    }

    pub fn status(&self, shared: &SharedState, now: Instant, status: &mut GroupStatus) {
        status.ordering = self.authority.permits(now, None);
        status.moves = self.moves.len();
        status.unowned = self.unowned;
        status.prior = self.prior.len();
        let unresponsive = shared
            .fleet
            .contacts
            .iter()
            .filter(|(_, c)| c.is_unresponsive(now));
        status.lost = unresponsive.map(|(target, _)| target.clone()).collect();
    }

    pub fn next_wakeup(&self, shared: &SharedState) -> Option<Instant> {
        let contacts = shared.fleet.contacts.values();
        let orders = contacts
            .flat_map(|c| [Some(c.due), c.timeout_at()])
            .flatten();
        let revocations = self
            .barred
            .values()
            .chain(self.prior.iter().map(|prior| &prior.revocation));
        let ends = revocations.filter_map(Revocation::effect_end);
        let authority = self
            .authority
            .expires_at()
            .map(|until| until - RENEWAL_MARGIN);
        let own = [self.ask_due, self.plan_due, shared.read_due];
        orders.chain(ends).chain(authority).chain(own).min()
    }

    /// Returns true if a move or an unconfirmed grant explains that a process holds other shards
    /// than the table says.
    fn is_changing(&self, shared: &SharedState, process: &TargetBoot) -> bool {
        let moves = self.moves.iter().any(|m| m.from == *process);
        let owner = |shard: &Shard| shared.shards().and_then(|row| row.owner(*shard));
        moves
            || self
                .ungranted
                .iter()
                .any(|shard| owner(shard).as_ref() == Some(process))
    }

    /// Records which grants a target confirmed or denied.
    fn record_grant_replies(
        &mut self,
        shared: &SharedState,
        process: &TargetBoot,
        reply: &OrderReply,
        out: &mut Vec<Action>,
    ) {
        let Some(row) = shared.shards() else {
            return;
        };
        let is_current = |given: &ShardFence| {
            let fence = row.owners.get(&given.shard).map(|owner| owner.fence);
            fence == Some(given.fence) && row.owner(given.shard).as_ref() == Some(process)
        };
        for given in reply.granted.iter().filter(|given| is_current(given)) {
            self.dirty |= self.ungranted.remove(&given.shard);
        }
        for given in reply.denied.iter().filter(|given| is_current(given)) {
            if self.moves.get(given.shard).is_none() && self.denied.insert(given.shard) {
                let details = format!(
                    "target={} shard={} fence={}",
                    process.target, given.shard, given.fence
                );
                out.push(Action::Record(Event::GrantDenied, details));
            }
        }
    }

    fn send_orders(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        let barred = self.barred_targets();
        for target in orders::due(shared, now) {
            let shards = self.shards_for(shared, &target);
            orders::send(shared, now, &self.authority, &barred, &target, shards, out);
        }
    }

    /// Returns the grants and releases for the next order to a target.
    fn shards_for(&self, shared: &SharedState, target: &TargetId) -> orders::Shards {
        let Some(process) = shared.fleet.current_process(target) else {
            return orders::Shards::default();
        };
        let mismatches = shared
            .fleet
            .contacts
            .get(target)
            .is_some_and(|c| c.mismatches > 0);
        let owned = shared
            .shards()
            .map_or(Vec::new(), |row| row.shards_of(&process));
        let wanted = |given: &ShardFence| {
            let due = mismatches || self.ungranted.contains(&given.shard);
            due && self.moves.get(given.shard).is_none() && !self.denied.contains(&given.shard)
        };
        orders::Shards {
            grant: owned.into_iter().filter(wanted).collect(),
            release: self.moves.pending_releases(&process),
        }
    }
}
