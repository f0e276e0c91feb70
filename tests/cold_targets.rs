//! Cold targets: until when a target is cold, the sum of the requests that all nodes send to it in any one
//! second, and the keys that it is given.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use gooseberryloft::cold_start::ALIVE_TIME;
use gooseberryloft::cold_start::Audience;
use gooseberryloft::cold_start::ColdReports;
use gooseberryloft::cold_start::ColdTime;
use gooseberryloft::cold_start::Members;
use gooseberryloft::cold_start::PERMIT_LIFETIME;
use gooseberryloft::cold_start::SETTLE_TIME;
use gooseberryloft::cold_start::issue_rate;
use gooseberryloft::cold_start::left_from_field;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ids::VmId;
use gooseberryloft::node::datagram::Tag;
use gooseberryloft::node::keys::key_load::KeyLoad;
use gooseberryloft::node::keys::map::Holder;
use gooseberryloft::node::keys::map::KeyRange;
use gooseberryloft::node::keys::plan;
use gooseberryloft::node::keys::plan::Candidate;
use gooseberryloft::node::keys::plan::GrantScope;
use gooseberryloft::node::keys::plan::LostRange;
use gooseberryloft::node::keys::plan::Move;
use gooseberryloft::node::keys::plan::OwnedRange;
use gooseberryloft::node::limit::Permits;
use gooseberryloft::node::limit::ProcessTag;
use gooseberryloft::node::limit::Verdict;
use gooseberryloft::node::limit::issuer_rank;

const MS: fn(u64) -> Duration = Duration::from_millis;
const TARGET: ProcessTag = ProcessTag {
    target: Tag(7),
    incarnation: 1,
};

// What a deployment states: 5.6 requests per second, of which any one second may hold 16.4.
const RATE: f64 = 5.6;
const FACTOR: f64 = 1.5;
const SLACK: f64 = 8.0;
const BOUND: f64 = RATE * FACTOR + SLACK;

// Guards against an older entry that ends the cold time early, and against repeats without news.
#[googletest::test]
fn evidence_never_ends_a_cold_time_early() {
    let now = Instant::now();
    let cold = ColdTime::default();
    expect_that!(cold.left(now), none());
    expect_that!(cold.record(now + MS(3_000)), eq(true));
    expect_that!(cold.record(now + MS(900)), eq(false));
    expect_that!(cold.record(now + MS(3_200)), eq(false));
    expect_that!(cold.left(now), some(eq(MS(3_200))));
    expect_that!(cold.left(now + MS(3_200)), none());
    expect_that!(cold.record(now + MS(9_000)), eq(true));
}

// Guards against values from the network that panic or count as cold.
#[googletest::test]
fn invalid_times_left_are_ignored() {
    for text in ["", "0", "-1", "nan", "inf", "1e999", "soon"] {
        let left = left_from_field([text.as_bytes()].into_iter());
        expect_that!(left, none(), "{text}");
    }
    expect_that!(left_from_field([&b"850"[..], b"2"].into_iter()), none());
    let left = left_from_field([&b" 850.5"[..]].into_iter());
    expect_that!(left, some(eq(Duration::from_micros(850_500))));
}

// Guards against a node that misses the only datagram which says that a target is cold again.
#[googletest::test]
fn a_cold_target_is_reported_until_it_is_warm() {
    let now = Instant::now();
    let mut reports = ColdReports::default();
    reports.add(TARGET, now + MS(3_000), Audience::DataCentre);
    let rounds = (0..30).map(|round| now + MS(150) * round);
    let sent: Vec<_> = rounds
        .filter(|at| !reports.take_round(*at).is_empty())
        .map(|at| (at - now).as_millis())
        .collect();
    expect_that!(
        sent,
        elements_are![&0, &150, &300, &450, &1_050, &1_650, &2_250, &2_850]
    );
}

// Guards against a bound without room, with which nothing would be sent.
#[googletest::test]
fn the_rate_of_issue_is_positive_and_no_higher_than_the_rules_say() {
    expect_that!(issue_rate(RATE, FACTOR, SLACK), eq(RATE));
    expect_that!(issue_rate(2.0, 1.0, 0.0), eq(0.5));
    for rate in [0.1, 1.0, 20.0, 500.0] {
        let issued = issue_rate(rate, FACTOR, SLACK);
        expect_that!(issued, all![gt(0.0), le(rate)]);
        let sum = 2.0 * ((0.25 * issued).max(1.0) + 1.2 * issued);
        expect_that!(sum, le(rate * FACTOR + SLACK + 1e-6));
    }
}

/// Nodes that each ask for permits and take themselves or another one for their issuer.
struct Nodes {
    names: Vec<VmId>,
    members: Vec<Members>,
    permits: Vec<Permits>,
    /// Groups that hear only each other, and [`COMMON`], which hears all and which all hear.
    side: Vec<usize>,
    /// The share of datagrams that are lost.
    loss: f64,
    random: StdRng,
    now: Instant,
    /// When requests reached the target.
    arrivals: Vec<Instant>,
    /// The last times at which others were heard, for the nodes that ask.
    heard: Vec<BTreeMap<usize, Instant>>,
}

const COMMON: usize = usize::MAX;

const STEP: Duration = Duration::from_millis(50);
/// Time between heartbeats to other data centres, the longest one.
const HEARTBEAT_STEPS: u64 = 36;

impl Nodes {
    /// Creates nodes that know each other. Of `count` nodes only the first `active` by rank take part,
    /// since the others are never the issuer; they are heard by all on their side.
    fn new(count: usize, active: usize, seed: u64) -> Self {
        let mut names: Vec<_> = (0..count).map(|n| VmId::from(format!("n{n}"))).collect();
        names.sort_by_key(|name| std::cmp::Reverse(issuer_rank(TARGET.target, name)));
        let now = Instant::now();
        let mut nodes = Self {
            members: (0..active).map(|_| Members::default()).collect(),
            permits: (0..active).map(|_| Permits::default()).collect(),
            side: vec![0; count],
            heard: vec![BTreeMap::new(); active],
            loss: 0.0,
            random: StdRng::seed_from_u64(seed),
            now,
            arrivals: Vec::new(),
            names,
        };
        (0..HEARTBEAT_STEPS).for_each(|step| nodes.exchange_heartbeats(step));
        nodes.run(MS(8_000), 0);
        nodes
    }

    fn exchange_heartbeats(&mut self, step: u64) {
        for to in 0..self.members.len() {
            let due = (0..self.names.len())
                .filter(|from| (*from as u64 + step).is_multiple_of(HEARTBEAT_STEPS));
            for from in due.filter(|from| *from != to) {
                let is_lost = self.random.random_bool(self.loss);
                if self.hears(to, from) && !is_lost {
                    self.members[to].record_heartbeat(&self.names[from], self.now);
                    self.heard[to].insert(from, self.now);
                }
            }
        }
    }

    /// Lets `askers` nodes ask in each step, for a time.
    fn run(&mut self, time: Duration, askers: usize) {
        let until = self.now + time;
        let mut step = 0;
        while self.now < until {
            self.now += STEP;
            step += 1;
            self.exchange_heartbeats(step);
            for _ in 0..askers {
                let asker = self.random.random_range(0..self.members.len());
                self.ask(asker);
            }
        }
    }

    fn ask(&mut self, asker: usize) {
        let now = self.now;
        let is_alive = |other: &usize| {
            *other == asker
                || self.heard[asker]
                    .get(other)
                    .is_some_and(|at| now - *at < ALIVE_TIME)
        };
        let issuer = (0..self.members.len()).find(is_alive).unwrap_or(asker);
        let is_lost = issuer != asker && self.random.random_bool(self.loss);
        if is_lost || !self.hears(issuer, asker) {
            return;
        }
        let rank = |name: &VmId| issuer_rank(TARGET.target, name);
        if !self.members[issuer].may_issue(&self.names[issuer], rank, now) {
            return;
        }
        let rate = issue_rate(RATE, FACTOR, SLACK);
        if self.permits[issuer].take(TARGET, rate, now) == Verdict::Granted {
            let delay = self.random.random_range(0.0..1.0);
            self.arrivals.push(now + PERMIT_LIFETIME.mul_f64(delay));
        }
    }

    fn hears(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.side[a], self.side[b]);
        a == b || a == COMMON || b == COMMON
    }

    /// Forgets what a node knew, as when its process restarts; it has read the rows of the nodes.
    fn restart(&mut self, node: usize) {
        self.permits[node] = Permits::default();
        self.heard[node].clear();
        self.members[node] = Members::default();
        for name in self.names.iter().filter(|name| **name != self.names[node]) {
            self.members[node].record_listed(name, self.now);
        }
    }

    /// Returns the most arrivals in any one second.
    fn busiest_second(&self) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort();
        let counts = arrivals.iter().map(|first| {
            let in_second = arrivals.iter().filter(|at| *at >= first);
            in_second.filter(|at| **at < *first + MS(1_000)).count()
        });
        counts.max().unwrap_or(0)
    }
}

// Guards against a rate that is lost, or exceeded without any fault.
#[googletest::test]
fn nodes_that_agree_use_the_rate_and_stay_below_the_bound() {
    let mut nodes = Nodes::new(87, 87, 1);
    nodes.run(MS(10_000), 20);
    expect_that!(nodes.arrivals.len(), all![ge(50), le(58)]);
    expect_that!(nodes.busiest_second() as f64, le(BOUND));
}

// Guards against nodes that issue permits beside each other while they disagree about the members.
#[googletest::test]
fn the_sum_stays_below_the_bound_through_partitions_restarts_and_losses() {
    for seed in 0..3 {
        let mut nodes = Nodes::new(87, 87, seed);
        nodes.loss = [0.0, 0.1, 0.3][seed as usize];
        for sides in [2, 3, 87, 1] {
            nodes.side = (0..87).map(|node| node % sides).collect();
            nodes.run(MS(9_000), 30);
            (0..87).step_by(9).for_each(|node| nodes.restart(node));
            nodes.run(MS(3_000), 30);
        }
        nodes.run(MS(8_000), 30);
        let before = nodes.arrivals.len();
        nodes.run(MS(5_000), 30);
        expect_that!(nodes.arrivals.len() - before, ge(15), "seed {seed}");
        expect_that!(nodes.busiest_second() as f64, le(BOUND), "seed {seed}");
    }
}

// Guards against data centres that do not hear each other while a third one hears both, so that each of the
// two has a majority.
#[googletest::test]
fn two_sides_with_a_majority_each_stay_below_the_bound() {
    let mut nodes = Nodes::new(87, 87, 5);
    nodes.loss = 0.1;
    nodes.side = (0..87).map(|node| [0, 1, COMMON][node % 3]).collect();
    nodes.run(MS(15_000), 30);
    nodes.side = vec![0; 87];
    nodes.run(MS(9_000), 30);
    expect_that!(nodes.busiest_second() as f64, le(BOUND));
    expect_that!(nodes.arrivals.len(), ge(100));
}

// Guards against the same at the target size, where views are seldom equal.
#[googletest::test]
fn the_sum_of_4000_nodes_stays_below_the_bound() {
    let mut nodes = Nodes::new(4_000, 6, 9);
    nodes.loss = 0.3;
    let asks = 8;
    for cut in [0, 3_000, 900, 0] {
        nodes.side = (0..4_000).map(|node| usize::from(node < cut)).collect();
        nodes.run(MS(7_000), asks);
        nodes.restart(0);
        nodes.run(MS(2_000), asks);
    }
    expect_that!(nodes.busiest_second() as f64, le(BOUND));
    expect_that!(nodes.arrivals.len(), ge(20));
}

// Guards against a rate that is too high for the largest number of issuers that is allowed for: both have
// saved a burst, and all nodes send as late as their permits allow.
#[googletest::test]
fn two_issuers_at_once_stay_below_the_bound() {
    let start = Instant::now();
    let rate = issue_rate(RATE, FACTOR, SLACK);
    let mut granted = 0;
    for _ in 0..2 {
        let mut permits = Permits::default();
        permits.take(TARGET, rate, start);
        let first = start + MS(5_000);
        let span = (MS(1_000) + PERMIT_LIFETIME).as_millis() as u64;
        let asks = (0..=span).map(|ms| first + MS(ms));
        let verdicts = asks.map(|at| permits.take(TARGET, rate, at));
        granted += verdicts.filter(|v| *v == Verdict::Granted).count();
    }
    expect_that!(granted as f64, all![gt(12.0), le(BOUND)]);
}

// Guards against an issuer that begins while others still ask the former one, and one that never begins.
#[googletest::test]
fn a_new_issuer_waits_until_nobody_asks_the_former_one() {
    let start = Instant::now();
    let (own, other, lost) = (VmId::from("b"), VmId::from("a"), VmId::from("c"));
    let rank = |node: &VmId| u64::from(node.as_str().as_bytes()[0]);
    let mut members = Members::default();
    members.record_heartbeat(&lost, start);
    members.record_heartbeat(&other, start);
    let may_issue = |members: &mut Members, at: Duration| {
        members.record_heartbeat(&other, start + at);
        members.may_issue(&own, rank, start + at)
    };
    expect_that!(may_issue(&mut members, ALIVE_TIME), eq(false));
    expect_that!(may_issue(&mut members, ALIVE_TIME + SETTLE_TIME), eq(true));
    let silent = start + MS(30_000);
    expect_that!(members.may_issue(&own, rank, silent), eq(false));
}

fn holder(id: &str) -> Holder {
    Holder {
        id: TargetId::from(id),
        incarnation: 1,
    }
}

fn candidate(id: &str, cold: bool) -> Candidate {
    Candidate {
        holder: holder(id),
        address: "127.0.0.1:1".parse().expect("an address"),
        capacity: if cold { RATE } else { 27.0 },
        leaving: false,
        grants: GrantScope::All,
        on_probation: false,
        cold,
        proven: true,
    }
}

/// Returns the load of 100 keys, spread evenly, that get about `rate` requests per second together.
fn even_load(rate: f64) -> KeyLoad {
    let now = Instant::now();
    let mut load = KeyLoad::new(now);
    let each = 1_000u32;
    (0..100u16).for_each(|key| load.add(key * 655, each));
    let factor = load.rate(KeyRange::ALL) / rate;
    load.decay(now + MS(1_500).mul_f64(factor.log2()));
    load
}

fn ranges<'a>(owners: &[(u16, u16, &'a Holder)]) -> Vec<OwnedRange<'a>> {
    let owned = owners.iter().map(|(first, last, owner)| OwnedRange {
        range: KeyRange {
            first: *first,
            last: *last,
        },
        owner,
        movable: true,
    });
    owned.collect()
}

// Guards against half of a busy range for a target that has just started: 20 requests per second for one
// that tolerates 5.6.
#[googletest::test]
fn an_empty_cold_target_gets_only_keys_with_a_load_that_its_rate_can_take() {
    let candidates = [candidate("warm", false), candidate("cold", true)];
    let owned = ranges(&[(0, u16::MAX, &candidates[0].holder)]);
    let load = even_load(40.0);
    let planned = plan::next_move(&candidates, &owned, &load);
    let planned = planned.expect("the cold target can take some load");
    expect_that!(planned.to, eq(&candidates[1].holder));
    expect_that!(load.rate(planned.range), all![gt(1.0), le(0.7 * RATE)]);
    let unknown = KeyLoad::new(Instant::now());
    expect_that!(plan::next_move(&candidates, &owned, &unknown), none());
    let warm = [candidate("warm", false), candidate("cold", false)];
    let planned = plan::next_move(&warm, &owned, &unknown);
    expect_that!(planned.map(|planned| planned.range.len()), some(eq(32_768)));
}

// Guards against an owner that becomes cold again and keeps a load that it does not tolerate, and against a
// second cold target that is overloaded by it.
#[googletest::test]
fn an_owner_that_becomes_cold_gives_load_to_targets_that_can_take_it() {
    let mut candidates = vec![candidate("cold", true), candidate("warm", false)];
    candidates.push(candidate("other", true));
    let holders: Vec<_> = candidates.iter().map(|c| c.holder.clone()).collect();
    let middle = u16::MAX / 2;
    let mut owned = vec![
        (0, middle, 0usize),
        (middle + 1, u16::MAX - 700, 1),
        (u16::MAX - 699, u16::MAX, 2),
    ];
    let load = even_load(20.0);
    for _ in 0..20 {
        let owners: Vec<_> = owned
            .iter()
            .map(|(a, b, o)| (*a, *b, &holders[*o]))
            .collect();
        let Some(planned) = plan::next_move(&candidates, &ranges(&owners), &load) else {
            break;
        };
        let to = holders.iter().position(|h| *h == planned.to);
        let (to, moved) = (to.expect("a candidate"), planned.range);
        let mut next = vec![(moved.first, moved.last, to)];
        for (first, last, owner) in owned {
            if first < moved.first {
                next.push((first, last.min(moved.first - 1), owner));
            }
            if last > moved.last {
                next.push((first.max(moved.last + 1), last, owner));
            }
        }
        next.retain(|(first, last, _)| first <= last);
        owned = next;
    }
    let rate_of = |owner: usize| -> f64 {
        let own = owned.iter().filter(|(.., o)| *o == owner);
        own.map(|(first, last, _)| {
            load.rate(KeyRange {
                first: *first,
                last: *last,
            })
        })
        .sum()
    };
    expect_that!(rate_of(0), all![gt(0.0), le(RATE)]);
    expect_that!(rate_of(2), le(RATE));
}

// Guards against a lost owner's busy range that goes as a whole to a target which has just started.
#[googletest::test]
fn a_lost_range_goes_to_a_cold_target_only_if_all_are_cold() {
    let mut candidates = [candidate("warm", false), candidate("cold", true)];
    let gone = holder("gone");
    let warm = holder("warm");
    let owned = ranges(&[(0, 30_000, &warm), (30_001, u16::MAX, &gone)]);
    let load = even_load(40.0);
    let lost = LostRange {
        range: KeyRange {
            first: 30_001,
            last: u16::MAX,
        },
        owner: Some(&gone),
        splittable: false,
    };
    let moves = plan::place(&candidates, &owned, vec![lost], &load);
    expect_that!(moves, elements_are![field!(Move.to, eq(&holder("warm")))]);
    candidates[0].cold = true;
    let moves = plan::place(&candidates, &owned, vec![lost], &load);
    expect_that!(moves, len(eq(1)));
}
