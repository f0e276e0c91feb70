//! Runs the scripts in tests/scenarios/spread: faults of VMs, network and table while state is
//! distributed.
//!
//! Commands: `vms COUNT centres=N loss=PERCENT seed=N tick=MS`, `ticket N`, `run MILLISECONDS`,
//! `within MILLISECONDS number=N`, `kill VM...`, `relays CENTRE`, `restart VM...`,
//! `table up|down|stale`, `list up|down`, `cut CENTRE...`, `heal`, `numbers`, `ready VM...`,
//! `centres VM`.

mod state_sync_support;

use std::error::Error;
use std::time::Duration;

use goldenscript::Command;
use goldenscript::Runner;

use crate::state_sync_support::Simulation;
use crate::state_sync_support::SimulationConfig;
use crate::state_sync_support::TableState;
use crate::state_sync_support::centre_name;
use crate::state_sync_support::numbers;
use crate::state_sync_support::state;
use gooseberryloft::state_sync::Input;

const TICK: Duration = Duration::from_millis(50);
const TARGETS: usize = 4;

#[derive(Default)]
struct Script {
    simulation: Option<Simulation>,
}

fn vm(text: &str) -> Result<usize, Box<dyn Error>> {
    let index = text.strip_prefix("vm-").ok_or("name a VM as vm-N")?;
    Ok(index.parse()?)
}

impl Script {
    fn start(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let vms = args.next_pos().ok_or("give the count")?.parse()?;
        let conf = SimulationConfig {
            vms,
            data_centres: args.lookup_parse("centres")?.unwrap_or(3),
            loss: args.lookup_parse::<f64>("loss")?.unwrap_or(0.0) / 100.0,
            tick: args
                .lookup_parse("tick")?
                .map_or(TICK, Duration::from_millis),
            seed: args.lookup_parse("seed")?.unwrap_or(1),
        };
        args.reject_rest()?;
        self.simulation = Some(Simulation::new(conf));
        Ok(String::new())
    }

    fn run_command(
        simulation: &mut Simulation,
        command: &Command,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let number = args.lookup_parse("number")?;
        let words: Vec<String> = args
            .rest_pos()
            .iter()
            .map(|arg| arg.value.clone())
            .collect();
        args.reject_rest()?;
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match (command.name.as_str(), words.as_slice()) {
            ("ticket", [number]) => simulation.state = state(number.parse()?, TARGETS),
            ("run", [millis]) => simulation.run(Duration::from_millis(millis.parse()?)),
            ("table", ["up"]) => simulation.table = TableState::Up,
            ("table", ["down"]) => simulation.table = TableState::Down,
            ("table", ["stale"]) => simulation.table = TableState::Stale(simulation.state.clone()),
            ("list", [word @ ("up" | "down")]) => simulation.list_down = *word == "down",
            ("heal", []) => simulation.cut.clear(),
            ("kill" | "restart" | "cut", names) => {
                for name in names {
                    inject_fault(simulation, &command.name, name)?;
                }
            }
            ("within", [millis]) => {
                let limit = Duration::from_millis(millis.parse()?);
                let took = simulation
                    .run_until(limit, |simulation| simulation.all_hold(number.unwrap_or(0)));
                return Ok(match took {
                    Some(_) => "in force on every live VM".into(),
                    None => "not in force everywhere".into(),
                });
            }
            ("relays", [centre]) => return Ok(relays(simulation, centre)),
            ("numbers", []) => return Ok(format_numbers(simulation)),
            ("ready", names) => return ready(simulation, names),
            ("centres", [name]) => return centres(simulation, vm(name)?),
            (name, _) => return Err(format!("no command {name} with these arguments").into()),
        }
        Ok(String::new())
    }
}

fn inject_fault(simulation: &mut Simulation, what: &str, name: &str) -> Result<(), Box<dyn Error>> {
    if what == "cut" {
        let index = name.strip_prefix("dc-").ok_or("name it dc-N")?;
        simulation.cut.push(centre_name(index.parse()?));
        return Ok(());
    }
    simulation.kill(vm(name)?);
    if what == "restart" {
        simulation.restart(vm(name)?);
    }
    Ok(())
}

fn relays(simulation: &Simulation, centre: &str) -> String {
    let is_local = |index: &usize| simulation.nodes[*index].hello.data_centre.as_str() == centre;
    let relays = simulation.relays().into_iter().filter(is_local);
    let names = relays.map(|index| format!("vm-{index}"));
    names.collect::<Vec<_>>().join(" ")
}

fn format_numbers(simulation: &Simulation) -> String {
    let counts = numbers(simulation).into_iter();
    let lines = counts.map(|(number, vms)| format!("{number}: {vms} VMs"));
    lines.collect::<Vec<_>>().join("\n")
}

fn ready(simulation: &Simulation, names: &[&str]) -> Result<String, Box<dyn Error>> {
    let mut lines = Vec::new();
    for name in names {
        let node = &simulation.nodes[vm(name)?];
        let word = match node.state_sync.is_ready(simulation.now) {
            true => "ready",
            false => "not ready",
        };
        let number = node.state_sync.view().state.number;
        lines.push(format!("{name}: {word} at {number}"));
    }
    Ok(lines.join("\n"))
}

fn centres(simulation: &mut Simulation, index: usize) -> Result<String, Box<dyn Error>> {
    simulation.handle_input(index, Input::QueryCensus);
    simulation.run(Duration::from_millis(200));
    let centres = simulation.nodes[index]
        .state_sync
        .census_by_data_centre()
        .iter();
    let lines = centres.map(|census| {
        let vms = census.vms.iter().filter(|vm| vm.number < census.number);
        let lagging: Vec<_> = vms.map(|vm| vm.vm.to_string()).collect();
        let (vm_count, number) = (census.vm_count, census.number);
        let lagging = lagging.join(" ");
        format!(
            "{}: {vm_count} VMs, {number}, lagging [{lagging}]",
            census.data_centre
        )
    });
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

impl Runner for Script {
    fn run(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        if command.name == "vms" {
            return self.start(command);
        }
        let simulation = self.simulation.as_mut().ok_or("start with vms")?;
        Self::run_command(simulation, command)
    }
}

fn run_script(name: &str) {
    let path = format!("tests/scenarios/spread/{name}");
    goldenscript::run(&mut Script::default(), path).expect("the script runs as recorded");
}

#[test]
fn lost_vms() {
    run_script("lost_vms");
}

#[test]
fn restart() {
    run_script("restart");
}

#[test]
fn partition() {
    run_script("partition");
}

#[test]
fn outage() {
    run_script("outage");
}

#[test]
fn partition_restart() {
    run_script("partition_restart");
}
