//! Ownership of keys after the table was restored from an older copy.

#[path = "support/keys_simulation.rs"]
mod keys_simulation;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::keys_simulation::Backup;
use crate::keys_simulation::Simulation;
use crate::keys_simulation::TestRng;
use crate::keys_simulation::start_with_faults;
use gooseberryloft::ids::BootId;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::ids::VmId;
use gooseberryloft::node::keys::election::Election;
use gooseberryloft::node::keys::election::Lease;
use gooseberryloft::node::keys::leader::Inherited;
use gooseberryloft::node::keys::leader::Leader;
use gooseberryloft::node::keys::map::KeyMap;
use gooseberryloft::node::keys::map::MapVersion;
use gooseberryloft::node::keys::tenure::Tenure;
use gooseberryloft::node::keys::tenure::inherit;
use gooseberryloft::platform::Generation;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn simulation_with_held_keys(targets: usize, nodes: usize) -> Simulation {
    let mut simulation = Simulation::new(targets, nodes, 1);
    simulation.run(MS(3_000));
    expect_that!(simulation.held_share(), gt(0.999));
    simulation
}

/// The platform's bound for serving again once all nodes run.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Runs until all keys are held; returns the time it took, or a little more than the bound.
fn recovery_time(simulation: &mut Simulation) -> Duration {
    let start = simulation.elapsed();
    while simulation.held_share() < 0.999 && simulation.elapsed() - start <= RECOVERY_TIME {
        simulation.step();
    }
    simulation.elapsed() - start
}

#[googletest::test]
fn a_leader_loses_no_keys_in_a_restore_and_moves_keys_soon_after() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let backup = simulation.backup();
    simulation.run(MS(2_000));
    simulation.restore(&backup);
    for _ in 0..30 {
        simulation.run(MS(100));
        expect_that!(simulation.held_share(), gt(0.999));
    }
    simulation.targets[2].leaving = true;
    simulation.run(MS(2_000));
    expect_that!(simulation.held_by(2), is_empty());
    expect_that!(simulation.held_share(), gt(0.999));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_leader_that_steps_down_soon_after_a_restore_leaves_no_key_without_an_owner() {
    for delay in (0..1_500).step_by(100) {
        let mut simulation = simulation_with_held_keys(4, 3);
        let backup = simulation.backup();
        simulation.targets[1].leaving = true;
        simulation.run(MS(2_000));
        simulation.restore(&backup);
        let leader = simulation.leader().expect("a node leads");
        while !simulation.is_suspended(leader) {
            simulation.step();
        }
        simulation.run(MS(delay));
        simulation.nodes[leader].eligible = false;
        simulation.resign(leader);
        for _ in 0..100 {
            simulation.run(MS(100));
            expect_that!(simulation.held_share(), gt(0.999), "delay {delay} ms");
        }
        expect_that!(simulation.leader(), some(not(eq(leader))));
        simulation.targets[2].leaving = true;
        simulation.run(MS(2_000));
        expect_that!(simulation.held_by(2), is_empty(), "delay {delay} ms");
        expect_that!(simulation.violations, is_empty());
    }
}

#[googletest::test]
fn a_handover_that_a_second_restore_brings_back_is_not_used_again() {
    for delay in [0, 500, 2_000] {
        let mut simulation = simulation_with_held_keys(4, 3);
        let backup = simulation.backup();
        simulation.run(MS(2_000));
        simulation.restore(&backup);
        let leader = simulation.leader().expect("a node leads");
        while !simulation.is_suspended(leader) {
            simulation.step();
        }
        simulation.nodes[leader].eligible = false;
        simulation.resign(leader);
        let handover = simulation.backup();
        simulation.run(MS(4_000));
        simulation.targets[1].leaving = true;
        simulation.targets[2].leaving = true;
        simulation.run(MS(delay));
        for node in 0..3 {
            simulation.restart_node(node);
        }
        simulation.nodes[leader].eligible = true;
        simulation.restore(&handover);
        simulation.targets[1].leaving = false;
        simulation.run(MS(20_000));
        expect_that!(simulation.violations, is_empty());
        expect_that!(simulation.held_share(), gt(0.999));
    }
}

#[googletest::test]
fn nodes_that_restart_beside_restores_do_not_delay_moves() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    for target in [1, 2] {
        let backup = simulation.backup();
        simulation.run(MS(2_000));
        for node in (0..3).filter(|node| *node != leader) {
            simulation.restart_node(node);
        }
        simulation.restore(&backup);
        simulation.run(MS(5_000));
        expect_that!(simulation.leader(), some(eq(leader)));
        simulation.targets[target].leaving = true;
        simulation.run(MS(2_000));
        expect_that!(simulation.held_by(target), is_empty());
        simulation.targets[target].leaving = false;
    }
    expect_that!(simulation.held_share(), gt(0.999));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn owners_that_a_suspended_leader_did_not_reach_for_a_while_get_their_keys_back() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    let backup = simulation.backup();
    simulation.run(MS(2_000));
    for node in (0..3).filter(|node| *node != leader) {
        simulation.restart_node(node);
    }
    simulation.restore(&backup);
    simulation.nodes[leader].unreachable = (0..4).collect();
    simulation.run(MS(4_000));
    simulation.nodes[leader].unreachable.clear();
    expect_that!(recovery_time(&mut simulation), le(MS(3_000)));
    expect_that!(simulation.leader(), some(eq(leader)));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_leader_is_not_superseded_by_its_own_lease_of_an_earlier_restore() {
    let now = Instant::now() + Duration::from_secs(100);
    let election = Election::new(ServiceId::from("search"), now);
    let (node, boot) = (VmId::from("a"), BootId(1));
    let next = |held: Option<&Lease>, generation: u64| {
        election.next_lease(held, Generation(generation), &node, boot)
    };
    let first = next(None, 1);
    let leader = Leader::new(first.term, Inherited::Nothing, MS(10_000), now);
    let mut tenure = Tenure::new(leader, first.clone(), 1, Vec::new(), now);
    let second = next(Some(&first), 2);
    let third = next(Some(&second), 3);
    for (generation, lease) in [(2, &second), (3, &third)] {
        tenure.suspend(Generation(generation), Vec::new(), now);
        tenure.record_lease(lease.clone(), 1, now, now);
    }
    expect_that!(tenure.is_superseded(second.term, None), eq(false));
    expect_that!(tenure.is_superseded(third.term, None), eq(false));
    expect_that!(tenure.is_superseded(second.term + 1, None), eq(true));
}

#[googletest::test]
fn a_node_that_knows_the_earlier_leaders_have_ended_does_not_trust_an_older_map() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut election = Election::new(ServiceId::from("search"), now);
    let (node, other, boot) = (VmId::from("a"), VmId::from("b"), BootId(1));
    let before = election.next_lease(None, Generation(1), &other, boot);
    let held = election.next_lease(Some(&before), Generation(2), &other, boot);
    let lost = held.lost_term().expect("earlier leaders are unknown");
    election.record_end(lost, now);
    let lease = election.next_lease(Some(&held), Generation(2), &node, boot);
    let outdated = KeyMap {
        version: MapVersion {
            term: before.term,
            number: 1,
        },
        ..KeyMap::default()
    };
    let inherited = inherit(&lease, Some(&outdated), None, &mut election, now);
    expect_that!(inherited, eq(Inherited::Outdated(Some(&outdated))));
    let inherited = inherit(&lease, None, None, &mut election, now);
    expect_that!(inherited, eq(Inherited::Outdated(None)));
}

#[googletest::test]
fn a_new_leader_does_not_grant_keys_by_a_map_that_lacks_a_move() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let backup = simulation.backup();
    simulation.targets[1].leaving = true;
    simulation.run(MS(3_000));
    simulation.targets[1].leaving = false;
    let leader = simulation.leader().expect("a node leads");
    simulation.restart_node(leader);
    simulation.restore(&backup);
    simulation.run(MS(3_000));
    expect_that!(
        recovery_time(&mut simulation) + MS(3_000),
        le(RECOVERY_TIME)
    );
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_resumed_leader_does_not_grant_keys_that_a_lost_leader_moved() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let paused = simulation.leader().expect("a node leads");
    let backup = simulation.backup();
    simulation.nodes[paused].running = false;
    simulation.run(MS(3_000));
    let lost = simulation.leader().expect("another node leads");
    simulation.targets[1].leaving = true;
    simulation.run(MS(3_000));
    simulation.restore(&backup);
    for node in 0..3 {
        if node != paused {
            simulation.restart_node(node);
        }
    }
    expect_that!(lost, not(eq(paused)));
    simulation.targets[1].leaving = false;
    simulation.nodes[paused].running = true;
    simulation.run(MS(50_000));
    expect_that!(simulation.violations, is_empty());
    expect_that!(simulation.held_share(), gt(0.999));
}

#[googletest::test]
fn a_resumed_leader_that_first_hears_of_restarted_nodes_does_not_trust_them() {
    for offset in 0..16 {
        let mut simulation = simulation_with_held_keys(4, 3);
        let paused = simulation.leader().expect("a node leads");
        let backup = simulation.backup();
        simulation.nodes[paused].running = false;
        simulation.run(MS(3_000));
        simulation.targets[0].leaving = true;
        simulation.targets[1].leaving = true;
        simulation.run(MS(3_000 + 50 * offset));
        simulation.restore(&backup);
        for node in 0..3 {
            if node != paused {
                simulation.restart_node(node);
            }
        }
        simulation.targets[0].leaving = false;
        // Heartbeats of the new processes arrive before the table answers.
        simulation.nodes[paused].reaches_table = false;
        simulation.nodes[paused].running = true;
        simulation.run(MS(200));
        simulation.nodes[paused].reaches_table = true;
        simulation.run(MS(50_000));
        expect_that!(simulation.violations.first(), none(), "offset {offset}");
    }
}

#[googletest::test]
fn a_leader_with_an_expired_lease_does_not_renew_grants_after_a_restore() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let paused = simulation.leader().expect("a node leads");
    let backup = simulation.backup();
    simulation.nodes[paused].running = false;
    for node in 0..3 {
        if node != paused {
            simulation.nodes[node].unreachable.push(1);
        }
    }
    simulation.run(MS(30_000));
    simulation.restore(&backup);
    for node in 0..3 {
        if node != paused {
            simulation.restart_node(node);
        }
    }
    simulation.nodes[paused].running = true;
    simulation.run(MS(50_000));
    expect_that!(simulation.violations, is_empty());
    expect_that!(simulation.held_share(), gt(0.999));
}

/// Pauses the leader, and cuts its successor off from everything after it has moved keys of a target that
/// it does not reach. Then restores the table to its state of before, and resumes the former leader;
/// returns it and the third node, which has restarted.
fn resume_beside_a_lost_leader(simulation: &mut Simulation) -> (usize, usize) {
    let paused = simulation.leader().expect("a node leads");
    let backup = simulation.backup();
    simulation.nodes[paused].running = false;
    for node in (0..3).filter(|node| *node != paused) {
        simulation.nodes[node].unreachable.push(1);
    }
    simulation.run(MS(8_000));
    let lost = simulation.leader().expect("another node leads");
    simulation.nodes[lost].cut_off = true;
    simulation.nodes[lost].reaches_table = false;
    let third = (0..3).find(|node| *node != paused && *node != lost);
    let third = third.expect("there are three nodes");
    simulation.restart_node(third);
    simulation.restore(&backup);
    simulation.nodes[paused].running = true;
    (paused, third)
}

#[googletest::test]
fn a_suspended_leader_does_not_outlast_the_wait_of_a_lost_leader() {
    let mut simulation = simulation_with_held_keys(4, 3);
    resume_beside_a_lost_leader(&mut simulation);
    simulation.run(MS(35_000));
    expect_that!(simulation.violations.first(), none());
}

#[googletest::test]
fn a_leader_that_continues_a_suspended_term_does_not_outlast_the_wait_of_a_lost_leader() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let (paused, next) = resume_beside_a_lost_leader(&mut simulation);
    simulation.nodes[next].unreachable.clear();
    simulation.run(MS(5_000));
    simulation.resign(paused);
    simulation.nodes[paused].running = false;
    simulation.run(MS(35_000));
    expect_that!(simulation.violations.first(), none());
}

#[googletest::test]
fn keys_are_held_again_soon_after_the_lease_of_a_suspended_leader_has_expired() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let leader = simulation.leader().expect("a node leads");
    let silent = (leader + 1) % 3;
    simulation.nodes[silent].running = false;
    let backup = simulation.backup();
    simulation.restore(&backup);
    simulation.run(MS(16_000));
    expect_that!(simulation.is_suspended(leader), eq(true));
    expect_that!(simulation.held_share(), gt(0.999));
    simulation.run(MS(6_000));
    let rest = recovery_time(&mut simulation);
    expect_that!(MS(6_000) + rest, le(RECOVERY_TIME));
    expect_that!(simulation.is_suspended(leader), eq(false));
    expect_that!(simulation.violations, is_empty());
}

#[googletest::test]
fn a_lease_of_an_earlier_generation_that_is_written_late_does_not_hide_the_current_leader() {
    let now = Instant::now() + Duration::from_secs(100);
    let elected = || Election::new(ServiceId::from("search"), now);
    let (late, current, own) = (VmId::from("a"), VmId::from("b"), VmId::from("c"));
    let former = elected().next_lease(None, Generation(1), &late, BootId(1));
    let lease = elected().next_lease(Some(&former), Generation(2), &current, BootId(2));
    let mut election = elected();
    election.record_leader(lease.term, &current, BootId(2), now);
    // The store carries out the write of the former lease after the restore, in place of the current one.
    let next = election.next_lease(Some(&former), Generation(2), &own, BootId(3));
    let terms: Vec<_> = next.maybe_active.iter().map(|l| l.term).collect();
    expect_that!(terms, contains(eq(&lease.term)));
    expect_that!(next.lost_term(), some(anything()));
}

#[googletest::test]
fn keys_are_held_again_after_a_restore_to_an_empty_table() {
    let mut simulation = Simulation::new(4, 3, 1);
    let empty = simulation.backup();
    simulation.run(MS(3_000));
    for node in 0..3 {
        simulation.restart_node(node);
    }
    simulation.restore(&empty);
    simulation.run(MS(3_000));
    expect_that!(
        recovery_time(&mut simulation) + MS(3_000),
        le(RECOVERY_TIME)
    );
    expect_that!(simulation.violations, is_empty());
}

/// Applies one random fault or repair.
fn inject_fault(simulation: &mut Simulation, rng: &mut TestRng, backups: &mut Vec<Backup>) {
    let target = rng.below(simulation.targets.len() as u64) as usize;
    let node = rng.below(simulation.nodes.len() as u64) as usize;
    backups.push(simulation.backup());
    match rng.below(18) {
        16 | 17 => simulation.resign(node),
        0 => simulation.crash(target),
        1 => simulation.restart(target),
        2 => simulation.targets[target].leaving = true,
        3 => simulation.targets[target].leaving = false,
        4 => simulation.nodes[node].unreachable.push(target),
        5 => simulation.nodes[node].unreachable.clear(),
        6 | 7 => simulation.nodes[node].running = false,
        8 | 9 => simulation.nodes[node].running = true,
        10 => simulation.restart_node(node),
        11 => {
            let count = simulation.nodes.len();
            for other in (0..count).filter(|other| *other != node) {
                simulation.restart_node(other);
            }
        }
        12 => simulation.nodes[node].reaches_table = !simulation.nodes[node].reaches_table,
        13 | 14 => {
            let age = rng.below(12) as usize;
            let at = backups.len().saturating_sub(1 + age);
            let backup = backups[at].clone();
            simulation.restore(&backup);
            backups.truncate(at + 1);
        }
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
    fn no_key_is_held_twice_across_restores(seed in any::<u64>(), lost in 0u64..20, late in 0u64..30, writes in 0u64..30) {
        let (mut simulation, mut rng) = start_with_faults(seed, lost, late, writes);
        let mut backups = Vec::new();
        for _ in 0..60 {
            inject_fault(&mut simulation, &mut rng, &mut backups);
            simulation.run(MS(50 + rng.below(1_200)));
            prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations.first());
        }
    }
}

#[googletest::test]
fn keys_moved_before_a_restore_by_a_leader_that_then_froze_have_one_owner() {
    let mut simulation = simulation_with_held_keys(4, 3);
    let backup = simulation.backup();
    simulation.crash(2);
    simulation.run(MS(1_200));
    simulation.restore(&backup);
    simulation.run(MS(700));
    let leader = simulation.leader().expect("a node leads");
    simulation.nodes[leader].running = false;
    simulation.run(MS(3_000));
    simulation.restart(2);
    simulation.run(MS(600));
    for node in (0..3).filter(|node| *node != leader) {
        simulation.restart_node(node);
    }
    simulation.run(MS(400));
    simulation.nodes[leader].running = true;
    simulation.run(MS(4_000));
    expect_that!(simulation.violations, is_empty());
}
