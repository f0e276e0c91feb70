//! How soon a ticket is in force on every live VM.

use std::time::Duration;

use crate::net::Simulation;
use crate::net::SimulationConfig;
use crate::net::state;
use crate::report::Report;
use crate::report::Row;
use crate::report::figure;

const LIMIT: Duration = Duration::from_secs(5);
const SETTLE: Duration = Duration::from_secs(8);
const ON_THE_WAY: Duration = Duration::from_millis(300);
const TARGETS: usize = 40;
const SEEDS: u64 = 5;

/// Loses a relay while a ticket spreads among 12 VMs over links that lose 2 % of the messages.
pub fn in_force(report: &mut Report, seed: u64) {
    let mut worst = Duration::ZERO;
    for seed in seed..seed + SEEDS {
        let took = spread_time(seed);
        worst = worst.max(took);
        report.rows.push(Row {
            experiment: "ticket",
            case: format!("12 VMs, seed {seed}"),
            policy: "tree".into(),
            figures: vec![figure("in force after", took.as_secs_f64(), " s")],
        });
    }
    report.judge(
        "ticket",
        "in force on every live VM within 5 s, with 2% loss and one VM lost on the way",
        format!("{:.2} s, the most of {SEEDS} seeds", worst.as_secs_f64()),
        worst <= LIMIT,
    );
}

fn spread_time(seed: u64) -> Duration {
    let tick = Duration::from_millis(50);
    let mut net = Simulation::new(SimulationConfig {
        vms: 12,
        data_centres: 4,
        loss: 0.02,
        tick,
        seed,
    });
    net.run(SETTLE);
    net.state = state(1, TARGETS);
    net.run(ON_THE_WAY);
    let relays = net.relays();
    net.kill(relays[relays.len() / 2]);
    let took = net.run_until(2 * LIMIT, |net| net.all_hold(1));
    took.unwrap_or(2 * LIMIT) + ON_THE_WAY
}
