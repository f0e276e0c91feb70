//! Moves that even the load, and ranges that are joined again.

use std::time::Duration;
use std::time::Instant;

use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::leader::Leader;
use crate::node::keys::leader::span::Span;
use crate::node::keys::leader::span::Stage;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyRange;
use crate::node::keys::plan;
use crate::node::keys::plan::Candidate;
use crate::node::keys::plan::Share;

/// How long a lost target gets no keys, doubled with each further loss.
pub(super) const LOST_PAUSE: Duration = Duration::from_millis(4_000);
pub(super) const LOST_DOUBLINGS: u32 = 3;
/// Most ranges on the move at a time.
const MOST_MOVES: usize = 6;
/// Requests a second for a range below which it may move just to have fewer ranges.
const COLD_LOAD: f64 = 1.0;
/// Most ranges that move at a time for that.
const MOST_TIDIED: usize = 2;

/// A target that did not answer orders.
#[derive(Debug)]
pub(super) struct Lost {
    pub(super) holder: Holder,
    pub(super) times: u32,
    pub(super) until: Instant,
}

impl Leader {
    /// Returns the candidates but for those that were lost lately; ones lost some time ago are to
    /// be tried.
    pub(super) fn sound(&self, candidates: &[Candidate], now: Instant) -> Vec<Candidate> {
        let record = |holder: &Holder| self.lost.iter().find(|lost| lost.holder == *holder);
        let waits = |c: &&Candidate| record(&c.holder).is_some_and(|lost| now < lost.until);
        let sound = candidates.iter().filter(|c| !waits(c));
        sound
            .map(|candidate| Candidate {
                on_probation: record(&candidate.holder).is_some(),
                ..candidate.clone()
            })
            .collect()
    }

    /// Gives a target no keys for a while, longer each time.
    pub(super) fn lose(&mut self, holder: Holder, now: Instant) {
        let held = self.lost.iter_mut().find(|lost| lost.holder == holder);
        match held {
            // Each of its ranges tells of the same loss.
            Some(lost) if now < lost.until => {}
            Some(lost) => {
                lost.times = (lost.times + 1).min(LOST_DOUBLINGS);
                lost.until = now + LOST_PAUSE * 2u32.pow(lost.times);
            }
            None => self.lost.push(Lost {
                holder,
                times: 0,
                until: now + LOST_PAUSE,
            }),
        }
    }

    pub(super) fn shares(&self) -> Vec<Share<'_>> {
        let share = |span: &'_ Span| -> Option<(KeyRange, bool)> {
            (span.next.is_some() || span.owner.is_some())
                .then_some((span.range, span.stage == Stage::Held))
        };
        let mut shares = Vec::with_capacity(self.spans.len());
        for span in &self.spans {
            if let (Some((range, free)), Some(owner)) =
                (share(span), span.next.as_ref().or(span.owner.as_ref()))
            {
                shares.push(Share { range, owner, free });
            }
        }
        shares
    }

    /// Begins moves from busy owners to idle ones.
    pub(super) fn balance(&mut self, candidates: &[Candidate], key_load: &KeyLoad, now: Instant) {
        let sound = self.sound(candidates, now);
        for _ in 0..MOST_MOVES {
            let moving = self.spans.iter().filter(|span| span.next.is_some());
            if moving.count() >= MOST_MOVES {
                return;
            }
            let Some(next) = plan::next_move(&sound, &self.shares(), key_load) else {
                return;
            };
            let at = self.carve(next.range);
            self.name(at, next.to);
        }
    }

    /// Makes a span of its own of a part of a held span; returns its place.
    pub(super) fn carve(&mut self, range: KeyRange) -> usize {
        let at = self
            .spans
            .partition_point(|span| span.range.last < range.first);
        let whole = self.spans[at].range;
        let mut place = at;
        if whole.first < range.first {
            let before = KeyRange {
                first: whole.first,
                last: range.first - 1,
            };
            let span = self.spans[at].part(before);
            self.spans.insert(at, span);
            place += 1;
        }
        if range.last < whole.last {
            let after = KeyRange {
                first: range.last + 1,
                last: whole.last,
            };
            let span = self.spans[place].part(after);
            self.spans.insert(place + 1, span);
        }
        self.spans[place].range = range;
        place
    }

    /// Gives the coldest ranges to the owners of their neighbours, so that they can be joined.
    pub(super) fn tidy(&mut self, key_load: &KeyLoad) {
        let is_held = |span: &Span| span.stage == Stage::Held;
        let fits = |at: &usize| {
            let (left, span) = (&self.spans[at - 1], &self.spans[*at]);
            is_held(left) && is_held(span) && left.owner != span.owner
        };
        let mut cold: Vec<(f64, usize)> = (1..self.spans.len())
            .filter(fits)
            .map(|at| (key_load.rate(self.spans[at].range), at))
            .filter(|(load, _)| *load < COLD_LOAD)
            .collect();
        cold.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, at) in cold.into_iter().take(MOST_TIDIED) {
            // The neighbour may be on its way itself by now.
            if !is_held(&self.spans[at - 1]) {
                continue;
            }
            if let Some(owner) = self.spans[at - 1].owner.clone() {
                self.name(at, owner);
            }
        }
    }

    /// Joins neighbours of one owner, under a new fence.
    pub(super) fn merge(&mut self, now: Instant) {
        let mut at = 1;
        while at < self.spans.len() {
            let (left, right) = (&self.spans[at - 1], &self.spans[at]);
            let quiet = |span: &Span| span.stage == Stage::Held && span.order.is_none();
            if !quiet(left) || !quiet(right) || left.owner != right.owner {
                at += 1;
                continue;
            }
            let right = self.spans.remove(at);
            let fence = self.fences.draw();
            let left = &mut self.spans[at - 1];
            left.range.last = right.range.last;
            left.bound = left.bound.max(right.bound);
            left.granted = left.granted.max(right.granted);
            left.renumber(fence);
            left.due = now;
            if self.wanted == self.writing.map_or(self.written, |(number, _)| number) {
                self.wanted += 1;
            }
        }
    }
}
