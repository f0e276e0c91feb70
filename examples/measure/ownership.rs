//! Experiments on ownership under faults, with the groups' state machines in a simulation.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::report::Report;
use crate::report::Row;
use crate::report::figure;
use crate::simulation::Simulation;
use crate::simulation::SimulationConfig;
use crate::table::TableMode;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ticket::TargetState;

const SEEDS: u64 = 5;
const WARM_UP: Duration = Duration::from_secs(6);
const SETTLING: Duration = Duration::from_secs(10);
const OUTAGE: Duration = Duration::from_secs(3_600);

/// What a fault cost.
struct Cost {
    worst: Duration,
    sum: Duration,
    /// Shards with another owner than before, over the shards that had to get one.
    churn: f64,
}

/// Runs every fault with several seeds.
pub fn faults(report: &mut Report, seed: u64) {
    let lost = worst_of(seed, |simulation| simulation.kill_target(&first()));
    push(report, "owner lost", &lost);
    report.judge(
        "owner lost",
        "its keys served again within 1 s; worst key",
        format!("worst shard {:?} of {SEEDS} seeds", lost.worst),
        lost.worst <= Duration::from_secs(1),
    );
    let left = worst_of(seed, |simulation| {
        let target = simulation.service.targets.get_mut(&first());
        target.expect("a target").state = TargetState::Leaving;
        simulation.set_service();
    });
    push(report, "target leaves", &left);
    report.judge(
        "planned move",
        "each shard unavailable under 100 ms at 4.5 ms one way",
        format!("worst shard {:?} of {SEEDS} seeds", left.worst),
        left.worst < Duration::from_millis(100),
    );
    let churn = lost.churn.max(left.churn);
    report.judge(
        "owner lost or leaving (groups)",
        "churn 1.0 of the fewest possible",
        format!("{churn:.3}"),
        churn <= 1.0,
    );
    table_down(report, seed);
}

fn table_down(report: &mut Report, seed: u64) {
    let mut simulation = start(seed);
    simulation.table.mode = TableMode::Down;
    simulation.reset_unserved();
    simulation.run(OUTAGE);
    let worst = simulation.longest_outage();
    let cost = Cost {
        worst,
        sum: simulation.unserved.values().sum(),
        churn: 0.0,
    };
    push(report, "table down 1 h", &cost);
    report.judge(
        "table down 1 h, nothing else",
        "0 s unavailable",
        format!("worst shard {worst:?}"),
        worst.is_zero(),
    );
}

fn worst_of(seed: u64, fault: impl Fn(&mut Simulation)) -> Cost {
    let mut worst = Cost {
        worst: Duration::ZERO,
        sum: Duration::ZERO,
        churn: 0.0,
    };
    for offset in 0..SEEDS {
        let mut simulation = start(seed + offset);
        let before = owners(&simulation);
        simulation.reset_unserved();
        fault(&mut simulation);
        simulation.run(SETTLING);
        let after = owners(&simulation);
        let needed = before.values().filter(|owner| **owner == first()).count();
        let moved = before.iter().filter(|(s, o)| after.get(s) != Some(o));
        worst.worst = worst.worst.max(simulation.longest_outage());
        worst.sum = worst.sum.max(simulation.unserved.values().sum());
        worst.churn = worst.churn.max(moved.count() as f64 / needed.max(1) as f64);
    }
    worst
}

fn start(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(SimulationConfig {
        vms: 12,
        targets: 15,
        shards: 256,
        seed,
        ..SimulationConfig::default()
    });
    simulation.run(WARM_UP);
    simulation
}

fn first() -> TargetId {
    "t1".into()
}

fn owners(simulation: &Simulation) -> BTreeMap<Shard, TargetId> {
    let row = simulation.shards_row().unwrap_or_default();
    let shards = (0..simulation.config.shards).map(Shard);
    let owned = shards.filter_map(|shard| Some((shard, row.owner(shard)?.target.clone())));
    owned.collect()
}

fn push(report: &mut Report, case: &str, cost: &Cost) {
    report.rows.push(Row {
        experiment: "ownership",
        case: case.to_owned(),
        policy: "groups".to_owned(),
        figures: vec![
            figure("worst shard", cost.worst.as_secs_f64() * 1e3, " ms"),
            figure("sum over shards", cost.sum.as_secs_f64(), " s"),
            figure("churn", cost.churn, ""),
        ],
    });
}
