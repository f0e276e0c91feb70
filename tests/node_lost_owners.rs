//! Loss of half of 4,000 owners at once: every key is granted again, without a burst of orders and without
//! new owners that get more load than they have room for. Only the leader's state machine runs, on a virtual
//! clock; the targets and the table are stand-ins that answer by the next tick.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::ids::TargetId;
use gooseberryloft::node::keys::key_load::KeyLoad;
use gooseberryloft::node::keys::leader::Action;
use gooseberryloft::node::keys::leader::Command;
use gooseberryloft::node::keys::leader::Inherited;
use gooseberryloft::node::keys::leader::Leader;
use gooseberryloft::node::keys::leader::Order;
use gooseberryloft::node::keys::leader::OrderOutcome;
use gooseberryloft::node::keys::leader::OrderReply;
use gooseberryloft::node::keys::map::Holder;
use gooseberryloft::node::keys::map::KeyMap;
use gooseberryloft::node::keys::map::KeyRange;
use gooseberryloft::node::keys::plan::Candidate;
use gooseberryloft::node::keys::plan::GrantScope;

const MS: fn(u64) -> Duration = Duration::from_millis;

const TARGETS: u16 = 4_000;
/// Targets that are lost: those with the lower numbers.
const LOST: u16 = 2_000;
/// How long the entry of a process that has ended stays in the list.
const LISTED_TIME: Duration = Duration::from_millis(2_600);
/// Orders in a second that suffice: a renewal for each range, and a release and a grant for each lost one.
const MAX_ORDERS: usize = TARGETS as usize + 2 * LOST as usize;
const TICK: Duration = Duration::from_millis(50);
/// Requests a second that a target can process.
const CAPACITY: f64 = 20.0;
/// The longest grant that targets accept.
const GRANT_LIMIT: Duration = Duration::from_millis(10_000);
/// The longest time that a target takes for a grant, and the time limit of an order.
const LONGEST_HOLD: Duration = Duration::from_millis(10_800);

/// What was measured, in virtual time except for the time that ticks took.
#[derive(Debug, Default)]
struct Figures {
    all_granted_after: Duration,
    orders: usize,
    max_orders_per_second: usize,
    slowest_tick: Duration,
    mean_tick: Duration,
    /// The highest load of a target that was given keys, by its capacity.
    max_utilisation: f64,
}

impl Figures {
    fn print(&self, name: &str) {
        println!(
            "{name}: all keys granted after {:?}, {} orders, at most {} a second; tick {:?} on average, \
             {:?} at most; utilisation at most {:.3}",
            self.all_granted_after,
            self.orders,
            self.max_orders_per_second,
            self.mean_tick,
            self.slowest_tick,
            self.max_utilisation
        );
    }
}

/// A leader with its targets, and a table that stores every map.
struct Cluster {
    now: Instant,
    leader: Leader,
    lost_at: Option<Instant>,
    load: KeyLoad,
    pending: Vec<Order>,
    written: Vec<KeyMap>,
    /// Until when processes hold ranges by their first keys.
    held: BTreeMap<u16, (KeyRange, Holder, Instant)>,
    orders: Vec<Instant>,
    ticks: Vec<Duration>,
}

fn candidate(number: u16) -> Candidate {
    Candidate {
        holder: Holder {
            id: TargetId::from(format!("t{number}")),
            incarnation: 1,
        },
        address: SocketAddr::from(([127, 0, 0, 1], number + 1)),
        capacity: CAPACITY,
        leaving: false,
        grants: GrantScope::All,
        on_probation: false,
        cold: false,
        proven: true,
    }
}

impl Cluster {
    /// Starts a cluster and runs it until all keys are granted.
    fn start() -> Self {
        let now = Instant::now() + MS(1_000_000);
        let mut leader = Leader::new(1, Inherited::Nothing, GRANT_LIMIT, now);
        leader.lease_confirmed(now);
        let mut cluster = Self {
            now,
            leader,
            lost_at: None,
            load: KeyLoad::new(now),
            pending: Vec::new(),
            written: Vec::new(),
            held: BTreeMap::new(),
            orders: Vec::new(),
            ticks: Vec::new(),
        };
        while cluster.now < now + MS(4_000) {
            cluster.tick();
        }
        assert_eq!(cluster.held_keys(), 1 << 16, "keys that were not granted");
        cluster
    }

    fn candidates(&self) -> Vec<Candidate> {
        let mut all: Vec<_> = (0..TARGETS).map(candidate).collect();
        if self
            .lost_at
            .is_some_and(|lost_at| self.now > lost_at + LISTED_TIME)
        {
            all.drain(..usize::from(LOST));
        }
        all
    }

    /// Returns the number of keys that processes hold which run.
    fn held_keys(&self) -> u32 {
        let live = self.held.values();
        let live = live.filter(|(_, by, until)| *until > self.now && self.runs(by));
        live.map(|(range, ..)| range.len()).sum()
    }

    fn runs(&self, process: &Holder) -> bool {
        let number = process.id.as_str()[1..].parse().unwrap_or(u16::MAX);
        self.lost_at.is_none() || number >= LOST
    }

    /// Adds demand for every eighth key, twice as much for some, but not enough to balance the load.
    fn add_demand(&mut self) {
        for key in (0..u16::MAX).step_by(8) {
            let requests = if key % 160 == 0 { 2 } else { 1 };
            self.load.add(key, requests);
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        self.leader.lease_confirmed(now);
        self.load.decay(now);
        for map in std::mem::take(&mut self.written) {
            self.leader.map_write_ended(map.version, true);
        }
        for order in std::mem::take(&mut self.pending) {
            let outcome = self.execute(&order);
            let actions = self.leader.order_ended(order.id, outcome, now);
            self.keep(actions);
        }
        let candidates = self.candidates();
        let begun = Instant::now();
        let actions = self.leader.tick(now, &candidates, &self.load);
        self.ticks.push(begun.elapsed());
        self.keep(actions);
    }

    fn keep(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(map) => self.written.push(map),
                Action::Send(order) => {
                    self.orders.push(self.now);
                    self.pending.push(order);
                }
                Action::Announce(..) | Action::CheckLease => {}
            }
        }
    }

    fn execute(&mut self, order: &Order) -> OrderOutcome {
        if !self.runs(&order.to) {
            return OrderOutcome::NotSent;
        }
        if let Command::Grant { duration, .. } = order.command {
            let first = order.range.first;
            let before = self.held.range(..=order.range.last).next_back();
            let overlapping = before.filter(|(_, (range, ..))| range.last >= first);
            let conflict = overlapping.filter(|(_, (_, by, until))| {
                *by != order.to && *until > self.now && self.runs(by)
            });
            assert!(conflict.is_none(), "{order:?} while {conflict:?} holds");
            let held = (order.range, order.to.clone(), self.now + duration);
            self.held.insert(first, held);
        } else {
            let held = self.held.get(&order.range.first);
            if held.is_some_and(|(_, by, _)| *by == order.to) {
                self.held.remove(&order.range.first);
            }
        }
        OrderOutcome::Done(OrderReply {
            handover: None,
            opened: self.now,
        })
    }

    /// Loses half of the targets, and runs until all keys are granted again or `limit` has passed.
    fn lose(&mut self, limit: Duration) -> Figures {
        let lost_at = self.now;
        self.lost_at = Some(lost_at);
        self.orders.clear();
        self.ticks.clear();
        let lost: Vec<_> = self.held.values().cloned().collect();
        let lost = lost.into_iter().filter(|(_, by, _)| !self.runs(by));
        let lost: Vec<_> = lost.map(|(range, ..)| range.first).collect();
        for first in lost {
            self.held.remove(&first);
        }
        while self.held_keys() < 1 << 16 && self.now < lost_at + limit {
            if (self.now - lost_at).as_millis().is_multiple_of(1_000) {
                self.add_demand();
            }
            self.tick();
        }
        self.figures(lost_at)
    }

    fn figures(&self, lost_at: Instant) -> Figures {
        let in_second = |from: &Instant| {
            let second = self.orders.iter();
            second
                .filter(|at| **at >= *from && **at < *from + MS(1_000))
                .count()
        };
        let mut loads = BTreeMap::<&Holder, f64>::new();
        for (range, by, _) in self.held.values() {
            *loads.entry(by).or_default() += self.load.rate(*range);
        }
        let mut seconds = self.orders.clone();
        seconds.dedup();
        Figures {
            all_granted_after: self.now - lost_at,
            orders: self.orders.len(),
            max_orders_per_second: seconds.iter().map(in_second).max().unwrap_or(0),
            slowest_tick: self.ticks.iter().max().copied().unwrap_or_default(),
            mean_tick: self.ticks.iter().sum::<Duration>() / self.ticks.len().max(1) as u32,
            max_utilisation: loads.values().fold(0.0, |max, load| load.max(max)) / CAPACITY,
        }
    }
}

#[googletest::test]
fn keys_of_half_of_4000_targets_that_crashed_are_granted_again_when_their_grants_have_expired() {
    let mut cluster = Cluster::start();
    cluster.add_demand();
    let figures = cluster.lose(MS(20_000));
    figures.print("crash");
    expect_that!(figures.all_granted_after, lt(LONGEST_HOLD + MS(1_500)));
    expect_that!(figures.max_orders_per_second, le(MAX_ORDERS));
    expect_that!(figures.max_utilisation, lt(1.5));
}
