//! Compares the outages under each vouch policy, with the same faults.

#[path = "support/owner_simulation.rs"]
mod simulation;
#[path = "support/owner_table.rs"]
mod table;

use std::time::Duration;

use crate::simulation::Simulation;
use crate::simulation::SimulationConfig;
use crate::table::TableMode;
use gooseberryloft::owner::authority::VouchPolicy;

const POLICIES: [VouchPolicy; 3] = [
    VouchPolicy::TableOnly,
    VouchPolicy::AllOthers,
    VouchPolicy::OneOther,
];

struct Case {
    name: &'static str,
    /// Maximum time in milliseconds that a shard may be unserved with the default policy.
    max_outage_ms: u128,
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
    let case = |name, max_outage_ms, inject| Case {
        name,
        max_outage_ms,
        inject,
    };
    vec![
        case("table down", 0, table_down),
        case("holder lost", 0, |s| s.kill_vm(holder(s))),
        case("deputy lost", 0, |s| s.kill_vm(deputy(s, 0))),
        case("holder cut off from deputies", 0, cut_from_deputies),
        case("holder cut off from deputies and table", 0, |s| {
            cut_from_deputies(s);
            let vm = holder(s);
            cut(s, vm, "table");
        }),
        case("owner lost", 1000, |s| s.kill_target(&"t1".into())),
        case("table down, holder lost", 0, |s| {
            let vm = holder(s);
            table_down(s);
            s.kill_vm(vm);
        }),
        case("table down, deputy lost", 0, |s| {
            let vm = deputy(s, 0);
            table_down(s);
            s.kill_vm(vm);
        }),
        case("table down, holder cut off from deputies", 0, |s| {
            table_down(s);
            cut_from_deputies(s);
        }),
        case("owner lost, holder lost", 1000, |s| {
            s.kill_target(&"t1".into());
            s.kill_vm(holder(s));
        }),
        case("owner lost, deputy lost", 1000, |s| {
            s.kill_target(&"t1".into());
            s.kill_vm(deputy(s, 0));
        }),
        case("owner lost, both deputies lost", 20_000, |s| {
            s.kill_target(&"t1".into());
            let both = [deputy(s, 0), deputy(s, 1)];
            both.into_iter().for_each(|vm| s.kill_vm(vm));
        }),
        case("owner lost 5 s after both deputies", 1000, |s| {
            let both = [deputy(s, 0), deputy(s, 1)];
            both.into_iter().for_each(|vm| s.kill_vm(vm));
            s.run(Duration::from_secs(5));
            s.kill_target(&"t1".into());
        }),
    ]
}

/// Returns the longest time that a shard was unserved with each policy, in milliseconds.
fn longest_outages(case: &Case) -> [u128; 3] {
    POLICIES.map(|policy| {
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
fn vouch_policies_under_the_same_faults() {
    println!("longest outage of a shard in ms: table only, all others, one other");
    std::thread::scope(|scope| {
        for case in cases() {
            scope.spawn(move || {
                let [table, all, one] = longest_outages(&case);
                println!("{:<42} {table:>8} {all:>8} {one:>8}", case.name);
                assert!(one <= case.max_outage_ms, "{}: {one} ms", case.name);
            });
        }
    });
}
