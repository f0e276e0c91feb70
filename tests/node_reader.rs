//! Which node reads rules and targets for its data centre, and when the others read themselves.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::ids::VmId;
use gooseberryloft::node::datagram::ListDigest;
use gooseberryloft::node::datagram::ListPosition;
use gooseberryloft::node::list_schedule::ListSchedule;
use gooseberryloft::node::platform::Cursor;
use gooseberryloft::node::reader::Neighbour;
use gooseberryloft::node::reader::is_reader;
use gooseberryloft::platform::Generation;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// The nodes of a data centre as one of them sees the others, on a virtual clock.
struct DataCentre {
    names: Vec<VmId>,
    started: Instant,
    /// How long ago each node's last heartbeat arrived, in milliseconds.
    heartbeat_ages: Vec<u64>,
    table_fails: Vec<bool>,
}

impl DataCentre {
    fn new(count: usize) -> Self {
        Self {
            names: (0..count).map(|n| VmId::from(format!("n{n:03}"))).collect(),
            started: Instant::now(),
            heartbeat_ages: vec![100; count],
            table_fails: vec![false; count],
        }
    }

    /// Returns the nodes that consider themselves the reader, `after` the start.
    fn readers(&self, after: Duration) -> Vec<usize> {
        let now = self.started + after;
        let reads = |own: &usize| {
            let others = (0..self.names.len()).filter(|other| other != own);
            let neighbours = others.map(|other| Neighbour {
                name: &self.names[other],
                last_heartbeat: now.checked_sub(MS(self.heartbeat_ages[other])),
                table_fails: self.table_fails[other],
            });
            is_reader(&self.names[*own], self.started, neighbours, now)
        };
        (0..self.names.len()).filter(reads).collect()
    }
}

fn cursor(generation: u64, version: u64) -> Cursor {
    Cursor {
        generation: Generation(generation),
        version,
    }
}

fn position(version: u64, age: u16) -> ListPosition {
    ListPosition {
        cursor: cursor(1, version),
        digest: ListDigest::default(),
        age_ms: age,
    }
}

#[googletest::test]
fn one_node_reads_however_many_there_are() {
    for count in [1, 12, 60, 300] {
        expect_that!(DataCentre::new(count).readers(MS(5_000)), eq(&vec![0]));
    }
}

#[googletest::test]
fn a_node_that_has_just_started_leaves_reading_to_others() {
    expect_that!(DataCentre::new(60).readers(MS(500)), is_empty());
}

#[googletest::test]
fn a_silent_or_frozen_reader_is_replaced() {
    let mut centre = DataCentre::new(5);
    centre.heartbeat_ages[0] = 1_200;
    expect_that!(centre.readers(MS(5_000)), contains(eq(&1)));
    expect_that!(centre.readers(MS(5_000)), not(contains(eq(&2))));
}

#[googletest::test]
fn a_reader_that_the_table_refuses_is_replaced() {
    let mut centre = DataCentre::new(5);
    centre.table_fails[0] = true;
    expect_that!(centre.readers(MS(5_000)), contains(eq(&1)));
    expect_that!(centre.readers(MS(5_000)), not(contains(eq(&2))));
}

#[googletest::test]
fn every_node_reads_when_the_table_refuses_all() {
    let mut centre = DataCentre::new(3);
    centre.table_fails = vec![true; 3];
    expect_that!(centre.readers(MS(5_000)), len(eq(3)));
}

#[googletest::test]
fn rules_are_not_read_while_a_neighbour_reads_the_list() {
    let now = Instant::now() + MS(10_000);
    let mut schedule = ListSchedule::new(now);
    schedule.record_read(cursor(1, 5), ListDigest::default(), now);
    schedule.record_peer(position(5, 200), now + MS(3_000));
    expect_that!(schedule.next_rules_read(now), ge(now + MS(4_000)));
}

#[googletest::test]
fn rules_are_read_when_no_neighbour_has_read_the_list_for_long() {
    let now = Instant::now() + MS(10_000);
    let mut schedule = ListSchedule::new(now);
    schedule.record_read(cursor(1, 5), ListDigest::default(), now);
    // A neighbour is alive but has not reached the table since.
    schedule.record_peer(position(5, 3_000), now + MS(3_000));
    expect_that!(schedule.next_rules_read(now), le(now + MS(2_000)));
    // A neighbour with an older list reads nothing new.
    schedule.record_peer(position(4, 0), now + MS(3_000));
    expect_that!(schedule.next_rules_read(now), le(now + MS(2_000)));
}

#[googletest::test]
fn a_node_that_has_just_started_reads_the_list_at_once() {
    let now = Instant::now();
    expect_that!(ListSchedule::new(now).next_read(false), eq(now));
}

#[googletest::test]
fn a_lower_version_of_restored_data_confirms_the_list() {
    let now = Instant::now() + MS(10_000);
    let mut schedule = ListSchedule::new(now);
    schedule.record_read(cursor(1, 80), ListDigest::default(), now);
    let restored = ListPosition {
        cursor: cursor(2, 50),
        ..position(0, 100)
    };
    schedule.record_peer(restored, now + MS(3_000));
    expect_that!(schedule.next_read(false), ge(now + MS(4_000)));
    expect_that!(schedule.next_rules_read(now), ge(now + MS(4_000)));
}

#[googletest::test]
fn a_higher_version_from_before_a_restore_confirms_nothing() {
    let now = Instant::now() + MS(10_000);
    let mut schedule = ListSchedule::new(now);
    schedule.record_read(cursor(2, 50), ListDigest::default(), now);
    schedule.record_peer(position(80, 0), now + MS(1_000));
    expect_that!(schedule.next_read(false), le(now + MS(1_500)));
    let other = ListPosition {
        digest: ListDigest {
            all: 1,
            leaving: 1,
            staying: 1,
        },
        ..position(80, 0)
    };
    schedule.record_peer(other, now + MS(1_000));
    expect_that!(schedule.next_read(false), eq(now + MS(1_500)));
}
