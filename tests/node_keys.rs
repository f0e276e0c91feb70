//! Ownership of key ranges: whatever fails, no key is held twice, and keys come back.

#[path = "support/keys_simulation.rs"]
mod keys_simulation;

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::keys_simulation::Faults;
use crate::keys_simulation::Simulation;
use crate::keys_simulation::TestRng;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn settled(targets: usize, nodes: usize) -> Simulation {
    let mut simulation = Simulation::new(targets, nodes, 7);
    simulation.run(MS(3_000));
    assert!(simulation.held_part() > 0.999, "nothing settled");
    simulation
}

/// Returns how long it takes until all keys are held again.
fn until_held(simulation: &mut Simulation, limit: Duration) -> Duration {
    let start = simulation.passed();
    while simulation.held_part() < 0.999 {
        simulation.step();
        if simulation.passed() - start > limit {
            break;
        }
    }
    simulation.passed() - start
}

#[googletest::test]
fn every_key_gets_an_owner() {
    let simulation = settled(5, 3);
    expect_that!(simulation.broken, is_empty());
    for target in 0..5 {
        expect_that!(simulation.held_by(target), not(is_empty()));
    }
}

#[googletest::test]
fn a_crashed_targets_keys_come_back_once_its_hold_has_run_out() {
    let mut simulation = settled(4, 3);
    simulation.crash(1);
    simulation.run(MS(50));
    let took = until_held(&mut simulation, MS(10_000));
    expect_that!(took, lt(MS(4_000)));
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn a_target_that_nobody_reaches_keeps_its_keys_until_its_hold_has_run_out() {
    let mut simulation = settled(4, 3);
    for node in &mut simulation.nodes {
        node.cut_off.push(2);
    }
    simulation.run(MS(8_000));
    expect_that!(simulation.held_part(), gt(0.999));
    expect_that!(simulation.held_by(2), is_empty());
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn a_leaving_target_hands_its_keys_over() {
    let mut simulation = settled(4, 3);
    simulation.targets[0].leaving = true;
    simulation.run(MS(1_500));
    expect_that!(simulation.held_by(0), is_empty());
    expect_that!(simulation.held_part(), gt(0.999));
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn a_joining_target_gets_keys() {
    let mut simulation = settled(4, 3);
    simulation.targets[3].leaving = true;
    simulation.run(MS(2_000));
    simulation.restart(3);
    simulation.run(MS(3_000));
    expect_that!(simulation.held_by(3), not(is_empty()));
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn a_lost_leader_costs_no_key_its_owner() {
    let mut simulation = settled(4, 3);
    let leader = simulation.leader().expect("somebody leads");
    simulation.nodes[leader].running = false;
    let end = simulation.passed() + MS(6_000);
    while simulation.passed() < end {
        simulation.step();
        assert!(
            simulation.held_part() > 0.999,
            "keys lost at {:?}",
            simulation.passed()
        );
    }
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn an_outage_of_the_table_costs_no_key_its_owner() {
    let mut simulation = settled(4, 3);
    simulation.table_up = false;
    let end = simulation.passed() + MS(12_000);
    while simulation.passed() < end {
        simulation.step();
        assert!(
            simulation.held_part() > 0.999,
            "keys lost at {:?}",
            simulation.passed()
        );
    }
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn a_leader_that_the_table_turns_away_alone_is_relieved() {
    let mut simulation = settled(4, 3);
    let leader = simulation.leader().expect("somebody leads");
    simulation.nodes[leader].reaches_table = false;
    simulation.run(MS(50));
    simulation.crash(1);
    simulation.run(MS(50));
    // The table is missed for 3 s at most, then a second, an election and a hold.
    let took = until_held(&mut simulation, MS(20_000));
    expect_that!(took, lt(MS(8_000)));
    expect_that!(simulation.leader(), not(eq(Some(leader))));
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn a_later_leader_waits_no_longer_than_the_holds_that_were_granted() {
    let mut simulation = settled(4, 3);
    let leader = simulation.leader().expect("somebody leads");
    simulation.restart_node(leader);
    simulation.crash(1);
    simulation.run(MS(50));
    let took = until_held(&mut simulation, MS(20_000));
    expect_that!(took, lt(MS(5_000)));
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn a_leader_without_the_table_gives_up_in_the_end() {
    let mut simulation = settled(3, 1);
    simulation.table_up = false;
    simulation.run(MS(25_000));
    expect_that!(simulation.held_part(), eq(0.0));
}

#[googletest::test]
fn a_paused_leader_that_wakes_takes_nothing_back() {
    let mut simulation = settled(4, 3);
    let leader = simulation.leader().expect("somebody leads");
    simulation.nodes[leader].running = false;
    simulation.run(MS(4_000));
    simulation.crash(1);
    simulation.run(MS(4_500));
    simulation.nodes[leader].running = true;
    simulation.run(MS(2_000));
    expect_that!(simulation.leader(), not(eq(Some(leader))));
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn a_restarted_target_gets_its_keys_under_a_higher_fence() {
    let mut simulation = settled(4, 3);
    simulation.crash(1);
    simulation.restart(1);
    let took = until_held(&mut simulation, MS(10_000));
    expect_that!(took, lt(MS(1_000)));
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn orders_that_are_carried_out_late_give_no_key_away_twice() {
    let mut simulation = settled(4, 3);
    simulation.faults = Faults {
        late: 30,
        ..Faults::default()
    };
    simulation.run(MS(2_000));
    simulation.targets[2].leaving = true;
    simulation.run(MS(15_000));
    expect_that!(simulation.held_by(2), is_empty());
    expect_that!(simulation.broken, is_empty());
}

#[googletest::test]
fn hot_keys_are_spread_over_owners() {
    let mut simulation = settled(5, 1);
    for _ in 0..120 {
        for key in 300..340 {
            simulation.add_load(key, 1);
        }
        simulation.run(MS(100));
    }
    let owners = (0..5).filter(|&target| {
        let held = simulation.held_by(target);
        held.iter()
            .any(|range| range.first < 340 && range.last >= 300)
    });
    expect_that!(owners.count(), ge(3));
    expect_that!(simulation.broken, is_empty());
}

/// Strikes at random, keeping at least one target and one node.
fn inject_fault(simulation: &mut Simulation, rng: &mut TestRng) {
    let target = rng.below(simulation.targets.len() as u64) as usize;
    let node = rng.below(simulation.nodes.len() as u64) as usize;
    match rng.below(14) {
        0 => simulation.crash(target),
        1 | 2 => simulation.restart(target),
        3 => simulation.targets[target].leaving = true,
        4 => simulation.targets[target].listed = false,
        5 => simulation.nodes[node].cut_off.push(target),
        6 => simulation.nodes[node].cut_off.clear(),
        7 => simulation.nodes[node].running = false,
        8 => simulation.nodes[node].running = true,
        9 => simulation.restart_node(node),
        10 => simulation.nodes[node].reaches_table = false,
        11 => simulation.nodes[node].reaches_table = true,
        12 => simulation.table_up = !simulation.table_up,
        _ => {
            for key in 0..20 {
                simulation.add_load(rng.below(5) as u16 * 9_000 + key, 5);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn no_key_is_held_twice(seed in any::<u64>(), lost in 0u64..20, late in 0u64..30, writes in 0u64..30) {
        let mut simulation = Simulation::new(4, 3, seed);
        let mut rng = TestRng::new(seed ^ 0x5eed);
        simulation.run(MS(2_000));
        simulation.faults = Faults {
            lost,
            unanswered: lost,
            late,
            writes_lost: writes,
        };
        for _ in 0..60 {
            inject_fault(&mut simulation, &mut rng);
            simulation.run(MS(50 + rng.below(1_200)));
            prop_assert!(simulation.broken.is_empty(), "{:?}", simulation.broken.first());
        }
    }
}
