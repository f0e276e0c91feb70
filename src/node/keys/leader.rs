//! The leader of a service: grants keys to targets, renews, and moves them.
//!
//! Every change of owner goes the same way. The map that names the new owner, and the former one
//! beside it, is written first, under the condition that the lease is still this leader's. Then
//! the former owner releases the keys, or its hold runs out. Only then the new owner gets them,
//! with a higher fence. So whoever may hold a key is named in the stored map, and a later leader
//! goes on from there.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Fence;
use crate::node::keys::heat::Heat;
use crate::node::keys::map::Fences;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::KeyRange;
use crate::node::keys::map::MapVersion;
use crate::node::keys::map::Ownership;
use crate::node::keys::plan;
use crate::node::keys::plan::Candidate;
use crate::node::keys::plan::Share;
use crate::node::keys::view::Place;
use crate::node::keys::view::Sequence;

/// How often a grant is renewed, unless there are many: the hold is short, since the keys of a lost
/// target wait for its end, and long enough for a change of leader.
const RENEW: Duration = Duration::from_millis(800);
/// Most renewals a second: a tenth of a core at the cost of an order.
const RENEWALS_PER_SECOND: f64 = 200.0;
/// A grant lasts this many times the period of its renewal, so that two renewals may fail.
const HOLD_PERIODS: f64 = 3.1;
/// How long an order may take; targets answer in milliseconds.
pub const ORDER_LIMIT: Duration = Duration::from_millis(400);
/// How long a release may take: the target answers once its work on the keys has ended.
pub const RELEASE_LIMIT: Duration = Duration::from_millis(4_000);
/// A target's clock may run 2 % slow, and an order may lie this long in its buffers.
const HOLD_DRIFT: f64 = 1.03;
const HOLD_SLACK: Duration = Duration::from_millis(100);
/// Pause before an order that failed is sent again.
const ORDER_PAUSE: Duration = Duration::from_millis(100);
/// Orders in a row without an answer after which a target counts as lost.
const MISSES_TO_LOSE: u32 = 3;
/// Orders in a row that found nobody listening after which a target counts as lost.
const REFUSED_TO_LOSE: u32 = 2;
/// How long a lost target gets no keys, doubled with each further loss.
const LOST_PAUSE: Duration = Duration::from_millis(4_000);
const LOST_DOUBLINGS: u32 = 3;
/// How long a leader may renew grants while the table does not confirm its lease.
pub const RIGHT: Duration = Duration::from_millis(20_000);
/// Most places in one announcement, so that it fits a packet.
const MOST_PLACES: usize = 16;
/// How long a new leader waits for owners that are not listed: entries that lapsed in an outage of
/// the table are back within about two seconds.
const LIST_SETTLING: Duration = Duration::from_millis(2_200);
/// Most ranges on the move at a time.
const MOST_MOVES: usize = 6;
/// How often the load is looked at for moves.
const BALANCE_PERIOD: Duration = Duration::from_millis(500);
/// Requests a second for a range below which it may move just to have fewer ranges.
const COLD_LOAD: f64 = 1.0;
/// Most ranges that move at a time for that.
const MOST_TIDIED: usize = 2;
/// Ranges per owner above which ranges are joined.
const RANGES_PER_OWNER: usize = 2;

/// Names an order until its end is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(u64);

/// What a target is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Hold these keys from now on, for this long.
    Grant {
        /// The time from the order's arrival.
        hold: Duration,
        /// What the former owner left for the new one.
        handover: Option<String>,
    },
    /// Take no new work on these keys.
    Release,
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Names the order.
    pub id: OrderId,
    /// The target's process.
    pub to: Holder,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// The keys.
    pub range: KeyRange,
    /// The fence.
    pub fence: Fence,
    /// What to do.
    pub command: Command,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The target has done it; a release may leave a handover.
    Done(Option<String>),
    /// The target has seen a higher fence.
    Outdated,
    /// Nothing was sent: nobody listens, or no connection could be made.
    NotSent,
    /// It was sent, and may be carried out late.
    Unknown,
}

/// What the leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the map, under the condition that the lease is unchanged.
    Write(KeyMap),
    /// Send an order.
    Send(Order),
    /// Tell all nodes where keys are.
    Announce(Sequence, Vec<Place>),
    /// Find out whether the lease is still held: a target has seen a higher fence.
    CheckLease,
}

/// A range and what is going on with it.
#[derive(Debug)]
struct Span {
    range: KeyRange,
    owner: Option<Holder>,
    next: Option<Holder>,
    stage: Stage,
    fence: Fence,
    handover: Option<String>,
    /// Nobody but the owner holds the keys, and the owner not after this unless renewed.
    bound: Instant,
    order: Option<OrderId>,
    bound_before: Instant,
    /// The time of the last grant sent.
    granted: Duration,
    due: Instant,
    misses: u32,
    refused: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The owner is to be granted the keys for the first time in this term.
    Granting,
    /// The owner holds the keys.
    Held,
    /// The owner holds the keys; the map that names the next one is being written.
    Naming(u64),
    /// The owner is to release the keys, or its hold to run out.
    Releasing,
    /// Nobody holds the keys and no target is left to own them.
    Vacant,
}

/// The state of a leader.
#[derive(Debug)]
pub struct Leader {
    term: u64,
    hold_max: Duration,
    fences: Fences,
    spans: Vec<Span>,
    written: u64,
    writing: Option<u64>,
    wanted: u64,
    announced: u64,
    next_order: u64,
    confirmed: Instant,
    taken: Instant,
    former_bound: Option<Instant>,
    balanced: Instant,
    lost: Vec<Lost>,
}

/// A target that did not answer orders.
#[derive(Debug)]
struct Lost {
    holder: Holder,
    times: u32,
    until: Instant,
}

impl Leader {
    /// Takes over with the stored map; `map` is `None` when there is none yet.
    ///
    /// `now` is when the write of the lease had been confirmed.
    pub fn new(term: u64, map: Option<&KeyMap>, hold_max: Duration, now: Instant) -> Self {
        let mut leader = Self {
            term,
            hold_max,
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
        let former = now + RIGHT + drifted(hold_max) + ORDER_LIMIT;
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
    pub fn confirmed(&mut self, begun: Instant) {
        self.confirmed = self.confirmed.max(begun);
    }

    /// Returns whether orders may be given.
    pub fn has_right(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed) < RIGHT
    }

    /// Records that the former leader has given its last order.
    pub fn former_ended(&mut self, now: Instant) {
        let Some(former) = self.former_bound.take() else {
            return;
        };
        let bound = now + ORDER_LIMIT + drifted(self.hold_max);
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
    pub fn write_ended(&mut self, written: bool) {
        let number = self.writing.take();
        if let (true, Some(number)) = (written, number) {
            self.written = number;
        }
    }

    /// Goes on as far as possible.
    pub fn tick(&mut self, now: Instant, candidates: &[Candidate], heat: &Heat) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.has_right(now) {
            return actions;
        }
        self.lost
            .retain(|lost| now < lost.until + LOST_PAUSE * 2u32.pow(LOST_DOUBLINGS));
        if self.spans.is_empty() {
            self.start(candidates, now);
        }
        let mut places = Vec::new();
        for at in 0..self.spans.len() {
            self.advance(at, candidates, heat, now, &mut places);
            if let Some(order) = self.order(at, candidates, now) {
                actions.push(Action::Send(order));
            }
        }
        if now.saturating_duration_since(self.balanced) >= BALANCE_PERIOD {
            self.balanced = now;
            self.balance(candidates, heat, now);
            if self.spans.len() > RANGES_PER_OWNER * candidates.len() {
                self.tidy(heat);
                self.merge(now);
            }
        }
        self.announce(places, &mut actions);
        if self.writing.is_none() && self.written < self.wanted {
            self.writing = Some(self.wanted);
            actions.push(Action::Write(self.map()));
        }
        actions
    }

    /// Takes the end of an order.
    pub fn order_ended(&mut self, id: OrderId, end: OrderEnd, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(at) = self.spans.iter().position(|span| span.order == Some(id)) else {
            return actions;
        };
        self.spans[at].order = None;
        let mut places = Vec::new();
        match self.spans[at].stage {
            Stage::Releasing => self.release_ended(at, end, now),
            _ => {
                if end == OrderEnd::Outdated {
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
            ranges: self.spans.iter().map(part).collect(),
        }
    }

    /// Returns the number of ranges, and of those that are not held.
    pub fn ranges(&self) -> (usize, usize) {
        let open = |span: &&Span| !matches!(span.stage, Stage::Held | Stage::Naming(_));
        (self.spans.len(), self.spans.iter().filter(open).count())
    }

    /// Returns how often grants are renewed now.
    fn renew(&self) -> Duration {
        let paced = Duration::from_secs_f64(self.spans.len() as f64 / RENEWALS_PER_SECOND);
        RENEW.max(paced).min(self.hold_max.div_f64(HOLD_PERIODS))
    }

    /// Returns how long a grant lasts now.
    fn hold(&self) -> Duration {
        self.renew().mul_f64(HOLD_PERIODS).min(self.hold_max)
    }

    fn resume(&mut self, part: &Ownership, former: Instant, now: Instant) -> Span {
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
            bound: former,
            order: None,
            bound_before: former,
            granted: self.hold_max,
            due: now,
            misses: 0,
            refused: 0,
        }
    }

    /// Gives each candidate an equal share of the keys, for the first time.
    fn start(&mut self, candidates: &[Candidate], now: Instant) {
        for (range, holder) in plan::even(candidates) {
            let fence = self.fences.draw();
            self.spans.push(Span {
                range,
                owner: None,
                next: Some(holder),
                stage: Stage::Naming(self.wanted + 1),
                fence,
                handover: None,
                bound: now,
                order: None,
                bound_before: now,
                granted: self.hold_max,
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
    fn advance(
        &mut self,
        at: usize,
        candidates: &[Candidate],
        heat: &Heat,
        now: Instant,
        places: &mut Vec<Place>,
    ) {
        if let Stage::Naming(number) = self.spans[at].stage
            && self.written >= number
        {
            // Above the fence of every grant, so that one carried out late is refused.
            let fence = self.fences.draw();
            let span = &mut self.spans[at];
            span.stage = Stage::Releasing;
            span.fence = fence;
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
            Stage::Vacant => self.move_to_idlest(at, candidates, heat, now),
            Stage::Granting | Stage::Held if self.must_move(at, candidates, now) => {
                self.move_to_idlest(at, candidates, heat, now);
            }
            _ => {}
        }
    }

    /// Makes the next owner the owner: the former one is out.
    fn hand_on(&mut self, at: usize, now: Instant) {
        let fence = self.fences.draw();
        let span = &mut self.spans[at];
        span.owner = span.next.take();
        span.stage = match span.owner {
            Some(_) => Stage::Granting,
            None => Stage::Vacant,
        };
        span.fence = fence;
        span.order = None;
        span.bound = now;
        span.due = now;
        span.misses = 0;
        span.refused = 0;
    }

    /// Returns whether a span's owner cannot keep it.
    fn must_move(&self, at: usize, candidates: &[Candidate], now: Instant) -> bool {
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

    fn move_to_idlest(&mut self, at: usize, candidates: &[Candidate], heat: &Heat, now: Instant) {
        let owner = self.spans[at].owner.clone();
        let sound = self.sound(candidates, now);
        let others = sound
            .into_iter()
            .filter(|c| Some(&c.holder) != owner.as_ref());
        let others: Vec<_> = others.collect();
        let next = plan::idlest(&others, &self.shares(), heat).map(|c| c.holder.clone());
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

    /// Returns the candidates but for those that were lost lately; ones lost some time ago are to
    /// be tried.
    fn sound(&self, candidates: &[Candidate], now: Instant) -> Vec<Candidate> {
        let record = |holder: &Holder| self.lost.iter().find(|lost| lost.holder == *holder);
        let waits = |c: &&Candidate| record(&c.holder).is_some_and(|lost| now < lost.until);
        let sound = candidates.iter().filter(|c| !waits(c));
        sound
            .map(|candidate| Candidate {
                trial: record(&candidate.holder).is_some(),
                ..candidate.clone()
            })
            .collect()
    }

    /// Gives a target no keys for a while, longer each time.
    fn lose(&mut self, holder: Holder, now: Instant) {
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

    /// Begins to move a span: its next owner goes into the map.
    fn name(&mut self, at: usize, next: Holder) {
        if self.wanted == self.writing.unwrap_or(self.written) {
            self.wanted += 1;
        }
        let span = &mut self.spans[at];
        span.next = Some(next);
        span.stage = Stage::Naming(self.wanted);
    }

    /// Returns the order that a span needs now.
    fn order(&mut self, at: usize, candidates: &[Candidate], now: Instant) -> Option<Order> {
        let hold = self.hold();
        let span = &mut self.spans[at];
        if span.order.is_some() || now < span.due {
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
                span.bound = span.bound.max(now + ORDER_LIMIT + drifted(hold));
                span.granted = hold;
                Command::Grant {
                    hold,
                    handover: span.handover.clone(),
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

    fn grant_ended(&mut self, at: usize, end: OrderEnd, now: Instant, places: &mut Vec<Place>) {
        let renew = self.renew();
        let fence = match end {
            OrderEnd::Outdated => Some(self.fences.draw()),
            _ => None,
        };
        let span = &mut self.spans[at];
        span.due = now + ORDER_PAUSE;
        match end {
            OrderEnd::Done(_) => {
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
            OrderEnd::Outdated => {
                span.bound = span.bound_before;
                span.fence = fence.unwrap_or(span.fence);
                span.due = now + renew;
            }
            OrderEnd::NotSent => {
                span.bound = span.bound_before;
                span.refused += 1;
            }
            OrderEnd::Unknown => span.misses += 1,
        }
    }

    fn release_ended(&mut self, at: usize, end: OrderEnd, now: Instant) {
        match end {
            OrderEnd::Done(handover) => {
                self.spans[at].handover = handover;
                self.hand_on(at, now);
            }
            OrderEnd::Outdated | OrderEnd::NotSent | OrderEnd::Unknown => {
                self.spans[at].due = now + ORDER_PAUSE;
            }
        }
    }

    fn announce(&mut self, places: Vec<Place>, actions: &mut Vec<Action>) {
        for part in places.chunks(MOST_PLACES) {
            self.announced += 1;
            actions.push(Action::Announce(self.sequence(), part.to_vec()));
        }
    }

    fn shares(&self) -> Vec<Share<'_>> {
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
    fn balance(&mut self, candidates: &[Candidate], heat: &Heat, now: Instant) {
        let sound = self.sound(candidates, now);
        for _ in 0..MOST_MOVES {
            let moving = self.spans.iter().filter(|span| span.next.is_some());
            if moving.count() >= MOST_MOVES {
                return;
            }
            let Some(next) = plan::next_move(&sound, &self.shares(), heat) else {
                return;
            };
            let at = self.carve(next.range);
            self.name(at, next.to);
        }
    }

    /// Makes a span of its own of a part of a held span; returns its place.
    fn carve(&mut self, range: KeyRange) -> usize {
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
    fn tidy(&mut self, heat: &Heat) {
        let is_held = |span: &Span| span.stage == Stage::Held;
        let fits = |at: &usize| {
            let (left, span) = (&self.spans[at - 1], &self.spans[*at]);
            is_held(left) && is_held(span) && left.owner != span.owner
        };
        let mut cold: Vec<(f64, usize)> = (1..self.spans.len())
            .filter(fits)
            .map(|at| (heat.of(self.spans[at].range), at))
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
    fn merge(&mut self, now: Instant) {
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
            left.fence = fence;
            left.due = now;
            if self.wanted == self.writing.unwrap_or(self.written) {
                self.wanted += 1;
            }
        }
    }
}

impl Span {
    /// Returns a part of a held span under the same fence.
    fn part(&self, range: KeyRange) -> Self {
        Self {
            range,
            owner: self.owner.clone(),
            next: None,
            stage: self.stage,
            fence: self.fence,
            handover: None,
            bound: self.bound,
            order: None,
            bound_before: self.bound,
            granted: self.granted,
            due: self.due,
            misses: self.misses,
            refused: self.refused,
        }
    }
}

/// Returns the longest time that a target may count for a hold.
fn drifted(hold: Duration) -> Duration {
    hold.mul_f64(HOLD_DRIFT) + HOLD_SLACK
}

fn place(span: &Span) -> Option<Place> {
    let owner = span.next.as_ref().or(span.owner.as_ref())?;
    Some(Place {
        range: span.range,
        owner: Some(owner.id.clone()),
        pending: span.stage != Stage::Held,
    })
}

/// Returns whether a process has ended for certain: another one runs under its name.
fn has_ended(holder: &Holder, candidates: &[Candidate]) -> bool {
    let same_id = |c: &&Candidate| c.holder.id == holder.id;
    candidates
        .iter()
        .find(same_id)
        .is_some_and(|c| c.holder.life > holder.life)
}
