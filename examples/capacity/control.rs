//! The cost of controlling one group: processor time and table writes, by targets and shards.

use std::time::Duration;
use std::time::Instant;

use crate::report::Row;
use crate::simulation::Simulation;
use crate::simulation::SimulationConfig;

const SETTLE: Duration = Duration::from_secs(5);
const QUIET: Duration = Duration::from_secs(60);
const RECOVERY: Duration = Duration::from_secs(5);
const FEW_TARGETS: usize = 8;
const MANY_TARGETS: usize = 32;
const SHARDS: u32 = 262;
const MANY_SHARDS: u32 = 1_048;
/// So seldom does the simulation check what is served, which is not the system's work.
const SAMPLE: Duration = Duration::from_secs(1);

/// Measured costs of one group with three members.
#[derive(Clone, Copy, Debug)]
pub struct Control {
    /// Processor time of the members and the fakes around them per second, without targets, in µs.
    pub group_us: f64,
    /// More per target, in µs a second.
    pub target_us: f64,
    /// More per shard, in µs a second.
    pub shard_us: f64,
    /// Table writes a second while nothing happens.
    pub quiet_writes: f64,
    /// Table writes for the loss of one target.
    pub loss_writes: f64,
    /// Table writes for the loss of four targets at once.
    pub rack_writes: f64,
    /// Time without service of the worst shard when one target is lost, in ms.
    pub loss_ms: f64,
    /// The same when four targets are lost at once.
    pub rack_ms: f64,
}

struct Quiet {
    us: f64,
    writes: f64,
}

struct Loss {
    writes: f64,
    gap_ms: f64,
}

/// Measures all of it.
pub fn measure() -> Control {
    let few = quiet(FEW_TARGETS, SHARDS);
    let many = quiet(MANY_TARGETS, SHARDS);
    let shards = quiet(FEW_TARGETS, MANY_SHARDS);
    let target_us = (many.us - few.us) / (MANY_TARGETS - FEW_TARGETS) as f64;
    let shard_us = (shards.us - few.us) / f64::from(MANY_SHARDS - SHARDS);
    let one = loss(1);
    let rack = loss(4);
    Control {
        group_us: few.us - target_us * FEW_TARGETS as f64 - shard_us * f64::from(SHARDS),
        target_us,
        shard_us,
        quiet_writes: few.writes,
        loss_writes: one.writes,
        rack_writes: rack.writes,
        loss_ms: one.gap_ms,
        rack_ms: rack.gap_ms,
    }
}

/// Returns the report's lines.
pub fn rows(control: &Control) -> Vec<Row> {
    vec![
        Row::new(
            "group of three members, without targets",
            control.group_us,
            "µs/s",
        ),
        Row::new("more per target", control.target_us, "µs/s"),
        Row::new("more per shard", control.shard_us, "µs/s"),
        Row::new(
            "table writes while nothing happens",
            control.quiet_writes,
            "/s",
        ),
        Row::new(
            "table writes for the loss of one target",
            control.loss_writes,
            "",
        ),
        Row::new(
            "table writes for the loss of four of 16 targets",
            control.rack_writes,
            "",
        ),
        Row::new(
            "loss of one target: worst shard without service",
            control.loss_ms,
            "ms",
        ),
        Row::new(
            "loss of four of 16 targets: worst shard",
            control.rack_ms,
            "ms",
        ),
    ]
}

fn start_simulation(targets: usize, shards: u32) -> Simulation {
    let mut simulation = Simulation::new(SimulationConfig {
        targets,
        shards,
        sample_period: SAMPLE,
        ..SimulationConfig::default()
    });
    simulation.run(SETTLE);
    simulation
}

fn quiet(targets: usize, shards: u32) -> Quiet {
    let mut simulation = start_simulation(targets, shards);
    let writes = simulation.table.writes;
    let from = Instant::now();
    simulation.run(QUIET);
    let us = from.elapsed().as_secs_f64() * 1e6 / QUIET.as_secs_f64();
    let writes = (simulation.table.writes - writes) as f64 / QUIET.as_secs_f64();
    Quiet { us, writes }
}

fn loss(count: usize) -> Loss {
    let mut simulation = Simulation::new(SimulationConfig {
        targets: 16,
        shards: SHARDS,
        ..SimulationConfig::default()
    });
    simulation.run(SETTLE);
    simulation.reset_unserved();
    let writes = simulation.table.writes;
    for i in 0..count {
        simulation.kill_target(&format!("t{}", i + 1).as_str().into());
    }
    simulation.run(RECOVERY);
    let writes = (simulation.table.writes - writes) as f64;
    Loss {
        writes,
        gap_ms: simulation.longest_outage().as_secs_f64() * 1e3,
    }
}
