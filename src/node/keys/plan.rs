//! Plans which target should own which keys, by small moves from the most to the least loaded one.

use std::collections::BTreeMap;

use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyRange;

/// An owner is overloaded only above this multiple of the mean utilisation; a move interrupts
/// service, so smaller differences are not worth one.
const OVERLOAD_RATIO: f64 = 1.3;
/// An owner is overloaded only above this utilisation; below it, requests hardly wait.
const MIN_OVERLOAD: f64 = 0.45;
/// An owner is overloaded only if its utilisation exceeds that of the least loaded target by this.
const MIN_DIFFERENCE: f64 = 0.2;
/// An owner is overloaded only if its load exceeds the mean by this many standard deviations of the
/// rate estimate.
const MIN_DEVIATIONS: f64 = 2.0;
/// The mean excludes the most loaded of this many owners.
const OWNERS_PER_OUTLIER: usize = 12;
/// A single key that overloads its owner moves only to a target with at least this multiple of the
/// owner's capacity.
const MIN_CAPACITY_RATIO: f64 = 1.3;
/// A whole range is moved only if its load is at most this multiple of the desired load.
const MAX_LOAD_RATIO: f64 = 1.4;

/// Which grants of keys a target may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantScope {
    /// All grants.
    All,
    /// Renewals of grants that it has accepted.
    Renewals,
    /// None.
    None,
}

/// Utilisation that a cold target is brought to by the first keys that it is given, and the highest one
/// that a move may cause. Requests beyond its rate are refused, so the load may not be close to it.
const COLD_UTILISATION: f64 = 0.5;
const MAX_COLD_UTILISATION: f64 = 0.7;
/// Ranges of lost owners are split where they would raise the utilisation of their new owner above this.
const MAX_PLACED: f64 = 0.9;
/// Smallest part that is split off a range, as a utilisation of its new owner. Without it, an overload of
/// all targets divided ranges into single keys, and the grants and announcements of these added to it.
const MIN_PART: f64 = 0.25;

/// A target that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target's process.
    pub holder: Holder,
    /// The address that orders are sent to.
    pub address: std::net::SocketAddr,
    /// The number of requests per second that it can process; above 0.
    pub capacity: f64,
    /// True if it is shutting down and must give up its keys.
    pub leaving: bool,
    /// Which grants it may be given; those of a leaving target are restricted if its data centre is
    /// evacuated.
    pub grants: GrantScope,
    /// True if it was lost recently, so that it is given one key first.
    pub on_probation: bool,
    /// True if it is cold and tolerates no more than `capacity`.
    pub cold: bool,
    /// True if the process has responded under its id at this address.
    pub proven: bool,
}

/// A planned move of keys to a new owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The keys to move: one owner's range, or a part of it.
    pub range: KeyRange,
    /// The new owner.
    pub to: Holder,
}

/// A key range and its owner, as input of the planning.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedRange<'a> {
    /// The owned keys.
    pub range: KeyRange,
    /// The owner, or the next owner while the range moves.
    pub owner: &'a Holder,
    /// True if the range may be moved now.
    pub movable: bool,
}

/// Plans new owners of ranges whose owners cannot keep them, the busiest range first. Each range goes to
/// the candidate with the lowest utilisation after the move; of equal ones, to the one with the fewest
/// keys. A range that no candidate has room for is split, so that the busiest ranges do not overload the
/// first candidates that get them. Cold candidates get ranges only if there are no others, since a range
/// may be busier than they tolerate.
///
/// `ranges` contains all ranges with owners. In `lost`, each range has the owner that it leaves, if any;
/// the last field states whether it may be split. The load of these owners counts no longer.
pub fn place(
    candidates: &[Candidate],
    ranges: &[OwnedRange<'_>],
    lost: Vec<LostRange<'_>>,
    key_load: &KeyLoad,
) -> Vec<Move> {
    let mut loads = Loads::new(candidates, ranges, key_load);
    for range in &lost {
        loads.remove(range.owner, range.range, key_load.rate(range.range));
    }
    let open = candidates.iter().filter(|candidate| candidate.is_open());
    let any_warm = open.clone().any(|candidate| !candidate.cold);
    let usable = open.filter(|candidate| !candidate.cold || !any_warm);
    let mut places: Vec<Place<'_>> = usable.map(|candidate| loads.place(candidate)).collect();
    let with_rate = lost
        .into_iter()
        .map(|range| (key_load.rate(range.range), range));
    let mut waiting: Vec<_> = with_rate.collect();
    waiting.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut moves = Vec::with_capacity(waiting.len());
    while let Some((rate, lost)) = waiting.pop() {
        let others = places
            .iter_mut()
            .filter(|place| Some(&place.candidate.holder) != lost.owner);
        let best = others.min_by(|a, b| {
            let by_load = a.utilisation(rate).total_cmp(&b.utilisation(rate));
            by_load.then_with(|| a.keys.cmp(&b.keys))
        });
        let Some(best) = best else {
            continue;
        };
        let overloads = best.utilisation(rate) > MAX_PLACED;
        let split = (lost.splittable && overloads && best.has_room_for_part())
            .then(|| key_load.split_point(lost.range, best.room()))
            .flatten();
        let range = match split {
            Some(last) => {
                let first = last + 1;
                let range = KeyRange {
                    first,
                    ..lost.range
                };
                let rest = (key_load.rate(range), LostRange { range, ..lost });
                let at = waiting.partition_point(|(rate, _)| *rate < rest.0);
                waiting.insert(at, rest);
                KeyRange { last, ..lost.range }
            }
            None => lost.range,
        };
        best.load += key_load.rate(range);
        best.keys += range.len();
        let to = best.candidate.holder.clone();
        moves.push(Move { range, to });
    }
    moves
}

/// A range whose owner cannot keep it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LostRange<'a> {
    /// The keys.
    pub range: KeyRange,
    /// The owner that they leave, if any.
    pub owner: Option<&'a Holder>,
    /// True if parts of the range may move to different owners.
    pub splittable: bool,
}

/// A candidate, with the load that it has and that it has been given.
struct Place<'a> {
    candidate: &'a Candidate,
    load: f64,
    keys: u32,
}

impl Place<'_> {
    /// Returns the utilisation with an additional load.
    fn utilisation(&self, rate: f64) -> f64 {
        (self.load + rate) / self.candidate.capacity
    }

    /// Returns true if a part of a range is worth a range of its own.
    fn has_room_for_part(&self) -> bool {
        self.room() >= MIN_PART * self.candidate.capacity
    }

    /// Returns the load that it can take.
    fn room(&self) -> f64 {
        (MAX_PLACED * self.candidate.capacity - self.load).max(0.0)
    }
}

/// Divides all keys into equal ranges, one per candidate.
pub fn equal_ranges(candidates: &[Candidate]) -> Vec<(KeyRange, Holder)> {
    let open: Vec<_> = candidates.iter().filter(|c| c.is_open()).collect();
    let count = open.len() as u32;
    let all = KeyRange::ALL.len();
    let start = |at: u32| (u64::from(all) * u64::from(at) / u64::from(count)) as u32;
    let range_of = |(at, candidate): (usize, &&Candidate)| {
        let at = at as u32;
        let range = KeyRange {
            first: start(at) as u16,
            last: (start(at + 1) - 1) as u16,
        };
        (range, candidate.holder.clone())
    };
    open.iter().enumerate().map(range_of).collect()
}

/// Returns the next move that balances the load, or `None` if no move is worth its interruption.
pub fn next_move(
    candidates: &[Candidate],
    ranges: &[OwnedRange<'_>],
    key_load: &KeyLoad,
) -> Option<Move> {
    let loads = Loads::new(candidates, ranges, key_load);
    let open = || candidates.iter().filter(|candidate| candidate.is_open());
    let is_empty = |candidate: &&Candidate| !loads.keys.contains_key(&candidate.holder);
    let on_probation = candidates.iter().filter(|c| c.on_probation && !c.leaving);
    if let Some(probed) = on_probation.clone().find(is_empty) {
        let range = spare_key(ranges)?;
        let to = probed.holder.clone();
        return Some(Move { range, to });
    }
    let mut empty_cold = open().filter(is_empty).filter(|candidate| candidate.cold);
    let first_move =
        empty_cold.find_map(|cold| first_cold_move(candidates, ranges, key_load, cold));
    if first_move.is_some() {
        return first_move;
    }
    let empty = open().filter(is_empty).find(|candidate| !candidate.cold);
    let by_load =
        |a: &&Candidate, b: &&Candidate| loads.utilisation(a).total_cmp(&loads.utilisation(b));
    let coldest = match empty {
        Some(empty) => empty,
        None => open().min_by(by_load)?,
    };
    let by_keys = |a: &&Candidate, b: &&Candidate| {
        let keys = |candidate: &Candidate| loads.keys.get(&candidate.holder).copied();
        by_load(a, b).then_with(|| keys(a).cmp(&keys(b)))
    };
    let mut others: Vec<_> = open().filter(|c| c.holder != coldest.holder).collect();
    others.sort_by(|a, b| by_keys(b, a));
    let to = coldest.holder.clone();
    if let Some(_) = empty
        && let Some(range) = others.first().and_then(|hot| half_of_widest(ranges, hot))
        && loads.utilisation(others[0]) <= 0.0
    {
        return Some(Move { range, to });
    }
    let mean = loads.mean_utilisation(open());
    let is_hot = |hot: &&&Candidate| {
        let utilisation = loads.utilisation(hot);
        let excess = (utilisation - mean) * hot.capacity;
        utilisation >= (OVERLOAD_RATIO * mean).max(MIN_OVERLOAD)
            && utilisation - loads.utilisation(coldest) >= MIN_DIFFERENCE
            && excess >= MIN_DEVIATIONS * KeyLoad::rate_std_dev(utilisation * hot.capacity)
    };
    // The most loaded owner may have no range to give up, since a single hot key cannot be split.
    let hot_owners = others
        .iter()
        .take_while(|hot| empty.is_some() || is_hot(hot));
    let parts =
        hot_owners.filter_map(|hot| part_to_move(ranges, key_load, hot, coldest, &loads, mean));
    if let Some(range) = parts.into_iter().next() {
        return Some(Move { range, to });
    }
    let hottest = others.first()?;
    if empty.is_some() {
        let range = half_of_widest(ranges, hottest)?;
        return Some(Move { range, to });
    }
    move_hot_key(ranges, key_load, hottest, &others).filter(|_| is_hot(&hottest))
}

/// Returns the first move of keys to a cold target that has none: a part of a range whose load is known
/// and which the target tolerates, preferably of the most loaded owner.
fn first_cold_move(
    candidates: &[Candidate],
    ranges: &[OwnedRange<'_>],
    key_load: &KeyLoad,
    cold: &Candidate,
) -> Option<Move> {
    let loads = Loads::new(candidates, ranges, key_load);
    let owners = candidates.iter().filter(|c| c.holder != cold.holder);
    let busiest = owners.max_by(|a, b| loads.utilisation(a).total_cmp(&loads.utilisation(b)))?;
    let desired = COLD_UTILISATION * cold.capacity;
    let max_load = MAX_COLD_UTILISATION * cold.capacity;
    let own = ranges
        .iter()
        .filter(|range| range.movable && *range.owner == busiest.holder);
    let parts = own.flat_map(|range| parts_of(range.range, key_load, desired));
    let with_load = parts.map(|range| (key_load.rate(range), range));
    let fitting = with_load.filter(|(load, _)| *load > 0.0 && *load <= max_load);
    let best = fitting.max_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, range)| Move {
        range,
        to: cold.holder.clone(),
    })
}

/// Returns the move of a single key that overloads its owner to a target of much higher capacity,
/// if there is one.
fn move_hot_key(
    ranges: &[OwnedRange<'_>],
    key_load: &KeyLoad,
    hot: &Candidate,
    others: &[&Candidate],
) -> Option<Move> {
    let own = ranges.iter().filter(|range| *range.owner == hot.holder);
    let movable = own.filter(|range| range.movable);
    let load = |range: &&OwnedRange<'_>| key_load.rate(range.range);
    let busiest = movable.max_by(|a, b| load(a).total_cmp(&load(b)))?;
    let key = key_load.busiest(busiest.range)?;
    let by_capacity = |a: &&&Candidate, b: &&&Candidate| a.capacity.total_cmp(&b.capacity);
    let fastest = others.iter().max_by(by_capacity)?;
    let range = KeyRange {
        first: key,
        last: key,
    };
    let to = fastest.holder.clone();
    (fastest.capacity >= MIN_CAPACITY_RATIO * hot.capacity).then_some(Move { range, to })
}

impl Candidate {
    /// Returns true if the target may get any number of keys.
    fn is_open(&self) -> bool {
        !self.leaving && !self.on_probation
    }
}

/// Returns one key of a movable range, without taking the range's only key.
fn spare_key(ranges: &[OwnedRange<'_>]) -> Option<KeyRange> {
    let mut movable = ranges.iter().filter(|range| range.movable);
    let last = movable.find(|range| range.range.len() > 1)?.range.last;
    Some(KeyRange { first: last, last })
}

/// Returns the upper half of the widest movable range of an owner.
fn half_of_widest(ranges: &[OwnedRange<'_>], owner: &Candidate) -> Option<KeyRange> {
    let own = ranges.iter().filter(|range| *range.owner == owner.holder);
    let movable = own.filter(|range| range.movable && range.range.len() > 1);
    let widest = movable.max_by_key(|range| range.range.len())?.range;
    let first = widest.first + ((widest.len() / 2) as u16);
    Some(KeyRange { first, ..widest })
}

/// Returns the part of an overloaded owner's keys whose load is closest to what should move to the
/// least loaded target; `None` if any part would only swap their roles.
fn part_to_move(
    ranges: &[OwnedRange<'_>],
    key_load: &KeyLoad,
    hot: &Candidate,
    coldest: &Candidate,
    loads: &Loads<'_>,
    mean: f64,
) -> Option<KeyRange> {
    let (hot_utilisation, cold_utilisation) = (loads.utilisation(hot), loads.utilisation(coldest));
    let excess = (hot_utilisation - mean) * hot.capacity;
    let spare = (mean - cold_utilisation) * coldest.capacity;
    let desired = excess.min(spare).max(0.0);
    let max_load = (hot_utilisation - cold_utilisation) * hot.capacity.min(coldest.capacity);
    let max_load = match coldest.cold {
        true => max_load.min((MAX_COLD_UTILISATION - cold_utilisation) * coldest.capacity),
        false => max_load,
    };
    let own = ranges.iter().filter(|range| *range.owner == hot.holder);
    let parts = own
        .filter(|range| range.movable)
        .flat_map(|range| parts_of(range.range, key_load, desired));
    let with_load = parts.map(|range| (key_load.rate(range), range));
    let fitting = with_load.filter(|(load, _)| *load > 0.0 && *load < max_load);
    let distance = |load: f64| (load - desired).abs();
    fitting
        .min_by(|a, b| distance(a.0).total_cmp(&distance(b.0)))
        .map(|(_, range)| range)
}

/// Returns the parts of a range that could be moved: the whole range if its load is not too high,
/// and both sides of the split at which the first has the desired load.
fn parts_of(range: KeyRange, key_load: &KeyLoad, desired: f64) -> Vec<KeyRange> {
    let mut parts = Vec::new();
    if key_load.rate(range) <= desired * MAX_LOAD_RATIO {
        parts.push(range);
    }
    if let Some(last) = key_load.split_point(range, desired) {
        parts.push(KeyRange { last, ..range });
        let first = last + 1;
        parts.push(KeyRange { first, ..range });
    }
    parts
}

/// The load in requests per second and the number of keys of each target.
struct Loads<'a> {
    load: BTreeMap<&'a Holder, f64>,
    keys: BTreeMap<&'a Holder, u32>,
}

impl<'a> Loads<'a> {
    fn new(candidates: &'a [Candidate], ranges: &[OwnedRange<'a>], key_load: &KeyLoad) -> Self {
        let zero = candidates.iter().map(|candidate| (&candidate.holder, 0.0));
        let mut load: BTreeMap<_, _> = zero.collect();
        let mut keys = BTreeMap::new();
        for range in ranges {
            *load.entry(range.owner).or_insert(0.0) += key_load.rate(range.range);
            *keys.entry(range.owner).or_insert(0) += range.range.len();
        }
        Self { load, keys }
    }

    /// Removes the load of a range from its owner.
    fn remove(&mut self, owner: Option<&Holder>, range: KeyRange, rate: f64) {
        let Some(owner) = owner else {
            return;
        };
        if let Some(load) = self.load.get_mut(owner) {
            *load = (*load - rate).max(0.0);
        }
        if let Some(keys) = self.keys.get_mut(owner) {
            *keys = keys.saturating_sub(range.len());
        }
    }

    fn place<'b>(&self, candidate: &'b Candidate) -> Place<'b> {
        let load = self.load.get(&candidate.holder).copied();
        let keys = self.keys.get(&candidate.holder).copied();
        Place {
            candidate,
            load: load.unwrap_or_default(),
            keys: keys.unwrap_or_default(),
        }
    }

    /// Returns the utilisation of a target: its load divided by its capacity.
    fn utilisation(&self, candidate: &Candidate) -> f64 {
        let load = self.load.get(&candidate.holder).copied();
        load.unwrap_or_default() / candidate.capacity
    }

    /// Returns the mean utilisation without the most loaded targets, since a single hot key cannot
    /// be divided.
    fn mean_utilisation<'b>(&self, candidates: impl Iterator<Item = &'b Candidate>) -> f64 {
        let mut all: Vec<_> = candidates.collect();
        all.sort_by(|a, b| self.utilisation(b).total_cmp(&self.utilisation(a)));
        let excluded = (all.len() / OWNERS_PER_OUTLIER).max(1).min(all.len() - 1);
        let (mut load, mut capacity) = (0.0, 0.0);
        for candidate in &all[excluded..] {
            load += self.utilisation(candidate) * candidate.capacity;
            capacity += candidate.capacity;
        }
        load / capacity
    }
}
