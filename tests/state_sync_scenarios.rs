//! Scripted faults of VMs, network and table while state spreads.
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

use crate::state_sync_support::Net;
use crate::state_sync_support::NetConf;
use crate::state_sync_support::TableState;
use crate::state_sync_support::centre_name;
use crate::state_sync_support::numbers;
use crate::state_sync_support::state;
use gooseberryloft::state_sync::Input;

const TICK: Duration = Duration::from_millis(50);
const TARGETS: usize = 4;

#[derive(Default)]
struct Script {
    net: Option<Net>,
}

fn vm(text: &str) -> Result<usize, Box<dyn Error>> {
    let index = text.strip_prefix("vm-").ok_or("name a VM as vm-N")?;
    Ok(index.parse()?)
}

impl Script {
    fn start(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let vms = args.next_pos().ok_or("give the count")?.parse()?;
        let conf = NetConf {
            vms,
            data_centres: args.lookup_parse("centres")?.unwrap_or(3),
            loss: args.lookup_parse::<f64>("loss")?.unwrap_or(0.0) / 100.0,
            tick: args
                .lookup_parse("tick")?
                .map_or(TICK, Duration::from_millis),
            seed: args.lookup_parse("seed")?.unwrap_or(1),
        };
        args.reject_rest()?;
        self.net = Some(Net::new(conf));
        Ok(String::new())
    }

    fn act(net: &mut Net, command: &Command) -> Result<String, Box<dyn Error>> {
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
            ("ticket", [number]) => net.state = state(number.parse()?, TARGETS),
            ("run", [millis]) => net.run(Duration::from_millis(millis.parse()?)),
            ("table", ["up"]) => net.table = TableState::Up,
            ("table", ["down"]) => net.table = TableState::Down,
            ("table", ["stale"]) => net.table = TableState::Stale(net.state.clone()),
            ("list", [word @ ("up" | "down")]) => net.list_down = *word == "down",
            ("heal", []) => net.cut.clear(),
            ("kill" | "restart" | "cut", names) => {
                for name in names {
                    hit(net, &command.name, name)?;
                }
            }
            ("within", [millis]) => {
                let limit = Duration::from_millis(millis.parse()?);
                let took = net.run_until(limit, |net| net.all_hold(number.unwrap_or(0)));
                return Ok(match took {
                    Some(_) => "in force on every live VM".into(),
                    None => "not in force everywhere".into(),
                });
            }
            ("relays", [centre]) => return Ok(relays(net, centre)),
            ("numbers", []) => return Ok(counts(net)),
            ("ready", names) => return ready(net, names),
            ("centres", [name]) => return centres(net, vm(name)?),
            (name, _) => return Err(format!("no command {name} with these arguments").into()),
        }
        Ok(String::new())
    }
}

fn hit(net: &mut Net, what: &str, name: &str) -> Result<(), Box<dyn Error>> {
    if what == "cut" {
        let index = name.strip_prefix("dc-").ok_or("name it dc-N")?;
        net.cut.push(centre_name(index.parse()?));
        return Ok(());
    }
    net.kill(vm(name)?);
    if what == "restart" {
        net.restart(vm(name)?);
    }
    Ok(())
}

fn relays(net: &Net, centre: &str) -> String {
    let near = |index: &usize| net.nodes[*index].hello.data_centre.as_str() == centre;
    let relays = net.relays().into_iter().filter(near);
    let names = relays.map(|index| format!("vm-{index}"));
    names.collect::<Vec<_>>().join(" ")
}

fn counts(net: &Net) -> String {
    let counts = numbers(net).into_iter();
    let lines = counts.map(|(number, vms)| format!("{number}: {vms} VMs"));
    lines.collect::<Vec<_>>().join("\n")
}

fn ready(net: &Net, names: &[&str]) -> Result<String, Box<dyn Error>> {
    let mut lines = Vec::new();
    for name in names {
        let node = &net.nodes[vm(name)?];
        let word = match node.spread.is_ready(net.now) {
            true => "ready",
            false => "not ready",
        };
        let number = node.spread.view().state.number;
        lines.push(format!("{name}: {word} at {number}"));
    }
    Ok(lines.join("\n"))
}

fn centres(net: &mut Net, index: usize) -> Result<String, Box<dyn Error>> {
    net.tell(index, Input::QueryCensus);
    net.run(Duration::from_millis(200));
    let centres = net.nodes[index].spread.census_by_data_centre().iter();
    let lines = centres.map(|census| {
        let vms = census.vms.iter().filter(|vm| vm.number < census.number);
        let lagging: Vec<_> = vms.map(|vm| vm.vm.to_string()).collect();
        let (heard, number) = (census.vm_count, census.number);
        let lagging = lagging.join(" ");
        format!(
            "{}: {heard} VMs, {number}, lagging [{lagging}]",
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
        let net = self.net.as_mut().ok_or("start with vms")?;
        Self::act(net, command)
    }
}

fn play(name: &str) {
    let path = format!("tests/scenarios/spread/{name}");
    goldenscript::run(&mut Script::default(), path).expect("the script runs as recorded");
}

#[test]
fn lost_vms() {
    play("lost_vms");
}

#[test]
fn restart() {
    play("restart");
}

#[test]
fn partition() {
    play("partition");
}

#[test]
fn outage() {
    play("outage");
}

#[test]
fn partition_restart() {
    play("partition_restart");
}
