//! Random schedules of faults: no two targets hold a shard at the same time, and all shards are
//! served again after the faults end.

#[path = "support/owner_simulation.rs"]
mod simulation;
#[path = "support/owner_table.rs"]
mod table;

use std::time::Duration;

use proptest::prelude::*;

use crate::simulation::Simulation;
use crate::simulation::SimulationConfig;
use crate::table::TableMode;
use gooseberryloft::owner::authority::VouchPolicy;
use gooseberryloft::owner::loads::KeyRate;
use gooseberryloft::owner::loads::Loads;
use gooseberryloft::ticket::TargetState;

const VMS: usize = 4;
const TARGETS: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillTarget(usize),
    StartTarget(usize),
    Freeze(usize),
    Thaw(usize),
    Leave(usize),
    Return(usize),
    PauseVm(usize),
    ResumeVm(usize),
    KillVm(usize),
    StartVm(usize),
    StopVm(usize),
    CutVms(usize, usize),
    CutTarget(usize, usize),
    CutTable(usize),
    Heal,
    Table(TableMode),
    /// Sets the latency of the table, in milliseconds.
    SlowTable(u64),
    Loss,
    Lossless,
    /// The key with this hash receives this fraction of the load.
    HotKey(u64, f64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let vm = 0..VMS;
    let target = 0..TARGETS;
    prop_oneof![
        target.clone().prop_map(Fault::KillTarget),
        target.clone().prop_map(Fault::StartTarget),
        target.clone().prop_map(Fault::Freeze),
        target.clone().prop_map(Fault::Freeze),
        target.clone().prop_map(Fault::Thaw),
        target.clone().prop_map(Fault::Leave),
        target.clone().prop_map(Fault::Return),
        vm.clone().prop_map(Fault::PauseVm),
        vm.clone().prop_map(Fault::ResumeVm),
        vm.clone().prop_map(Fault::KillVm),
        vm.clone().prop_map(Fault::StartVm),
        vm.clone().prop_map(Fault::StopVm),
        (vm.clone(), vm.clone()).prop_map(|(a, b)| Fault::CutVms(a, b)),
        (vm.clone(), target.clone()).prop_map(|(a, b)| Fault::CutTarget(a, b)),
        vm.clone().prop_map(Fault::CutTable),
        Just(Fault::Heal),
        Just(Fault::Table(TableMode::Up)),
        Just(Fault::Table(TableMode::Down)),
        Just(Fault::Table(TableMode::LoseAnswers)),
        (20..900u64).prop_map(Fault::SlowTable),
        Just(Fault::Loss),
        Just(Fault::Lossless),
        (0..3u64, 0.0..0.5).prop_map(|(key, fraction)| Fault::HotKey(key, fraction)),
    ]
}

fn inject(simulation: &mut Simulation, fault: Fault) {
    let target = |i: usize| format!("t{}", i + 1).as_str().into();
    let vm = |i: usize| format!("v{}", i + 1);
    let set_state = |simulation: &mut Simulation, i: usize, state| {
        simulation
            .service
            .targets
            .get_mut(&target(i))
            .expect("a target")
            .state = state;
        simulation.set_service();
    };
    match fault {
        Fault::KillTarget(i) => simulation.kill_target(&target(i)),
        Fault::StartTarget(i) => simulation.start_target(&target(i)),
        Fault::Freeze(i) => simulation.freeze_target(&target(i)),
        Fault::Thaw(i) => simulation.thaw_target(&target(i)),
        Fault::Leave(i) => set_state(simulation, i, TargetState::Leaving),
        Fault::Return(i) => set_state(simulation, i, TargetState::Serving),
        Fault::PauseVm(i) => simulation.pause_vm(i),
        Fault::ResumeVm(i) => simulation.resume_vm(i),
        Fault::KillVm(i) => simulation.kill_vm(i),
        Fault::StartVm(i) => simulation.start_vm(i),
        Fault::StopVm(i) => simulation.stop_vm(i),
        Fault::CutVms(a, b) => drop(simulation.cut_links.insert((vm(a), vm(b)))),
        Fault::CutTarget(a, b) => drop(simulation.cut_links.insert((vm(a), format!("t{}", b + 1)))),
        Fault::CutTable(a) => drop(simulation.cut_links.insert((vm(a), "table".into()))),
        Fault::Heal => simulation.cut_links.clear(),
        Fault::Table(mode) => simulation.table.mode = mode,
        Fault::SlowTable(ms) => simulation.table.latency = Duration::from_millis(ms),
        Fault::Loss => (simulation.loss_rate, simulation.duplication_rate) = (0.05, 0.05),
        Fault::HotKey(key, fraction) => {
            let rate = 1000.0 * fraction;
            let keys = vec![KeyRate { hash: key, rate }];
            for vm in 0..VMS {
                let keys = keys.clone();
                simulation.send_loads(
                    vm,
                    Loads {
                        total: 1000.0,
                        keys,
                    },
                );
            }
        }
        Fault::Lossless => (simulation.loss_rate, simulation.duplication_rate) = (0.0, 0.0),
    }
}

/// Ends all faults and starts the processes that are not running.
fn end_faults(simulation: &mut Simulation) {
    simulation.cut_links.clear();
    simulation.loss_rate = 0.0;
    simulation.duplication_rate = 0.0;
    simulation.table.mode = TableMode::Up;
    simulation.table.latency = Duration::from_millis(20);
    for vm in 0..VMS {
        simulation.resume_vm(vm);
        let is_stopped = simulation.vms[vm].group.is_none();
        if is_stopped {
            simulation.start_vm(vm);
        }
    }
    for i in 0..TARGETS {
        let name = format!("t{}", i + 1).as_str().into();
        simulation.thaw_target(&name);
        if simulation.targets[&name]
            .last()
            .is_none_or(|process| process.dead)
        {
            simulation.start_target(&name);
        }
        inject(simulation, Fault::Return(i));
    }
}

fn schedule() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((1..900u64, fault()), 1..24)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn no_shard_is_held_twice(seed in any::<u64>(), faults in schedule(), checks_term in any::<bool>()) {
        let config = SimulationConfig { vms: VMS, targets: TARGETS, shards: 16, seed, checks_term, policy: VouchPolicy::OneOther, ..SimulationConfig::default() };
        let mut simulation = Simulation::new(config);
        simulation.run(Duration::from_secs(2));
        for (pause, fault) in faults {
            inject(&mut simulation, fault);
            simulation.run(Duration::from_millis(pause));
        }
        end_faults(&mut simulation);
        simulation.run(Duration::from_secs(10));
        simulation.reset_unserved();
        simulation.run(Duration::from_secs(2));
        let has_prior_terms = simulation.count_prior_terms() > 0;
        let unserved = if has_prior_terms { simulation.count_unserved_with_live_owner() } else { simulation.unserved.len() };
        prop_assert!(unserved == 0, "{unserved} shards are not served: {}", simulation.describe());
    }
}
