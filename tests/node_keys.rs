//! Ownership of key ranges: whatever fails, no key is held twice, and keys come back.

#[path = "support/keys_world.rs"]
mod keys_world;

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::keys_world::Chance;
use crate::keys_world::Faults;
use crate::keys_world::World;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn settled(targets: usize, nodes: usize) -> World {
    let mut world = World::new(targets, nodes, 7);
    world.run(MS(3_000));
    assert!(world.held_part() > 0.999, "nothing settled");
    world
}

/// Returns how long it takes until all keys are held again.
fn until_held(world: &mut World, limit: Duration) -> Duration {
    let start = world.passed();
    while world.held_part() < 0.999 {
        world.step();
        if world.passed() - start > limit {
            break;
        }
    }
    world.passed() - start
}

#[googletest::test]
fn every_key_gets_an_owner() {
    let world = settled(5, 3);
    expect_that!(world.broken, is_empty());
    for target in 0..5 {
        expect_that!(world.held_by(target), not(is_empty()));
    }
}

#[googletest::test]
fn a_crashed_targets_keys_come_back_once_its_hold_has_run_out() {
    let mut world = settled(4, 3);
    world.crash(1);
    world.run(MS(50));
    let took = until_held(&mut world, MS(10_000));
    expect_that!(took, lt(MS(4_000)));
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn a_target_that_nobody_reaches_keeps_its_keys_until_its_hold_has_run_out() {
    let mut world = settled(4, 3);
    for node in &mut world.nodes {
        node.cut_off.push(2);
    }
    world.run(MS(8_000));
    expect_that!(world.held_part(), gt(0.999));
    expect_that!(world.held_by(2), is_empty());
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn a_leaving_target_hands_its_keys_over() {
    let mut world = settled(4, 3);
    world.targets[0].leaving = true;
    world.run(MS(1_500));
    expect_that!(world.held_by(0), is_empty());
    expect_that!(world.held_part(), gt(0.999));
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn a_joining_target_gets_keys() {
    let mut world = settled(4, 3);
    world.targets[3].leaving = true;
    world.run(MS(2_000));
    world.restart(3);
    world.run(MS(3_000));
    expect_that!(world.held_by(3), not(is_empty()));
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn a_lost_leader_costs_no_key_its_owner() {
    let mut world = settled(4, 3);
    let leader = world.leader().expect("somebody leads");
    world.nodes[leader].running = false;
    let end = world.passed() + MS(6_000);
    while world.passed() < end {
        world.step();
        assert!(
            world.held_part() > 0.999,
            "keys lost at {:?}",
            world.passed()
        );
    }
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn an_outage_of_the_table_costs_no_key_its_owner() {
    let mut world = settled(4, 3);
    world.table_up = false;
    let end = world.passed() + MS(12_000);
    while world.passed() < end {
        world.step();
        assert!(
            world.held_part() > 0.999,
            "keys lost at {:?}",
            world.passed()
        );
    }
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn a_leader_that_the_table_turns_away_alone_is_relieved() {
    let mut world = settled(4, 3);
    let leader = world.leader().expect("somebody leads");
    world.nodes[leader].reaches_table = false;
    world.run(MS(50));
    world.crash(1);
    world.run(MS(50));
    // The table is missed for 3 s at most, then a second, an election and a hold.
    let took = until_held(&mut world, MS(20_000));
    expect_that!(took, lt(MS(8_000)));
    expect_that!(world.leader(), not(eq(Some(leader))));
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn a_later_leader_waits_no_longer_than_the_holds_that_were_granted() {
    let mut world = settled(4, 3);
    let leader = world.leader().expect("somebody leads");
    world.restart_node(leader);
    world.crash(1);
    world.run(MS(50));
    let took = until_held(&mut world, MS(20_000));
    expect_that!(took, lt(MS(5_000)));
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn a_leader_without_the_table_gives_up_in_the_end() {
    let mut world = settled(3, 1);
    world.table_up = false;
    world.run(MS(25_000));
    expect_that!(world.held_part(), eq(0.0));
}

#[googletest::test]
fn a_paused_leader_that_wakes_takes_nothing_back() {
    let mut world = settled(4, 3);
    let leader = world.leader().expect("somebody leads");
    world.nodes[leader].running = false;
    world.run(MS(4_000));
    world.crash(1);
    world.run(MS(4_500));
    world.nodes[leader].running = true;
    world.run(MS(2_000));
    expect_that!(world.leader(), not(eq(Some(leader))));
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn a_restarted_target_gets_its_keys_under_a_higher_fence() {
    let mut world = settled(4, 3);
    world.crash(1);
    world.restart(1);
    let took = until_held(&mut world, MS(10_000));
    expect_that!(took, lt(MS(1_000)));
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn orders_that_are_carried_out_late_give_no_key_away_twice() {
    let mut world = settled(4, 3);
    world.faults = Faults {
        late: 30,
        ..Faults::default()
    };
    world.run(MS(2_000));
    world.targets[2].leaving = true;
    world.run(MS(15_000));
    expect_that!(world.held_by(2), is_empty());
    expect_that!(world.broken, is_empty());
}

#[googletest::test]
fn hot_keys_are_spread_over_owners() {
    let mut world = settled(5, 1);
    for _ in 0..120 {
        for key in 300..340 {
            world.add_load(key, 1);
        }
        world.run(MS(100));
    }
    let owners = (0..5).filter(|&target| {
        let held = world.held_by(target);
        held.iter()
            .any(|range| range.first < 340 && range.last >= 300)
    });
    expect_that!(owners.count(), ge(3));
    expect_that!(world.broken, is_empty());
}

/// Strikes at random, keeping at least one target and one node.
fn strike(world: &mut World, chance: &mut Chance) {
    let target = chance.below(world.targets.len() as u64) as usize;
    let node = chance.below(world.nodes.len() as u64) as usize;
    match chance.below(14) {
        0 => world.crash(target),
        1 | 2 => world.restart(target),
        3 => world.targets[target].leaving = true,
        4 => world.targets[target].listed = false,
        5 => world.nodes[node].cut_off.push(target),
        6 => world.nodes[node].cut_off.clear(),
        7 => world.nodes[node].running = false,
        8 => world.nodes[node].running = true,
        9 => world.restart_node(node),
        10 => world.nodes[node].reaches_table = false,
        11 => world.nodes[node].reaches_table = true,
        12 => world.table_up = !world.table_up,
        _ => {
            for key in 0..20 {
                world.add_load(chance.below(5) as u16 * 9_000 + key, 5);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn no_key_is_held_twice(seed in any::<u64>(), lost in 0u64..20, late in 0u64..30, writes in 0u64..30) {
        let mut world = World::new(4, 3, seed);
        let mut chance = Chance::new(seed ^ 0x5eed);
        world.run(MS(2_000));
        world.faults = Faults {
            lost,
            unanswered: lost,
            late,
            writes_lost: writes,
        };
        for _ in 0..60 {
            strike(&mut world, &mut chance);
            world.run(MS(50 + chance.below(1_200)));
            prop_assert!(world.broken.is_empty(), "{:?}", world.broken.first());
        }
    }
}
