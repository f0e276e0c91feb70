//! Ownership of key ranges under faults: no key has two owners at a time, and every key gets an
//! owner again.

#[path = "support/keys_simulation.rs"]
mod keys_simulation;

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::keys_simulation::Faults;
use crate::keys_simulation::Simulation;
use crate::keys_simulation::TestRng;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Returns a simulation in which all keys are held.
fn simulation_with_held_keys(targets: usize, nodes: usize) -> Simulation {
    let mut simulation = Simulation::new(targets, nodes, 7);
    simulation.run(MS(3_000));
    assert!(
        simulation.held_share() > 0.999,
        "keys without an owner after 3 s"
    );
    simulation
}

/// Runs until all keys are held, but no longer than about `limit`; returns the time it took.
fn run_until_held(simulation: &mut Simulation, limit: Duration) -> Duration {
    let start = simulation.elapsed();
    while simulation.held_share() < 0.999 {
        simulation.step();
        if simulation.elapsed() - start > limit {
            break;
        }
    }
    simulation.elapsed() - start
}

#[googletest::test]
fn every_key_gets_an_owner() {
    let simulation = simulation_with_held_keys(5, 3);
    expect_that!(simulation.violations, is_empty());
    for target in 0..5 {
        expect_that!(simulation.held_by(target), not(is_empty()));
    }
}

#[googletest::test]
fn a_crashed_targets_keys_get_an_owner_after_its_grant_has_expired() {
    let mut simulation = simulation_with_held_keys(4, 3);
    simulation.crash(1);
    simulation.run(MS(50));
    let took = run_until_held(&mut simulation, MS(10_000));
    expect_that!(took, lt(MS(4_000)));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn an_unreachable_target_loses_its_keys_only_after_its_grant_has_expired() {
    let mut simulation = simulation_with_held_keys(4, 3);
    for node in &mut simulation.nodes {
        node.unreachable.push(2);
    }
    simulation.run(MS(8_000));
    expect_that!(simulation.held_share(), gt(0.999));
    expect_that!(simulation.held_by(2), is_empty());
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_leaving_target_hands_its_keys_over() {
    let mut simulation = simulation_with_held_keys(4, 3);
    simulation.targets[0].leaving = true;
    simulation.run(MS(1_500));
    expect_that!(simulation.held_by(0), is_empty());
    expect_that!(simulation.held_share(), gt(0.999));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_joining_target_gets_keys() {
    let mut simulation = simulation_with_held_keys(4, 3);
    simulation.targets[3].leaving = true;
    simulation.run(MS(2_000));
    simulation.restart(3);
    simulation.run(MS(3_000));
    expect_that!(simulation.held_by(3), not(is_empty()));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn no_key_loses_its_owner_when_the_leader_stops() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    simulation.nodes[leader].running = false;
    let end = simulation.elapsed() + MS(6_000);
    while simulation.elapsed() < end {
        simulation.step();
        assert!(
            simulation.held_share() > 0.999,
            "keys without an owner at {:?}",
            simulation.elapsed()
        );
    }
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn no_key_loses_its_owner_during_an_outage_of_the_table() {
    let mut simulation = simulation_with_held_keys(4, 3);
    simulation.table_up = false;
    let end = simulation.elapsed() + MS(12_000);
    while simulation.elapsed() < end {
        simulation.step();
        assert!(
            simulation.held_share() > 0.999,
            "keys without an owner at {:?}",
            simulation.elapsed()
        );
    }
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_leader_that_alone_cannot_reach_the_table_is_replaced() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    simulation.nodes[leader].reaches_table = false;
    simulation.run(MS(50));
    simulation.crash(1);
    simulation.run(MS(50));
    // The leader notices within 3 s that the table fails and steps down 1 s later; then follow an
    // election and the expiry of the grant.
    let took = run_until_held(&mut simulation, MS(20_000));
    expect_that!(took, lt(MS(8_000)));
    expect_that!(simulation.leader(), not(eq(Some(leader))));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_new_leader_waits_no_longer_than_the_longest_grant_given() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    simulation.restart_node(leader);
    simulation.crash(1);
    simulation.run(MS(50));
    let took = run_until_held(&mut simulation, MS(20_000));
    expect_that!(took, lt(MS(5_000)));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_leader_without_the_table_stops_renewing_grants_eventually() {
    let mut simulation = simulation_with_held_keys(3, 1);
    simulation.table_up = false;
    simulation.run(MS(25_000));
    expect_that!(simulation.held_share(), eq(0.0));
}

#[googletest::test]
fn a_paused_leader_takes_no_keys_back_after_it_resumes() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    simulation.nodes[leader].running = false;
    simulation.run(MS(4_000));
    simulation.crash(1);
    simulation.run(MS(4_500));
    simulation.nodes[leader].running = true;
    simulation.run(MS(2_000));
    expect_that!(simulation.leader(), not(eq(Some(leader))));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_restarted_target_gets_its_keys_under_a_higher_fence() {
    let mut simulation = simulation_with_held_keys(4, 3);
    simulation.crash(1);
    simulation.restart(1);
    let took = run_until_held(&mut simulation, MS(10_000));
    expect_that!(took, lt(MS(1_000)));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn orders_that_are_executed_late_give_no_key_two_owners() {
    let mut simulation = simulation_with_held_keys(4, 3);
    simulation.faults = Faults {
        late: 30,
        ..Faults::default()
    };
    simulation.run(MS(2_000));
    simulation.targets[2].leaving = true;
    simulation.run(MS(15_000));
    expect_that!(simulation.held_by(2), is_empty());
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn hot_keys_are_distributed_over_owners() {
    let mut simulation = simulation_with_held_keys(5, 1);
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
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_new_leader_waits_for_grants_to_the_next_owner_of_an_unfinished_move() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    // The map names the new process as owner and the former process as prior owner.
    simulation.restart(1);
    simulation.run(MS(1_000));
    for (node, fake) in simulation.nodes.iter_mut().enumerate() {
        if node != leader {
            fake.unreachable.push(1);
        }
    }
    simulation.nodes[leader].running = false;
    simulation.run(MS(2_700));
    // The previous leader renews its grants once more before it learns of the new term.
    simulation.nodes[leader].running = true;
    simulation.run(MS(200));
    expect_that!(simulation.held_by(1), not(is_empty()));
    // From here on that node does not pass orders of the new leader on either.
    cut(&mut simulation, &[leader], 1);
    simulation.run(MS(8_000));
    expect_that!(simulation.held_by(1), is_empty());
    expect_that!(simulation.held_share(), gt(0.999));
    expect_that!(simulation.violations, is_empty());
}

/// Number of targets that own a key of `first..first + count`.
fn owners_of(simulation: &Simulation, first: u16, count: u16) -> usize {
    let overlaps = |target: &usize| {
        let held = simulation.held_by(*target);
        held.iter()
            .any(|range| range.first < first + count && range.last >= first)
    };
    (0..simulation.targets.len()).filter(overlaps).count()
}

#[googletest::test]
fn a_hot_set_of_adjacent_keys_is_distributed_over_many_owners_within_seconds() {
    let mut simulation = simulation_with_held_keys(342, 1);
    expect_that!(owners_of(&simulation, 300, 200), le(3));
    for round in 0..30 {
        for key in 300..500 {
            simulation.add_load(key, u32::from(u64::from(key) % 5 == round % 5));
        }
        simulation.run(MS(100));
    }
    expect_that!(owners_of(&simulation, 300, 200), ge(100));
    expect_that!(simulation.violations, is_empty());
}

/// Applies one random fault or repair to a random target or node, or adds load.
fn inject_fault(simulation: &mut Simulation, rng: &mut TestRng) {
    let target = rng.below(simulation.targets.len() as u64) as usize;
    let node = rng.below(simulation.nodes.len() as u64) as usize;
    match rng.below(14) {
        0 => simulation.crash(target),
        1 | 2 => simulation.restart(target),
        3 => simulation.targets[target].leaving = true,
        4 => simulation.targets[target].listed = false,
        5 => simulation.nodes[node].unreachable.push(target),
        6 => simulation.nodes[node].unreachable.clear(),
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

/// Cuts the links of the nodes to a target.
fn cut(simulation: &mut Simulation, nodes: &[usize], target: usize) {
    for node in nodes {
        simulation.nodes[*node].unreachable.push(target);
    }
}

#[googletest::test]
fn an_owner_that_only_the_leader_does_not_reach_keeps_its_keys() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    let before = simulation.held_by(2);
    expect_that!(before, not(is_empty()));
    cut(&mut simulation, &[leader], 2);
    let end = simulation.elapsed() + MS(12_000);
    while simulation.elapsed() < end {
        simulation.step();
        assert_eq!(
            simulation.held_by(2),
            before,
            "at {:?}",
            simulation.elapsed()
        );
    }
    expect_that!(simulation.leader(), eq(Some(leader)));
    expect_that!(simulation.held_share(), gt(0.999));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn each_owner_keeps_its_keys_while_no_node_reaches_all_owners() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    for node in 0..3 {
        cut(&mut simulation, &[node], node);
        cut(&mut simulation, &[node], 3 - node);
    }
    let end = simulation.elapsed() + MS(12_000);
    while simulation.elapsed() < end {
        simulation.step();
        assert!(
            simulation.held_share() > 0.999,
            "keys without an owner at {:?}",
            simulation.elapsed()
        );
    }
    expect_that!(simulation.leader(), eq(Some(leader)));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn an_owner_that_no_node_reaches_is_lost_as_soon_as_without_other_nodes() {
    let mut took = Vec::new();
    for nodes in [1, 3] {
        let mut simulation = simulation_with_held_keys(4, nodes);
        let all: Vec<usize> = (0..nodes).collect();
        cut(&mut simulation, &all, 2);
        let start = simulation.elapsed();
        while !simulation.held_by(2).is_empty() || simulation.held_share() < 0.999 {
            simulation.step();
            assert!(simulation.elapsed() - start < MS(10_000));
        }
        took.push(simulation.elapsed() - start);
        expect_that!(simulation.violations, is_empty());
    }
    expect_that!(took[1], le(took[0] + MS(50)));
}

#[googletest::test]
fn a_stopped_owner_that_other_nodes_say_they_reach_is_lost_when_its_grant_ends() {
    let mut simulation = simulation_with_held_keys(4, 3);
    simulation.crash(1);
    let took = run_until_held(&mut simulation, MS(10_000));
    expect_that!(took, lt(MS(3_000)));
    expect_that!(simulation.passed_on, gt(0));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn an_order_that_a_frozen_node_holds_is_not_sent_after_it_resumes() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    cut(&mut simulation, &[leader], 2);
    simulation.run(MS(3_000));
    expect_that!(simulation.passed_on, gt(0));
    for node in &others {
        simulation.nodes[*node].running = false;
    }
    // Without a report, the leader waits as long as a node may be frozen.
    let took = run_until_lost(&mut simulation, 2);
    expect_that!(took, lt(MS(4_000)));
    let passed_on = simulation.passed_on;
    for node in &others {
        simulation.nodes[*node].running = true;
    }
    simulation.step();
    expect_that!(simulation.passed_on, eq(passed_on));
    expect_that!(simulation.held_by(2), is_empty());
    simulation.run(MS(30_000));
    expect_that!(simulation.held_share(), gt(0.999));
    expect_that!(simulation.violations, is_empty());
}

/// Runs until a target holds no keys; returns the time it took.
fn run_until_lost(simulation: &mut Simulation, target: usize) -> Duration {
    let start = simulation.elapsed();
    while !simulation.held_by(target).is_empty() {
        simulation.step();
        assert!(simulation.elapsed() - start < MS(20_000));
    }
    simulation.elapsed() - start
}

#[googletest::test]
fn a_former_leaders_order_by_way_of_another_node_takes_no_keys_back() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    cut(&mut simulation, &[leader], 2);
    simulation.run(MS(2_000));
    simulation.nodes[leader].running = false;
    simulation.run(MS(4_000));
    let next = simulation.leader().expect("another node leads");
    expect_that!(next, not(eq(leader)));
    simulation.targets[2].leaving = true;
    simulation.run(MS(2_000));
    expect_that!(simulation.held_by(2), is_empty());
    // It sends the renewals that are due before it learns of the new term.
    simulation.nodes[leader].running = true;
    simulation.run(MS(3_000));
    expect_that!(simulation.held_by(2), is_empty());
    expect_that!(simulation.held_share(), gt(0.999));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn an_owner_that_only_other_nodes_reach_hands_its_keys_over() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    cut(&mut simulation, &[leader], 0);
    simulation.run(MS(2_000));
    simulation.targets[0].leaving = true;
    simulation.run(MS(1_900));
    expect_that!(simulation.held_by(0), is_empty());
    expect_that!(simulation.held_share(), gt(0.999));
    expect_that!(simulation.violations, is_empty());
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
            prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations.first());
        }
    }
}
