//! The control of one group under faults, in a simulation with a virtual clock.

#[path = "support/owner_simulation.rs"]
mod simulation;
#[path = "support/owner_table.rs"]
mod table;

use std::time::Duration;

use crate::simulation::Simulation;
use crate::simulation::SimulationConfig;
use gooseberryloft::events::Event;
use gooseberryloft::ticket::TargetState;

#[test]
fn a_single_vm_keeps_all_shards_served() {
    let mut simulation = Simulation::new(SimulationConfig {
        vms: 1,
        ..SimulationConfig::default()
    });
    simulation.run(Duration::from_secs(3));
    simulation.reset_unserved();
    simulation.run(Duration::from_secs(30));
    assert_eq!(
        simulation.longest_outage(),
        Duration::ZERO,
        "{}",
        simulation.describe()
    );
    assert_eq!(
        simulation.view.groups[&Simulation::group_id()].owners.len(),
        32
    );
}

#[test]
fn a_lost_owner_is_replaced_within_a_second() {
    for vms in 1..5 {
        let mut simulation = Simulation::new(SimulationConfig {
            vms,
            ..SimulationConfig::default()
        });
        simulation.run(Duration::from_secs(5));
        simulation.reset_unserved();
        simulation.kill_target(&"t1".into());
        simulation.run(Duration::from_secs(5));
        let outage = simulation.longest_outage();
        assert!(outage < Duration::from_secs(1), "{vms} VMs: {outage:?}");
    }
}

#[test]
fn planned_moves_leave_each_shard_unserved_for_less_than_100_ms() {
    let mut simulation = Simulation::new(SimulationConfig {
        shards: 256,
        targets: 4,
        ..SimulationConfig::default()
    });
    simulation.run(Duration::from_secs(4));
    simulation.reset_unserved();
    let leaving = simulation.service.targets.get_mut(&"t1".into());
    leaving.expect("a target").state = TargetState::Leaving;
    simulation.set_service();
    simulation.run(Duration::from_secs(8));
    let row = simulation.shards_row().expect("a row of shards");
    let owned = row.owners.values().filter(|o| o.target == "t1".into());
    println!(
        "longest outage {:?}, {} writes",
        simulation.longest_outage(),
        simulation.table.writes
    );
    assert_eq!(owned.count(), 0);
    assert!(simulation.longest_outage() < Duration::from_millis(100));
}

#[test]
fn a_previous_holder_gets_no_vouch_for_its_ended_term() {
    let mut simulation = Simulation::new(SimulationConfig {
        targets: 3,
        shards: 12,
        checks_term: false,
        ..SimulationConfig::default()
    });
    simulation.run(Duration::from_secs(4));
    let holder = simulation.holder().expect("a holder");
    let status = simulation.vms[holder]
        .group
        .as_ref()
        .map(|group| group.status());
    let deputies = status.expect("a running VM").deputies;
    let [previous, first, second] = [&simulation.vms[holder].name, &deputies[0], &deputies[1]];
    let [previous, first, second] = [previous, first, second].map(|vm| vm.to_string());
    let pair = |a: &str, b: &str| (a.to_string(), b.to_string());
    simulation.cut_links.insert(pair(&previous, &first));
    simulation.cut_links.insert(pair(&previous, &second));
    simulation.cut_links.insert(pair(&previous, "table"));
    simulation.cut_links.insert(pair(&first, "t1"));
    simulation.run(Duration::from_millis(600));
    assert_eq!(
        simulation
            .holder()
            .map(|vm| simulation.vms[vm].name.to_string()),
        Some(first)
    );
    // The previous holder reaches the second deputy again; its link to the target was not cut.
    simulation.cut_links.remove(&pair(&previous, &second));
    simulation.run(Duration::from_secs(4));
    let row = simulation.shards_row().expect("a row of shards");
    let owned = row.owners.values().filter(|o| o.target == "t1".into());
    assert_eq!(owned.count(), 0, "{}", simulation.describe());
}

#[test]
fn a_deferred_loss_is_logged_once() {
    let mut simulation = Simulation::new(SimulationConfig {
        targets: 1,
        ..SimulationConfig::default()
    });
    simulation.run(Duration::from_secs(3));
    simulation.kill_target(&"t1".into());
    simulation.run(Duration::from_secs(10));
    let logged = simulation
        .log
        .iter()
        .filter(|(_, event, _)| *event == Event::LossSpared);
    assert_eq!(logged.count(), 1, "{}", simulation.describe());
}
