//! Checks, for three numbers of VMs, the time until a ticket is in force on every VM and the
//! traffic per VM.

mod state_sync_support;

use std::time::Duration;

use googletest::prelude::*;

use crate::state_sync_support::KINDS;
use crate::state_sync_support::Simulation;
use crate::state_sync_support::SimulationConfig;
use crate::state_sync_support::bytes;
use crate::state_sync_support::state;
use gooseberryloft::state_sync::vm_list_interval;

/// Longest time until a ticket is in force on every VM.
const MAX_ROLLOUT_TIME: Duration = Duration::from_secs(5);
const MAX_ROLLOUT_TIME_AT_FULL_SIZE: Duration = Duration::from_secs(14);
const MAX_BYTES_PER_SECOND: u64 = 5_000;
const MAX_TABLE_READS_PER_SECOND: u64 = 2_000;
/// Interval between tickets at 8,200 changes per day.
const TICKET_INTERVAL: Duration = Duration::from_millis(10_537);
/// Time for links and censuses to settle after VMs were lost.
const STABILISATION_TIME: Duration = Duration::from_secs(8);
/// Size of one VM's entry in the platform's list.
const VM_ENTRY_BYTES: u64 = 80;
const TARGETS: usize = 10;

fn conf(vms: usize, data_centres: usize, tick_ms: u64) -> SimulationConfig {
    SimulationConfig {
        vms,
        data_centres,
        loss: 0.02,
        tick: Duration::from_millis(tick_ms),
        seed: 7,
    }
}

// Files tickets at the rate of the full size and checks the traffic per VM and the reads of the
// table.
fn check_cost(simulation: &mut Simulation, tickets: u64) {
    simulation.delist_dead();
    simulation.run(STABILISATION_TIME);
    simulation.reset_traffic();
    let reads = simulation.table_reads;
    for number in 2..2 + tickets {
        simulation.state = state(number, TARGETS);
        simulation.run(TICKET_INTERVAL);
        assert!(
            simulation.all_hold(number),
            "{:?}",
            state_sync_support::numbers(simulation)
        );
    }
    let seconds = TICKET_INTERVAL.as_secs() * tickets;
    let (mean, max) = bytes(simulation);
    let reads = (simulation.table_reads - reads) / seconds;
    println!(
        "{} VMs: mean {} B/s, most {} B/s, {reads} table reads/s",
        simulation.nodes.len(),
        mean / seconds,
        max / seconds
    );
    print_kinds(simulation, seconds);
    let list = VM_ENTRY_BYTES * simulation.nodes.len() as u64
        / vm_list_interval(simulation.nodes.len()).as_secs();
    println!("  list: {list} B/s");
    expect_that!(max / seconds + list, le(MAX_BYTES_PER_SECOND));
    expect_that!(reads, le(MAX_TABLE_READS_PER_SECOND));
}

fn print_kinds(simulation: &Simulation, seconds: u64) {
    for (at, name) in KINDS.iter().enumerate() {
        let each = simulation.nodes.iter().map(|node| node.traffic.kinds[at]);
        let mean = each.clone().sum::<u64>() / simulation.nodes.len() as u64 / seconds;
        let max = each.max().unwrap_or_default() / seconds;
        println!("  {name}: mean {mean} B/s, most {max} B/s");
    }
}

// Files a ticket, kills a relay 300 ms later, and checks the time until the ticket is in force on
// every live VM.
fn check_rollout(simulation: &mut Simulation, limit: Duration) {
    simulation.run(Duration::from_secs(8));
    simulation.state = state(1, TARGETS);
    simulation.run(Duration::from_millis(300));
    let relays = simulation.relays();
    simulation.kill(relays[relays.len() / 2]);
    let took = simulation.run_until(limit, |simulation| simulation.all_hold(1));
    println!(
        "{} VMs: in force after {:?} with {} relays",
        simulation.nodes.len(),
        took.map(|took| took + Duration::from_millis(300)),
        relays.len()
    );
    expect_that!(took, some(le(limit - Duration::from_millis(300))));
}

#[googletest::test]
fn twelve_vms() {
    let mut simulation = Simulation::new(conf(12, 4, 50));
    check_rollout(&mut simulation, MAX_ROLLOUT_TIME);
    check_cost(&mut simulation, 6);
}

#[googletest::test]
fn one_hundred_and_seventy_four_vms() {
    let mut simulation = Simulation::new(conf(174, 1, 50));
    check_rollout(&mut simulation, MAX_ROLLOUT_TIME);
    check_cost(&mut simulation, 3);
}

#[googletest::test]
fn four_thousand_vms() {
    let mut simulation = Simulation::new(conf(4_000, 23, 500));
    check_rollout(&mut simulation, MAX_ROLLOUT_TIME_AT_FULL_SIZE);
    check_cost(&mut simulation, 1);
}
