//! Which owner should get which keys: small moves from the busiest to the idlest.

use std::collections::BTreeMap;

use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyRange;

/// A move is worth its interruption once the busiest owner has this many times the mean load.
const HOT_RATIO: f64 = 1.3;
/// And once it is busy for this part of its capacity: below, requests hardly wait.
const LEAST_BUSY: f64 = 0.45;
/// And when it is busier than the idlest by this part.
const LEAST_DIFFERENCE: f64 = 0.2;
/// And when its load is over the mean by this many standard deviations of its count.
const DEVIATIONS: f64 = 2.0;
/// One in so many owners, the busiest, is left out of the mean.
const BUSIEST_PART: usize = 12;
/// A key that is too busy for its owner moves to one that has this many times the capacity.
const FASTER: f64 = 1.3;
/// A piece may carry this many times the load wanted before another cut is tried.
const PIECE_TOLERANCE: f64 = 1.4;

/// A target that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The process.
    pub holder: Holder,
    /// Where its orders go.
    pub address: std::net::SocketAddr,
    /// The requests that it can do in a second; above 0.
    pub capacity: f64,
    /// Whether it is to lose its keys.
    pub leaving: bool,
    /// Whether it did not answer lately, so that it is tried with one key first.
    pub on_probation: bool,
}

/// Keys to move, and where to.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The keys; a part of one owner's range or all of it.
    pub range: KeyRange,
    /// The owner to be.
    pub to: Holder,
}

/// A range with its owner, as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Share<'a> {
    /// The keys.
    pub range: KeyRange,
    /// The owner, or the owner to be.
    pub owner: &'a Holder,
    /// Whether the range may be moved now.
    pub free: bool,
}

/// Returns the candidate with the least load for its capacity, by load and then by keys.
pub fn idlest<'a>(
    candidates: &'a [Candidate],
    shares: &[Share<'_>],
    key_load: &KeyLoad,
) -> Option<&'a Candidate> {
    let loads = Loads::new(candidates, shares, key_load);
    let open = candidates.iter().filter(|candidate| candidate.is_open());
    open.min_by(|a, b| {
        let by_load = loads.relative(a).total_cmp(&loads.relative(b));
        let keys = |candidate: &Candidate| loads.keys.get(&candidate.holder).copied();
        by_load.then_with(|| keys(a).cmp(&keys(b)))
    })
}

/// Returns equal shares of all keys, one a candidate.
pub fn even(candidates: &[Candidate]) -> Vec<(KeyRange, Holder)> {
    let open: Vec<_> = candidates.iter().filter(|c| c.is_open()).collect();
    let count = open.len() as u32;
    let all = KeyRange::ALL.len();
    let start = |at: u32| (u64::from(all) * u64::from(at) / u64::from(count)) as u32;
    let share = |(at, candidate): (usize, &&Candidate)| {
        let at = at as u32;
        let range = KeyRange {
            first: start(at) as u16,
            last: (start(at + 1) - 1) as u16,
        };
        (range, candidate.holder.clone())
    };
    open.iter().enumerate().map(share).collect()
}

/// Returns the next move that evens the load, if one is worth it.
pub fn next_move(
    candidates: &[Candidate],
    shares: &[Share<'_>],
    key_load: &KeyLoad,
) -> Option<Move> {
    let loads = Loads::new(candidates, shares, key_load);
    let open = || candidates.iter().filter(|candidate| candidate.is_open());
    let is_empty = |candidate: &&Candidate| !loads.keys.contains_key(&candidate.holder);
    let tried = candidates.iter().filter(|c| c.on_probation && !c.leaving);
    if let Some(tried) = tried.clone().find(is_empty) {
        let range = last_key(shares)?;
        let to = tried.holder.clone();
        return Some(Move { range, to });
    }
    let empty = open().find(is_empty);
    let by_load = |a: &&Candidate, b: &&Candidate| loads.relative(a).total_cmp(&loads.relative(b));
    let cold = match empty {
        Some(empty) => empty,
        None => open().min_by(by_load)?,
    };
    let by_keys = |a: &&Candidate, b: &&Candidate| {
        let keys = |candidate: &Candidate| loads.keys.get(&candidate.holder).copied();
        by_load(a, b).then_with(|| keys(a).cmp(&keys(b)))
    };
    let mut others: Vec<_> = open().filter(|c| c.holder != cold.holder).collect();
    others.sort_by(|a, b| by_keys(b, a));
    let to = cold.holder.clone();
    if let Some(_) = empty
        && let Some(range) = others.first().and_then(|hot| half_of_widest(shares, hot))
        && loads.relative(others[0]) <= 0.0
    {
        return Some(Move { range, to });
    }
    let mean = loads.mean(open());
    let is_hot = |hot: &&&Candidate| {
        let busy = loads.relative(hot);
        let over = (busy - mean) * hot.capacity;
        busy >= (HOT_RATIO * mean).max(LEAST_BUSY)
            && busy - loads.relative(cold) >= LEAST_DIFFERENCE
            && over >= DEVIATIONS * KeyLoad::rate_std_dev(busy * hot.capacity)
    };
    // The busiest may have nothing to give: a key that is busy alone stays where it is.
    let hot = others
        .iter()
        .take_while(|hot| empty.is_some() || is_hot(hot));
    let pieces = hot.filter_map(|hot| piece(shares, key_load, hot, cold, &loads, mean));
    if let Some(range) = pieces.into_iter().next() {
        return Some(Move { range, to });
    }
    let hottest = others.first()?;
    if empty.is_some() {
        let range = half_of_widest(shares, hottest)?;
        return Some(Move { range, to });
    }
    lone_key(shares, key_load, hottest, &others).filter(|_| is_hot(&hottest))
}

/// Returns the move of a key that is too busy for its owner to a much faster one, if there is one.
fn lone_key(
    shares: &[Share<'_>],
    key_load: &KeyLoad,
    hot: &Candidate,
    others: &[&Candidate],
) -> Option<Move> {
    let own = shares.iter().filter(|share| *share.owner == hot.holder);
    let free = own.filter(|share| share.free);
    let load = |share: &&Share<'_>| key_load.rate(share.range);
    let busiest = free.max_by(|a, b| load(a).total_cmp(&load(b)))?;
    let key = key_load.busiest(busiest.range)?;
    let by_speed = |a: &&&Candidate, b: &&&Candidate| a.capacity.total_cmp(&b.capacity);
    let fastest = others.iter().max_by(by_speed)?;
    let range = KeyRange {
        first: key,
        last: key,
    };
    let to = fastest.holder.clone();
    (fastest.capacity >= FASTER * hot.capacity).then_some(Move { range, to })
}

impl Candidate {
    /// Returns whether it may get any keys.
    fn is_open(&self) -> bool {
        !self.leaving && !self.on_probation
    }
}

/// Returns one key that can be spared.
fn last_key(shares: &[Share<'_>]) -> Option<KeyRange> {
    let mut free = shares.iter().filter(|share| share.free);
    let last = free.find(|share| share.range.len() > 1)?.range.last;
    Some(KeyRange { first: last, last })
}

fn half_of_widest(shares: &[Share<'_>], owner: &Candidate) -> Option<KeyRange> {
    let own = shares.iter().filter(|share| *share.owner == owner.holder);
    let free = own.filter(|share| share.free && share.range.len() > 1);
    let widest = free.max_by_key(|share| share.range.len())?.range;
    let first = widest.first + ((widest.len() / 2) as u16);
    Some(KeyRange { first, ..widest })
}

/// Returns the piece of a busy owner's keys whose load comes closest to what should go to an idle
/// one; none that would only exchange the two.
fn piece(
    shares: &[Share<'_>],
    key_load: &KeyLoad,
    hot: &Candidate,
    cold: &Candidate,
    loads: &Loads<'_>,
    mean: f64,
) -> Option<KeyRange> {
    let (most_loaded, least_loaded) = (loads.relative(hot), loads.relative(cold));
    let over = (most_loaded - mean) * hot.capacity;
    let room = (mean - least_loaded) * cold.capacity;
    let wanted = over.min(room).max(0.0);
    let most = (most_loaded - least_loaded) * hot.capacity.min(cold.capacity);
    let own = shares.iter().filter(|share| *share.owner == hot.holder);
    let pieces = own
        .filter(|share| share.free)
        .flat_map(|share| pieces_of(share.range, key_load, wanted));
    let weighed = pieces.map(|range| (key_load.rate(range), range));
    let fit = weighed.filter(|(load, _)| *load > 0.0 && *load < most);
    let distance = |load: f64| (load - wanted).abs();
    fit.min_by(|a, b| distance(a.0).total_cmp(&distance(b.0)))
        .map(|(_, range)| range)
}

fn pieces_of(range: KeyRange, key_load: &KeyLoad, wanted: f64) -> Vec<KeyRange> {
    let mut pieces = Vec::new();
    if key_load.rate(range) <= wanted * PIECE_TOLERANCE {
        pieces.push(range);
    }
    if let Some(last) = key_load.split_point(range, wanted) {
        pieces.push(KeyRange { last, ..range });
        let first = last + 1;
        pieces.push(KeyRange { first, ..range });
    }
    pieces
}

struct Loads<'a> {
    load: BTreeMap<&'a Holder, f64>,
    keys: BTreeMap<&'a Holder, u32>,
}

impl<'a> Loads<'a> {
    fn new(candidates: &'a [Candidate], shares: &[Share<'a>], key_load: &KeyLoad) -> Self {
        let zero = candidates.iter().map(|candidate| (&candidate.holder, 0.0));
        let mut load: BTreeMap<_, _> = zero.collect();
        let mut keys = BTreeMap::new();
        for share in shares {
            *load.entry(share.owner).or_insert(0.0) += key_load.rate(share.range);
            *keys.entry(share.owner).or_insert(0) += share.range.len();
        }
        Self { load, keys }
    }

    fn relative(&self, candidate: &Candidate) -> f64 {
        let load = self.load.get(&candidate.holder).copied();
        load.unwrap_or_default() / candidate.capacity
    }

    /// Returns the mean load, the few busiest left out: a key that is busy alone cannot be spread.
    fn mean<'b>(&self, candidates: impl Iterator<Item = &'b Candidate>) -> f64 {
        let mut all: Vec<_> = candidates.collect();
        all.sort_by(|a, b| self.relative(b).total_cmp(&self.relative(a)));
        let left_out = (all.len() / BUSIEST_PART).max(1).min(all.len() - 1);
        let (mut load, mut capacity) = (0.0, 0.0);
        for candidate in &all[left_out..] {
            load += self.relative(candidate) * candidate.capacity;
            capacity += candidate.capacity;
        }
        load / capacity
    }
}
