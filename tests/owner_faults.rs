//! Random schedules of faults: no shard is ever held twice, and service returns.

#[path = "support/owner_table.rs"]
mod table;
#[path = "support/owner_world.rs"]
mod world;

use std::time::Duration;

use proptest::prelude::*;

use crate::table::Mode;
use crate::world::Sizes;
use crate::world::World;
use gooseberryloft::owner::loads::KeyRate;
use gooseberryloft::owner::loads::Loads;
use gooseberryloft::owner::right::VouchPolicy;
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
    Table(Mode),
    Slow(u64),
    Loss,
    Lossless,
    /// One key takes this part of the load.
    Heat(u64, f64),
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
        Just(Fault::Table(Mode::Up)),
        Just(Fault::Table(Mode::Down)),
        Just(Fault::Table(Mode::Mute)),
        (20..900u64).prop_map(Fault::Slow),
        Just(Fault::Loss),
        Just(Fault::Lossless),
        (0..3u64, 0.0..0.5).prop_map(|(key, part)| Fault::Heat(key, part)),
    ]
}

fn inject(world: &mut World, fault: Fault) {
    let target = |i: usize| format!("t{}", i + 1).as_str().into();
    let vm = |i: usize| format!("v{}", i + 1);
    let set = |world: &mut World, i: usize, state| {
        world
            .service
            .targets
            .get_mut(&target(i))
            .expect("a target")
            .state = state;
        world.set_service();
    };
    match fault {
        Fault::KillTarget(i) => world.kill_target(&target(i)),
        Fault::StartTarget(i) => world.start_target(&target(i)),
        Fault::Freeze(i) => world.freeze_target(&target(i)),
        Fault::Thaw(i) => world.thaw_target(&target(i)),
        Fault::Leave(i) => set(world, i, TargetState::Leaving),
        Fault::Return(i) => set(world, i, TargetState::Serving),
        Fault::PauseVm(i) => world.pause_vm(i),
        Fault::ResumeVm(i) => world.resume_vm(i),
        Fault::KillVm(i) => world.kill_vm(i),
        Fault::StartVm(i) => world.start_vm(i),
        Fault::StopVm(i) => world.stop_vm(i),
        Fault::CutVms(a, b) => drop(world.cuts.insert((vm(a), vm(b)))),
        Fault::CutTarget(a, b) => drop(world.cuts.insert((vm(a), format!("t{}", b + 1)))),
        Fault::CutTable(a) => drop(world.cuts.insert((vm(a), "table".into()))),
        Fault::Heal => world.cuts.clear(),
        Fault::Table(mode) => world.table.mode = mode,
        Fault::Slow(ms) => world.table.latency = Duration::from_millis(ms),
        Fault::Loss => (world.loss, world.twice) = (0.05, 0.05),
        Fault::Heat(key, part) => {
            let rate = 1000.0 * part;
            let keys = vec![KeyRate { hash: key, rate }];
            for vm in 0..VMS {
                let keys = keys.clone();
                world.sample_loads(
                    vm,
                    Loads {
                        total: 1000.0,
                        keys,
                    },
                );
            }
        }
        Fault::Lossless => (world.loss, world.twice) = (0.0, 0.0),
    }
}

/// Ends every fault and starts what is dead.
fn mend(world: &mut World) {
    world.cuts.clear();
    world.loss = 0.0;
    world.twice = 0.0;
    world.table.mode = Mode::Up;
    world.table.latency = Duration::from_millis(20);
    for vm in 0..VMS {
        world.resume_vm(vm);
        let stopping = world.vms[vm].group.is_none();
        if stopping {
            world.start_vm(vm);
        }
    }
    for i in 0..TARGETS {
        let name = format!("t{}", i + 1).as_str().into();
        world.thaw_target(&name);
        if world.targets[&name]
            .last()
            .is_none_or(|process| process.dead)
        {
            world.start_target(&name);
        }
        inject(world, Fault::Return(i));
    }
}

fn schedule() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((1..900u64, fault()), 1..24)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn no_shard_is_held_twice(seed in any::<u64>(), faults in schedule(), checks_term in any::<bool>()) {
        let sizes = Sizes { vms: VMS, targets: TARGETS, shards: 16, seed, checks_term, policy: VouchPolicy::OneOther, ..Sizes::default() };
        let mut world = World::new(sizes);
        world.run(Duration::from_secs(2));
        for (pause, fault) in faults {
            inject(&mut world, fault);
            world.run(Duration::from_millis(pause));
        }
        mend(&mut world);
        world.run(Duration::from_secs(10));
        world.mark();
        world.run(Duration::from_secs(2));
        let waits = world.open_terms() > 0;
        let away = if waits { world.away_without_cause() } else { world.worst.len() };
        prop_assert!(away == 0, "no service of {away} shards: {}", world.report());
    }
}
