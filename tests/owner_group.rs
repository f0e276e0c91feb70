//! One group under faults, in a fake world with a virtual clock.

#[path = "support/owner_table.rs"]
mod table;
#[path = "support/owner_world.rs"]
mod world;

use std::time::Duration;

use crate::world::Sizes;
use crate::world::World;
use gooseberryloft::events::Event;
use gooseberryloft::ticket::TargetState;

#[test]
fn one_vm_alone_keeps_every_shard_served() {
    let mut world = World::new(Sizes {
        vms: 1,
        ..Sizes::default()
    });
    world.run(Duration::from_secs(3));
    world.mark();
    world.run(Duration::from_secs(30));
    assert_eq!(world.worst_gap(), Duration::ZERO, "{}", world.report());
    assert_eq!(world.view.groups[&World::group_id()].owners.len(), 32);
}

#[test]
fn a_lost_owner_is_replaced_within_a_second() {
    for vms in 1..5 {
        let mut world = World::new(Sizes {
            vms,
            ..Sizes::default()
        });
        world.run(Duration::from_secs(5));
        world.mark();
        world.kill_target(&"t1".into());
        world.run(Duration::from_secs(5));
        let gap = world.worst_gap();
        assert!(gap < Duration::from_secs(1), "{vms} VMs: {gap:?}");
    }
}

#[test]
fn planned_moves_leave_each_shard_unserved_for_less_than_100_ms() {
    let mut world = World::new(Sizes {
        shards: 256,
        targets: 4,
        ..Sizes::default()
    });
    world.run(Duration::from_secs(4));
    world.mark();
    let leaving = world.service.targets.get_mut(&"t1".into());
    leaving.expect("a target").state = TargetState::Leaving;
    world.set_service();
    world.run(Duration::from_secs(8));
    let row = world.shards_row().expect("a row of shards");
    let left = row.owners.values().filter(|o| o.target == "t1".into());
    println!(
        "worst {:?}, {} writes",
        world.worst_gap(),
        world.table.writes
    );
    assert_eq!(left.count(), 0);
    assert!(world.worst_gap() < Duration::from_millis(100));
}

#[test]
fn an_old_holder_gets_no_vouch_for_its_ended_term() {
    let mut world = World::new(Sizes {
        targets: 3,
        shards: 12,
        checks_term: false,
        ..Sizes::default()
    });
    world.run(Duration::from_secs(4));
    let holder = world.holder().expect("a holder");
    let status = world.vms[holder].group.as_ref().map(|group| group.status());
    let deputies = status.expect("a running VM").deputies;
    let [old, first, second] = [&world.vms[holder].name, &deputies[0], &deputies[1]];
    let [old, first, second] = [old, first, second].map(|vm| vm.to_string());
    let pair = |a: &str, b: &str| (a.to_string(), b.to_string());
    world.cuts.insert(pair(&old, &first));
    world.cuts.insert(pair(&old, &second));
    world.cuts.insert(pair(&old, "table"));
    world.cuts.insert(pair(&first, "t1"));
    world.run(Duration::from_millis(600));
    assert_eq!(
        world.holder().map(|vm| world.vms[vm].name.to_string()),
        Some(first)
    );
    // The old holder hears the second deputy again, and still reaches the target.
    world.cuts.remove(&pair(&old, &second));
    world.run(Duration::from_secs(4));
    let row = world.shards_row().expect("a row of shards");
    let left = row.owners.values().filter(|o| o.target == "t1".into());
    assert_eq!(left.count(), 0, "{}", world.report());
}

#[test]
fn a_loss_that_waits_is_told_once() {
    let mut world = World::new(Sizes {
        targets: 1,
        ..Sizes::default()
    });
    world.run(Duration::from_secs(3));
    world.kill_target(&"t1".into());
    world.run(Duration::from_secs(10));
    let told = world
        .log
        .iter()
        .filter(|(_, event, _)| *event == Event::LossSpared);
    assert_eq!(told.count(), 1, "{}", world.report());
}
