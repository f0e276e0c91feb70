//! The leader of a service: grants keys to targets, renews, and moves them.
//!
//! Every change of owner goes the same way. The map that names the new owner, and the former one
//! beside it, is written first, under the condition that the lease is still this leader's. Then
//! the former owner releases the keys, or its hold runs out. Only then the new owner gets them,
//! with a higher fence. So whoever may hold a key is named in the stored map, and a later leader
//! goes on from there.

mod balance;
mod moves;
mod order;
mod span;

use std::time::Duration;
use std::time::Instant;

use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::leader::balance::LOST_DOUBLINGS;
use crate::node::keys::leader::balance::LOST_PAUSE;
use crate::node::keys::leader::balance::Lost;
use crate::node::keys::leader::span::Span;
use crate::node::keys::leader::span::Stage;
use crate::node::keys::map::Fences;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::MapVersion;
use crate::node::keys::map::Ownership;
use crate::node::keys::plan::Candidate;
use crate::node::keys::view::RangeLocation;
use crate::node::keys::view::Sequence;

pub use order::Action;
pub use order::Command;
pub use order::Order;
pub use order::OrderId;
pub use order::OrderOutcome;
pub use order::OrderReply;

/// How often a grant is renewed, unless there are many: the hold is short, since the keys of a lost
/// target wait for its end, and long enough for a change of leader.
const RENEW: Duration = Duration::from_millis(800);
/// Most renewals a second: a tenth of a core at the cost of an order.
const RENEWALS_PER_SECOND: f64 = 200.0;
/// A grant lasts this many times the period of its renewal, so that two renewals may fail.
const HOLD_PERIODS: f64 = 3.1;
/// How long an order may take; targets answer in milliseconds.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a release may take: the target answers once its work on the keys has ended.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// A target's clock may run 2 % slow, and an order may lie this long in its buffers.
const HOLD_DRIFT: f64 = 1.03;
const HOLD_SLACK: Duration = Duration::from_millis(100);
/// How long a leader may renew grants while the table does not confirm its lease.
pub const LEASE_VALIDITY: Duration = Duration::from_millis(20_000);
/// Most places in one announcement, so that it fits a packet.
const MOST_PLACES: usize = 16;
/// How often the load is looked at for moves.
const BALANCE_PERIOD: Duration = Duration::from_millis(500);
/// Ranges per owner above which ranges are joined.
const RANGES_PER_OWNER: usize = 2;

/// The state of a leader.
#[derive(Debug)]
pub struct Leader {
    term: u64,
    hold_max: Duration,
    /// The longest hold that the map is to name, which counts for later leaders as well.
    named_hold: Duration,
    /// The longest hold that the stored map names: no grant lasts longer.
    stored_hold: Duration,
    fences: Fences,
    spans: Vec<Span>,
    written: u64,
    writing: Option<(u64, Duration)>,
    wanted: u64,
    announced: u64,
    next_order: u64,
    confirmed: Instant,
    taken: Instant,
    former_bound: Option<Instant>,
    balanced: Instant,
    lost: Vec<Lost>,
}

impl Leader {
    /// Takes over with the stored map; `map` is `None` when there is none yet.
    ///
    /// `now` is when the write of the lease had been confirmed.
    pub fn new(term: u64, map: Option<&KeyMap>, hold_max: Duration, now: Instant) -> Self {
        let mut leader = Self {
            term,
            hold_max,
            named_hold: Duration::ZERO,
            stored_hold: Duration::ZERO,
            fences: Fences::new(term),
            spans: Vec::new(),
            written: 0,
            writing: None,
            wanted: 0,
            announced: 0,
            next_order: 0,
            confirmed: now,
            taken: now,
            former_bound: None,
            balanced: now,
            lost: Vec::new(),
        };
        let Some(map) = map.filter(|map| map.is_whole()) else {
            return leader;
        };
        let hold = map.max_grant_ms.map_or(hold_max, Duration::from_millis);
        leader.named_hold = hold;
        leader.stored_hold = hold;
        let former = now + LEASE_VALIDITY + drifted(hold) + ORDER_TIMEOUT;
        leader.former_bound = Some(former);
        for part in &map.ranges {
            let span = leader.resume(part, former, now);
            leader.spans.push(span);
        }
        leader
    }

    /// Returns the term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the newest announcement.
    pub fn sequence(&self) -> Sequence {
        Sequence {
            term: self.term,
            number: self.announced,
        }
    }

    /// Records that the table confirmed the lease by an answer to a call begun at `begun`.
    pub fn lease_confirmed(&mut self, begun: Instant) {
        self.confirmed = self.confirmed.max(begun);
    }

    /// Returns whether orders may be given.
    pub fn is_lease_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed) < LEASE_VALIDITY
    }

    /// Records that the former leader has given its last order.
    pub fn previous_leaders_ended(&mut self, now: Instant) {
        let Some(former) = self.former_bound.take() else {
            return;
        };
        let bound = now + ORDER_TIMEOUT + drifted(self.stored_hold);
        for span in &mut self.spans {
            if span.bound == former {
                span.bound = bound;
            }
            if span.bound_before == former {
                span.bound_before = bound;
            }
        }
    }

    /// Records the end of a write of the map; returns whether it took effect.
    pub fn map_write_ended(&mut self, written: bool) {
        let number = self.writing.take();
        if let (true, Some((number, hold))) = (written, number) {
            self.written = number;
            self.stored_hold = hold;
        }
    }

    /// Goes on as far as possible.
    pub fn tick(
        &mut self,
        now: Instant,
        candidates: &[Candidate],
        key_load: &KeyLoad,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_lease_valid(now) {
            return actions;
        }
        self.lost
            .retain(|lost| now < lost.until + LOST_PAUSE * 2u32.pow(LOST_DOUBLINGS));
        if self.spans.is_empty() {
            self.start(candidates, now);
        }
        self.name_hold();
        let mut places = Vec::new();
        for at in 0..self.spans.len() {
            self.advance(at, candidates, key_load, now, &mut places);
            if let Some(order) = self.order(at, candidates, now) {
                actions.push(Action::Send(order));
            }
        }
        if now.saturating_duration_since(self.balanced) >= BALANCE_PERIOD {
            self.balanced = now;
            self.balance(candidates, key_load, now);
            if self.spans.len() > RANGES_PER_OWNER * candidates.len() {
                self.tidy(key_load);
                self.merge(now);
            }
        }
        self.announce(places, &mut actions);
        if self.writing.is_none() && self.written < self.wanted {
            self.writing = Some((self.wanted, self.named_hold));
            actions.push(Action::Write(self.map()));
        }
        actions
    }

    /// Takes the end of an order.
    pub fn order_ended(&mut self, id: OrderId, end: OrderOutcome, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(at) = self.spans.iter().position(|span| span.order == Some(id)) else {
            return actions;
        };
        self.spans[at].order = None;
        let mut places = Vec::new();
        match self.spans[at].stage {
            Stage::Releasing => self.release_ended(at, end, now),
            _ => {
                if end == OrderOutcome::StaleFence {
                    actions.push(Action::CheckLease);
                }
                self.grant_ended(at, end, now, &mut places);
            }
        }
        self.announce(places, &mut actions);
        actions
    }

    /// Returns the map as it is to be stored.
    pub fn map(&self) -> KeyMap {
        let part = |span: &Span| Ownership {
            range: span.range,
            owner: span.next.as_ref().or(span.owner.as_ref()).cloned(),
            prior: span.next.as_ref().and(span.owner.as_ref()).cloned(),
        };
        KeyMap {
            version: MapVersion {
                term: self.term,
                number: self.wanted,
            },
            max_grant_ms: Some(self.named_hold.as_millis() as u64),
            ranges: self.spans.iter().map(part).collect(),
        }
    }

    /// Returns the number of ranges, and of those that are not held.
    pub fn range_counts(&self) -> (usize, usize) {
        let open = |span: &&Span| !matches!(span.stage, Stage::Held | Stage::Naming(_));
        (self.spans.len(), self.spans.iter().filter(open).count())
    }

    /// Returns how often grants are renewed now.
    fn renew(&self) -> Duration {
        let paced = Duration::from_secs_f64(self.spans.len() as f64 / RENEWALS_PER_SECOND);
        RENEW.max(paced).min(self.hold_max.div_f64(HOLD_PERIODS))
    }

    /// Returns how long a grant should last now.
    fn wanted_hold(&self) -> Duration {
        let hold = self.renew().mul_f64(HOLD_PERIODS).min(self.hold_max);
        Duration::from_millis(hold.as_millis() as u64)
    }

    /// Returns how long a grant lasts now.
    fn hold(&self) -> Duration {
        self.wanted_hold().min(self.stored_hold)
    }

    /// Has the map name a longer hold when that is needed. It never names a shorter one: grants of
    /// earlier leaders may still last as long.
    fn name_hold(&mut self) {
        let wanted = self.wanted_hold();
        if wanted > self.named_hold {
            self.named_hold = wanted;
            self.wanted += 1;
        }
    }

    fn announce(&mut self, places: Vec<RangeLocation>, actions: &mut Vec<Action>) {
        for part in places.chunks(MOST_PLACES) {
            self.announced += 1;
            actions.push(Action::Announce(self.sequence(), part.to_vec()));
        }
    }
}

/// Returns the longest time that a target may count for a hold.
fn drifted(hold: Duration) -> Duration {
    hold.mul_f64(HOLD_DRIFT) + HOLD_SLACK
}
