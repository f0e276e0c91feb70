//! The ways to decide who may extend grants, each under the same faults.

#[path = "support/owner_simulation.rs"]
mod simulation;
#[path = "support/owner_table.rs"]
mod table;

use std::time::Duration;

use crate::simulation::Simulation;
use crate::simulation::SimulationConfig;
use crate::table::TableMode;
use gooseberryloft::owner::authority::VouchPolicy;

const WAYS: [VouchPolicy; 3] = [
    VouchPolicy::TableOnly,
    VouchPolicy::AllOthers,
    VouchPolicy::OneOther,
];

struct Case {
    name: &'static str,
    /// What the way in use must stand, in milliseconds without service of the worst shard.
    limit_ms: u128,
    inject: fn(&mut Simulation),
}

fn holder(simulation: &Simulation) -> usize {
    simulation.holder().expect("a holder")
}

fn deputy(simulation: &Simulation, index: usize) -> usize {
    let group = simulation.vms[holder(simulation)].group.as_ref();
    let status = group.expect("a running VM").status();
    simulation.vm(status.deputies[index].as_str())
}

fn cut(simulation: &mut Simulation, vm: usize, other: &str) {
    let name = simulation.vms[vm].name.to_string();
    simulation.cut_links.insert((name, other.into()));
}

fn cut_from_deputies(simulation: &mut Simulation) {
    let vm = holder(simulation);
    for index in 0..2 {
        let other = deputy(simulation, index);
        let name = simulation.vms[other].name.to_string();
        cut(simulation, vm, &name);
    }
}

fn table_down(simulation: &mut Simulation) {
    simulation.table.mode = TableMode::Down;
    simulation.run(Duration::from_secs(2));
}

fn cases() -> Vec<Case> {
    let case = |name, limit_ms, inject| Case {
        name,
        limit_ms,
        inject,
    };
    vec![
        case("table down", 0, table_down),
        case("holder lost", 0, |w| w.kill_vm(holder(w))),
        case("deputy lost", 0, |w| w.kill_vm(deputy(w, 0))),
        case("holder cut off from deputies", 0, cut_from_deputies),
        case("holder cut off from deputies and table", 0, |w| {
            cut_from_deputies(w);
            let vm = holder(w);
            cut(w, vm, "table");
        }),
        case("owner lost", 1000, |w| w.kill_target(&"t1".into())),
        case("table down, holder lost", 0, |w| {
            let vm = holder(w);
            table_down(w);
            w.kill_vm(vm);
        }),
        case("table down, deputy lost", 0, |w| {
            let vm = deputy(w, 0);
            table_down(w);
            w.kill_vm(vm);
        }),
        case("table down, holder cut off from deputies", 0, |w| {
            table_down(w);
            cut_from_deputies(w);
        }),
        case("owner lost, holder lost", 1000, |w| {
            w.kill_target(&"t1".into());
            w.kill_vm(holder(w));
        }),
        case("owner lost, deputy lost", 1000, |w| {
            w.kill_target(&"t1".into());
            w.kill_vm(deputy(w, 0));
        }),
        case("owner lost, both deputies lost", 20_000, |w| {
            w.kill_target(&"t1".into());
            let both = [deputy(w, 0), deputy(w, 1)];
            both.into_iter().for_each(|vm| w.kill_vm(vm));
        }),
        case("owner lost 5 s after both deputies", 1000, |w| {
            let both = [deputy(w, 0), deputy(w, 1)];
            both.into_iter().for_each(|vm| w.kill_vm(vm));
            w.run(Duration::from_secs(5));
            w.kill_target(&"t1".into());
        }),
    ]
}

/// Returns the worst shard's time without service under each way.
fn gaps(case: &Case) -> [u128; 3] {
    WAYS.map(|policy| {
        let mut simulation = Simulation::new(SimulationConfig {
            vms: 5,
            targets: 4,
            shards: 16,
            policy,
            ..SimulationConfig::default()
        });
        simulation.run(Duration::from_secs(4));
        simulation.reset_unserved();
        (case.inject)(&mut simulation);
        simulation.run(Duration::from_secs(20));
        simulation.longest_outage().as_millis()
    })
}

#[test]
fn ways_to_extend_under_the_same_faults() {
    println!("unavailable ms, worst shard: table only, all others, one other");
    std::thread::scope(|scope| {
        for case in cases() {
            scope.spawn(move || {
                let [table, all, one] = gaps(&case);
                println!("{:<42} {table:>8} {all:>8} {one:>8}", case.name);
                assert!(one <= case.limit_ms, "{}: {one} ms", case.name);
            });
        }
    });
}
