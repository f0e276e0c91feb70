//! How a range gets from one owner to the next, step by step.

use std::time::Duration;
use std::time::Instant;

use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::leader::Command;
use crate::node::keys::leader::Leader;
use crate::node::keys::leader::ORDER_TIMEOUT;
use crate::node::keys::leader::Order;
use crate::node::keys::leader::OrderId;
use crate::node::keys::leader::OrderOutcome;
use crate::node::keys::leader::drifted;
use crate::node::keys::leader::span::Span;
use crate::node::keys::leader::span::Stage;
use crate::node::keys::leader::span::place;
use crate::node::keys::map::Holder;
use crate::node::keys::map::Ownership;
use crate::node::keys::plan;
use crate::node::keys::plan::Candidate;
use crate::node::keys::view::RangeLocation;

/// Pause before an order that failed is sent again.
const ORDER_PAUSE: Duration = Duration::from_millis(100);
/// Orders in a row without an answer after which a target counts as lost.
const MISSES_TO_LOSE: u32 = 3;
/// Orders in a row that found nobody listening after which a target counts as lost.
const REFUSED_TO_LOSE: u32 = 2;
/// How long a new leader waits for owners that are not listed: entries that lapsed in an outage of
/// the table are back within about two seconds.
const LIST_SETTLING: Duration = Duration::from_millis(2_200);

impl Leader {
    pub(super) fn resume(&mut self, part: &Ownership, former: Instant, now: Instant) -> Span {
        let (owner, next, stage) = match (&part.owner, &part.prior) {
            (Some(owner), Some(prior)) => (Some(prior), Some(owner), Stage::Releasing),
            (Some(owner), None) => (Some(owner), None, Stage::Granting),
            (None, prior) => (prior.as_ref(), None, Stage::Granting),
        };
        let stage = if owner.is_none() {
            Stage::Vacant
        } else {
            stage
        };
        Span {
            range: part.range,
            owner: owner.cloned(),
            next: next.cloned(),
            stage,
            fence: self.fences.draw(),
            handover: None,
            opened: None,
            bound: former,
            order: None,
            bound_before: former,
            granted: self.stored_hold,
            due: now,
            misses: 0,
            refused: 0,
        }
    }

    /// Gives each candidate an equal share of the keys, for the first time.
    pub(super) fn start(&mut self, candidates: &[Candidate], now: Instant) {
        for (range, holder) in plan::even(candidates) {
            let fence = self.fences.draw();
            self.spans.push(Span {
                range,
                owner: None,
                next: Some(holder),
                stage: Stage::Naming(self.wanted + 1),
                fence,
                handover: None,
                opened: None,
                bound: now,
                order: None,
                bound_before: now,
                granted: Duration::ZERO,
                due: now,
                misses: 0,
                refused: 0,
            });
        }
        if !self.spans.is_empty() {
            self.wanted += 1;
        }
    }

    /// Moves a span to its next stage if it may.
    pub(super) fn advance(
        &mut self,
        at: usize,
        candidates: &[Candidate],
        key_load: &KeyLoad,
        now: Instant,
        places: &mut Vec<RangeLocation>,
    ) {
        if let Stage::Naming(number) = self.spans[at].stage
            && self.written >= number
        {
            // Above the fence of every grant, so that one carried out late is refused.
            let fence = self.fences.draw();
            let span = &mut self.spans[at];
            span.stage = Stage::Releasing;
            span.renumber(fence);
            span.order = None;
            span.due = now;
            span.misses = 0;
            span.refused = 0;
            places.extend(place(span));
        }
        let span = &self.spans[at];
        if span.stage == Stage::Releasing {
            let ended = span
                .owner
                .as_ref()
                .is_none_or(|owner| now >= span.bound || has_ended(owner, candidates));
            if ended {
                self.hand_on(at, now);
            }
        }
        let span = &self.spans[at];
        match span.stage {
            Stage::Vacant => self.move_to_idlest(at, candidates, key_load, now),
            Stage::Granting | Stage::Held if self.must_move(at, candidates, now) => {
                self.move_to_idlest(at, candidates, key_load, now);
            }
            _ => {}
        }
    }

    /// Makes the next owner the owner: the former one is out.
    pub(super) fn hand_on(&mut self, at: usize, now: Instant) {
        let fence = self.fences.draw();
        let span = &mut self.spans[at];
        span.owner = span.next.take();
        span.stage = match span.owner {
            Some(_) => Stage::Granting,
            None => Stage::Vacant,
        };
        span.renumber(fence);
        span.order = None;
        span.bound = now;
        span.due = now;
        span.misses = 0;
        span.refused = 0;
    }

    /// Returns whether a span's owner cannot keep it.
    pub(super) fn must_move(&self, at: usize, candidates: &[Candidate], now: Instant) -> bool {
        let span = &self.spans[at];
        let Some(owner) = &span.owner else {
            return true;
        };
        let listed = candidates.iter().find(|c| c.holder == *owner);
        let settled = now.saturating_duration_since(self.taken) >= LIST_SETTLING;
        let leaves = match listed {
            Some(candidate) => candidate.leaving,
            None => settled || has_ended(owner, candidates),
        };
        leaves || span.misses >= MISSES_TO_LOSE || span.refused >= REFUSED_TO_LOSE
    }

    pub(super) fn move_to_idlest(
        &mut self,
        at: usize,
        candidates: &[Candidate],
        key_load: &KeyLoad,
        now: Instant,
    ) {
        let owner = self.spans[at].owner.clone();
        let sound = self.sound(candidates, now);
        let others = sound
            .into_iter()
            .filter(|c| Some(&c.holder) != owner.as_ref());
        let others: Vec<_> = others.collect();
        let next = plan::idlest(&others, &self.shares(), key_load).map(|c| c.holder.clone());
        let Some(next) = next else {
            return;
        };
        let span = &self.spans[at];
        let is_lost = span.misses >= MISSES_TO_LOSE || span.refused >= REFUSED_TO_LOSE;
        if let Some(owner) = owner.filter(|_| is_lost) {
            self.lose(owner, now);
        }
        self.name(at, next);
    }

    /// Begins to move a span: its next owner goes into the map.
    pub(super) fn name(&mut self, at: usize, next: Holder) {
        if self.wanted == self.writing.map_or(self.written, |(number, _)| number) {
            self.wanted += 1;
        }
        let span = &mut self.spans[at];
        span.next = Some(next);
        span.stage = Stage::Naming(self.wanted);
    }

    /// Returns the order that a span needs now.
    pub(super) fn order(
        &mut self,
        at: usize,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<Order> {
        let hold = self.hold();
        let span = &mut self.spans[at];
        if span.order.is_some() || now < span.due {
            return None;
        }
        if hold.is_zero() {
            // The stored map names none yet.
            return None;
        }
        let owner = span.owner.clone()?;
        let candidate = candidates.iter().find(|c| c.holder == owner)?;
        let lost = span.misses >= MISSES_TO_LOSE || span.refused >= REFUSED_TO_LOSE;
        let command = match span.stage {
            Stage::Vacant => return None,
            Stage::Releasing => Command::Release,
            // A target that counts as lost is not renewed, so that its hold runs out.
            _ if lost => return None,
            _ => {
                span.bound_before = span.bound;
                span.bound = span.bound.max(now + ORDER_TIMEOUT + drifted(hold));
                span.granted = hold;
                Command::Grant {
                    duration: hold,
                    handover: span.handover.clone(),
                    opened: span.opened,
                }
            }
        };
        self.next_order += 1;
        let id = OrderId(self.next_order);
        span.order = Some(id);
        Some(Order {
            id,
            to: owner,
            address: candidate.address,
            range: span.range,
            fence: span.fence,
            command,
        })
    }

    pub(super) fn grant_ended(
        &mut self,
        at: usize,
        end: OrderOutcome,
        now: Instant,
        places: &mut Vec<RangeLocation>,
    ) {
        let renew = self.renew();
        let fence = self.fences.draw();
        let span = &mut self.spans[at];
        span.due = now + ORDER_PAUSE;
        match end {
            OrderOutcome::Done(taken) => {
                span.opened = Some(taken.opened);
                self.lost
                    .retain(|lost| span.owner.as_ref() != Some(&lost.holder));
                if span.stage == Stage::Granting {
                    span.stage = Stage::Held;
                    span.handover = None;
                    places.extend(place(span));
                }
                span.bound = now + drifted(span.granted);
                span.due = now + renew;
                span.misses = 0;
                span.refused = 0;
            }
            OrderOutcome::StaleFence => {
                span.bound = span.bound_before;
                span.renumber(fence);
                span.due = now + renew;
            }
            OrderOutcome::Reconnected => {
                span.bound = span.bound_before;
                span.renumber(fence);
                span.due = now;
            }
            OrderOutcome::NotSent => {
                span.bound = span.bound_before;
                span.refused += 1;
            }
            OrderOutcome::Unknown => {
                // The next try may reach another process, and needs another fence for it.
                span.renumber(fence);
                span.misses += 1;
            }
        }
    }

    pub(super) fn release_ended(&mut self, at: usize, end: OrderOutcome, now: Instant) {
        match end {
            OrderOutcome::Done(taken) => {
                self.spans[at].handover = taken.handover;
                self.hand_on(at, now);
            }
            OrderOutcome::StaleFence
            | OrderOutcome::NotSent
            | OrderOutcome::Reconnected
            | OrderOutcome::Unknown => {
                self.spans[at].due = now + ORDER_PAUSE;
            }
        }
    }
}

/// Returns whether a process has ended for certain: another one runs under its name.
fn has_ended(holder: &Holder, candidates: &[Candidate]) -> bool {
    let same_id = |c: &&Candidate| c.holder.id == holder.id;
    candidates
        .iter()
        .find(same_id)
        .is_some_and(|c| c.holder.incarnation > holder.incarnation)
}
