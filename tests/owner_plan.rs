//! Plans are balanced by capacity and move no more shards than they must.

use proptest::prelude::*;

use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TargetId;
use gooseberryloft::owner::plan::RebalanceMode;
use gooseberryloft::owner::plan::ShardLoad;
use gooseberryloft::owner::plan::TargetSlots;
use gooseberryloft::owner::plan::plan;

fn seat(i: usize, slots: u32) -> TargetSlots {
    let target = TargetId::from(format!("t{i}"));
    TargetSlots { target, slots }
}

fn fresh(shards: u32) -> Vec<ShardLoad> {
    let piece = |i| ShardLoad {
        shard: Shard(i),
        weight: 1.0,
        owner: None,
    };
    (0..shards).map(piece).collect()
}

/// Carries out a plan; returns the number of shards that changed their owner.
fn carry_out(seats: &[TargetSlots], pieces: &mut [ShardLoad]) -> usize {
    let steps = plan(seats, pieces, RebalanceMode::Continue);
    for step in &steps {
        pieces[step.shard.0 as usize].owner = Some(step.to.clone());
    }
    steps.len()
}

fn count(pieces: &[ShardLoad], seat: &TargetSlots) -> usize {
    let owned = pieces
        .iter()
        .filter(|p| p.owner.as_ref() == Some(&seat.target));
    owned.count()
}

/// Every target has its exact share, rounded down or up.
fn is_balanced(seats: &[TargetSlots], pieces: &[ShardLoad]) -> bool {
    let slots: u32 = seats.iter().map(|seat| seat.slots).sum();
    seats.iter().all(|seat| {
        let share = pieces.len() as f64 * f64::from(seat.slots) / f64::from(slots);
        (count(pieces, seat) as f64 - share).abs() < 1.0
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_plan_is_balanced_by_capacity(slots in prop::collection::vec(1..8u32, 1..20), shards in 1..600u32) {
        let seats: Vec<_> = slots.iter().enumerate().map(|(i, s)| seat(i, *s)).collect();
        let mut pieces = fresh(shards);
        prop_assert_eq!(carry_out(&seats, &mut pieces), shards as usize);
        prop_assert!(is_balanced(&seats, &pieces));
        prop_assert_eq!(carry_out(&seats, &mut pieces), 0, "a balanced plan stays");
    }

    #[test]
    fn a_loss_moves_just_what_was_lost(targets in 2..20usize, lost in 0..20usize, shards in 64..600u32) {
        let mut seats: Vec<_> = (0..targets).map(|i| seat(i, 2)).collect();
        let mut pieces = fresh(shards);
        carry_out(&seats, &mut pieces);
        let gone = seats.remove(lost % targets);
        let fewest = count(&pieces, &gone);
        prop_assert_eq!(carry_out(&seats, &mut pieces), fewest);
        prop_assert!(is_balanced(&seats, &pieces));
    }

    #[test]
    fn a_join_moves_just_the_newcomers_share(targets in 1..20usize, shards in 256..1024u32) {
        let mut seats: Vec<_> = (0..targets).map(|i| seat(i, 6)).collect();
        let mut pieces = fresh(shards);
        carry_out(&seats, &mut pieces);
        seats.push(seat(targets, 6));
        let moved = carry_out(&seats, &mut pieces);
        let fewest = shards as usize / seats.len();
        prop_assert!(moved <= fewest, "{} moved, {} are enough", moved, fewest);
        prop_assert_eq!(moved, count(&pieces, &seats[targets]));
        prop_assert!(is_balanced(&seats, &pieces));
    }
}
