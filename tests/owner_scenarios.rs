//! Runs the scripted scenarios of shard ownership in `tests/scenarios/owner`.

#[path = "support/owner_simulation.rs"]
mod simulation;
#[path = "support/owner_table.rs"]
mod table;

use std::collections::BTreeSet;
use std::error::Error;
use std::time::Duration;

use goldenscript::Command;
use goldenscript::Runner;

use crate::simulation::Simulation;
use crate::simulation::SimulationConfig;
use crate::table::TableMode;
use gooseberryloft::events::Event;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ids::VmId;
use gooseberryloft::owner::authority::VouchPolicy;
use gooseberryloft::owner::group::Group;
use gooseberryloft::owner::loads::KeyRate;
use gooseberryloft::owner::loads::Loads;
use gooseberryloft::ticket::TargetState;

const WARM_UP: Duration = Duration::from_secs(4);

type Outcome = Result<String, Box<dyn Error>>;

#[derive(Default)]
struct Script {
    simulation: Option<Simulation>,
    /// Number of log entries that were returned already.
    logged: usize,
}

impl Runner for Script {
    fn run(&mut self, command: &Command) -> Outcome {
        if command.name == "world" {
            return self.start(command);
        }
        let simulation = self.simulation.as_mut().ok_or("start with `world`")?;
        let mut args = command.consume_args();
        let max: Option<Time> = args.lookup_parse("within")?;
        let min: Option<Time> = args.lookup_parse("least")?;
        let words: Vec<String> = args.rest_pos().iter().map(|a| a.value.clone()).collect();
        args.reject_rest()?;
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match (command.name.as_str(), words.as_slice()) {
            ("run", [time]) => simulation.run(time.parse::<Time>()?.0),
            ("kill" | "start" | "stop" | "pause" | "resume" | "freeze" | "thaw", [name]) => {
                let node = Node::of(simulation, name);
                node.run(simulation, &command.name)?;
            }
            ("leave", [name]) => set_state(simulation, name, TargetState::Leaving),
            ("return", [name]) => set_state(simulation, name, TargetState::Serving),
            ("join", [name]) => join(simulation, name),
            ("cut", [a, b]) => {
                let (a, b) = (node_name(simulation, a), node_name(simulation, b));
                simulation.cut_links.insert((a, b));
            }
            ("heal", []) => simulation.cut_links.clear(),
            ("table", ["up"]) => simulation.table.mode = TableMode::Up,
            ("table", ["down"]) => simulation.table.mode = TableMode::Down,
            ("table", ["mute"]) => simulation.table.mode = TableMode::LoseAnswers,
            ("latency", [time]) => simulation.table.latency = time.parse::<Time>()?.0,
            ("loss", [rate]) => {
                (simulation.loss_rate, simulation.duplication_rate) = (rate.parse()?, rate.parse()?)
            }
            ("heat", [key, fraction]) => {
                report_hot_key(simulation, key.parse()?, fraction.parse()?)
            }
            ("mark", []) => simulation.reset_unserved(),
            ("served", []) => return check_outage(simulation, max, min),
            ("waiting", []) => return Ok(count_unserved(simulation)),
            ("owners", []) => return Ok(count_owned(simulation)),
            ("control", []) => return Ok(describe_control(simulation)),
            ("events", []) => return Ok(self.events()),
            _ => return Err(format!("unknown command {}", command.name).into()),
        }
        Ok(String::new())
    }
}

impl Script {
    fn start(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let default = SimulationConfig::default();
        let policy: Option<String> = args.lookup_parse("policy")?;
        let policy = match policy.as_deref() {
            Some("table-only") => VouchPolicy::TableOnly,
            Some("all-others") => VouchPolicy::AllOthers,
            _ => VouchPolicy::OneOther,
        };
        let sample: Option<Time> = args.lookup_parse("sample")?;
        let config = SimulationConfig {
            vms: args.lookup_parse("vms")?.unwrap_or(default.vms),
            targets: args.lookup_parse("targets")?.unwrap_or(default.targets),
            shards: args.lookup_parse("shards")?.unwrap_or(default.shards),
            checks_term: args.lookup_parse("checks")?.unwrap_or(default.checks_term),
            seed: args.lookup_parse("seed")?.unwrap_or(default.seed),
            sample_period: sample.map_or(default.sample_period, |time| time.0),
            policy,
            ..default
        };
        args.reject_rest()?;
        let mut simulation = Simulation::new(config);
        simulation.run(WARM_UP);
        simulation.reset_unserved();
        self.logged = simulation.log.len();
        self.simulation = Some(simulation);
        Ok(String::new())
    }

    /// Returns the kinds of events logged since the last call, each once.
    fn events(&mut self) -> String {
        let Some(simulation) = &self.simulation else {
            return String::new();
        };
        let entries = &simulation.log[self.logged..];
        self.logged = simulation.log.len();
        let mut seen = BTreeSet::new();
        let firsts = entries
            .iter()
            .filter(|(_, event, _)| seen.insert(event.number()));
        firsts
            .map(|(_, event, _)| format!("{}\n", name(*event)))
            .collect()
    }
}

/// A target or VM of the simulation, given by its name, or a VM by its role: `holder`, `deputy1`,
/// `deputy2`, `paused`.
enum Node {
    Vm(usize),
    Target(TargetId),
}

impl Node {
    fn of(simulation: &Simulation, name: &str) -> Self {
        let name = node_name(simulation, name);
        match name.starts_with('t') {
            true => Self::Target(name.into()),
            false => Self::Vm(simulation.vm(&name)),
        }
    }

    fn run(self, simulation: &mut Simulation, verb: &str) -> Result<(), String> {
        match (self, verb) {
            (Self::Vm(vm), "kill") => simulation.kill_vm(vm),
            (Self::Vm(vm), "start") => simulation.start_vm(vm),
            (Self::Vm(vm), "stop") => simulation.stop_vm(vm),
            (Self::Vm(vm), "pause") => simulation.pause_vm(vm),
            (Self::Vm(vm), "resume") => simulation.resume_vm(vm),
            (Self::Target(target), "kill") => simulation.kill_target(&target),
            (Self::Target(target), "start") => simulation.start_target(&target),
            (Self::Target(target), "freeze") => simulation.freeze_target(&target),
            (Self::Target(target), "thaw") => simulation.thaw_target(&target),
            _ => return Err(format!("{verb} is not possible for this node")),
        }
        Ok(())
    }
}

fn node_name(simulation: &Simulation, name: &str) -> String {
    let status = simulation.vms.iter().filter(|vm| vm.paused.is_none());
    let status = status.filter_map(|vm| vm.group.as_ref().map(Group::status));
    let newest = status.max_by_key(|status| status.term).unwrap_or_default();
    let vm = match name {
        "holder" => newest.holder,
        "deputy1" => newest.deputies.first().cloned(),
        "deputy2" => newest.deputies.get(1).cloned(),
        "paused" => simulation
            .vms
            .iter()
            .find(|vm| vm.paused.is_some())
            .map(|vm| vm.name.clone()),
        _ => Some(VmId::from(name)),
    };
    vm.map_or(name.into(), |vm| vm.to_string())
}

fn set_state(simulation: &mut Simulation, name: &str, state: TargetState) {
    let target = simulation.service.targets.get_mut(&name.into());
    target.expect("a target of the service").state = state;
    simulation.set_service();
}

fn join(simulation: &mut Simulation, name: &str) {
    let number: usize = name[1..].parse().expect("a target's number");
    let config = simulation.config.clone();
    let target = simulation::target(number - 1, config.slots, config.checks_term);
    simulation.service.targets.insert(name.into(), target);
    simulation.targets.insert(name.into(), Vec::new());
    simulation.start_target(&name.into());
    simulation.set_service();
}

/// Makes every entry report that one key receives a fraction of the load.
fn report_hot_key(simulation: &mut Simulation, key: u64, fraction: f64) {
    let total = 1000.0;
    let keys = vec![KeyRate {
        hash: key,
        rate: total * fraction,
    }];
    for vm in 0..simulation.vms.len() {
        let keys = keys.clone();
        simulation.send_loads(vm, Loads { total, keys });
    }
}

/// Checks the longest time that a shard was unserved since the last reset, and resets the record.
fn check_outage(simulation: &mut Simulation, max: Option<Time>, min: Option<Time>) -> Outcome {
    let outage = simulation.longest_outage();
    simulation.reset_unserved();
    let max = max.map_or(Duration::ZERO, |time| time.0);
    if min.is_none() && outage > max {
        return Err(format!(
            "a shard was unserved for {outage:?}: {}",
            simulation.describe()
        )
        .into());
    }
    match min {
        Some(min) if outage < min.0 => {
            Err(format!("shards were unserved for only {outage:?}").into())
        }
        _ => Ok("ok\n".into()),
    }
}

/// Returns the number of shards that are unserved now.
fn count_unserved(simulation: &mut Simulation) -> String {
    simulation.reset_unserved();
    simulation.run(Duration::from_millis(20));
    format!("{} shards\n", simulation.unserved.len())
}

/// Returns the number of shards that each target owns according to the table.
fn count_owned(simulation: &Simulation) -> String {
    let row = simulation.shards_row().unwrap_or_default();
    let count = |target: &TargetId| row.owners.values().filter(|o| o.target == *target).count();
    let counts = simulation
        .targets
        .keys()
        .map(|t| format!("{t}={}", count(t)));
    counts.collect::<Vec<_>>().join(" ") + "\n"
}

/// Returns the newest term that a running VM knows, with its number of deputies.
fn describe_control(simulation: &Simulation) -> String {
    let status = simulation.vms.iter().filter(|vm| vm.paused.is_none());
    let status = status.filter_map(|vm| vm.group.as_ref().map(Group::status));
    let newest = status.max_by_key(|status| status.term).unwrap_or_default();
    let deputies = newest.deputies.len();
    format!("term={} deputies={deputies}\n", newest.term)
}

fn name(event: Event) -> &'static str {
    event.into()
}

/// A duration as written in scripts: `250ms`, `2s`, `1h`.
#[derive(Clone, Copy)]
struct Time(Duration);

impl std::str::FromStr for Time {
    type Err = Box<dyn Error>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.trim_end_matches(char::is_alphabetic);
        let number: u64 = digits.parse()?;
        let time = match &text[digits.len()..] {
            "ms" => Duration::from_millis(number),
            "s" => Duration::from_secs(number),
            "h" => Duration::from_secs(number * 3600),
            unit => return Err(format!("unknown unit {unit}").into()),
        };
        Ok(Self(time))
    }
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios/owner");
    let entries = std::fs::read_dir(folder).expect("the folder of scenarios");
    let paths = entries.map(|entry| entry.expect("a scenario").path());
    std::thread::scope(|scope| {
        for path in paths {
            scope.spawn(move || {
                goldenscript::run(&mut Script::default(), &path)
                    .unwrap_or_else(|error| panic!("{}: {error}", path.display()))
            });
        }
    });
}

/// The holder is paused and an owner is killed at different moments of a series of moves: all
/// shards are served again within a second.
#[test]
fn keys_return_when_holder_and_owner_fail_at_any_moment_of_moves() {
    let mut failed = Vec::new();
    for moment in (10..700).step_by(12) {
        let script = format!(
            "world shards=64\njoin t6\nrun {moment}ms\npause holder\nkill t2\nrun 5s\n\
             resume paused\nrun 5s\nserved within=1s\n---\n"
        );
        if goldenscript::generate(&mut Script::default(), &script).is_err() {
            failed.push(moment);
        }
    }
    assert!(
        failed.is_empty(),
        "not within 1 s at {failed:?} ms after the join"
    );
}
