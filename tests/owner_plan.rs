//! Plans are balanced by capacity and move no more shards than necessary.

use proptest::prelude::*;

use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TargetId;
use gooseberryloft::owner::plan::RebalanceMode;
use gooseberryloft::owner::plan::ShardLoad;
use gooseberryloft::owner::plan::TargetSlots;
use gooseberryloft::owner::plan::plan;

fn target_slots(i: usize, slots: u32) -> TargetSlots {
    let target = TargetId::from(format!("t{i}"));
    TargetSlots { target, slots }
}

fn unassigned(count: u32) -> Vec<ShardLoad> {
    let shard = |i| ShardLoad {
        shard: Shard(i),
        weight: 1.0,
        owner: None,
    };
    (0..count).map(shard).collect()
}

/// Computes a plan and applies it. Returns the number of shards that changed their owner.
fn apply_plan(targets: &[TargetSlots], shards: &mut [ShardLoad]) -> usize {
    let steps = plan(targets, shards, RebalanceMode::Continue);
    for step in &steps {
        shards[step.shard.0 as usize].owner = Some(step.to.clone());
    }
    steps.len()
}

fn count_owned(shards: &[ShardLoad], target: &TargetSlots) -> usize {
    let owned = shards
        .iter()
        .filter(|p| p.owner.as_ref() == Some(&target.target));
    owned.count()
}

/// Returns true if every target has its exact share of the shards, rounded down or up.
fn is_balanced(targets: &[TargetSlots], shards: &[ShardLoad]) -> bool {
    let slots: u32 = targets.iter().map(|target| target.slots).sum();
    targets.iter().all(|target| {
        let share = shards.len() as f64 * f64::from(target.slots) / f64::from(slots);
        (count_owned(shards, target) as f64 - share).abs() < 1.0
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_plan_is_balanced_by_capacity(slots in prop::collection::vec(1..8u32, 1..20), shard_count in 1..600u32) {
        let targets: Vec<_> = slots.iter().enumerate().map(|(i, s)| target_slots(i, *s)).collect();
        let mut shards = unassigned(shard_count);
        prop_assert_eq!(apply_plan(&targets, &mut shards), shard_count as usize);
        prop_assert!(is_balanced(&targets, &shards));
        prop_assert_eq!(apply_plan(&targets, &mut shards), 0, "a balanced assignment does not change");
    }

    #[test]
    fn the_loss_of_a_target_moves_only_its_shards(count in 2..20usize, lost in 0..20usize, shard_count in 64..600u32) {
        let mut targets: Vec<_> = (0..count).map(|i| target_slots(i, 2)).collect();
        let mut shards = unassigned(shard_count);
        apply_plan(&targets, &mut shards);
        let removed = targets.remove(lost % count);
        let fewest = count_owned(&shards, &removed);
        prop_assert_eq!(apply_plan(&targets, &mut shards), fewest);
        prop_assert!(is_balanced(&targets, &shards));
    }

    #[test]
    fn a_new_target_receives_only_its_share(count in 1..20usize, shard_count in 256..1024u32) {
        let mut targets: Vec<_> = (0..count).map(|i| target_slots(i, 6)).collect();
        let mut shards = unassigned(shard_count);
        apply_plan(&targets, &mut shards);
        targets.push(target_slots(count, 6));
        let moved = apply_plan(&targets, &mut shards);
        let fewest = shard_count as usize / targets.len();
        prop_assert!(moved <= fewest, "{} moved, {} suffice", moved, fewest);
        prop_assert_eq!(moved, count_owned(&shards, &targets[count]));
        prop_assert!(is_balanced(&targets, &shards));
    }
}
