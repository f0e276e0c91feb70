//! The cost of keeping every VM's view up to date, at three sizes, and in storms.

use std::time::Duration;
use std::time::Instant;

use crate::net::Simulation;
use crate::net::SimulationConfig;
use crate::net::bytes;
use crate::net::centre_name;
use crate::net::state;
use crate::report::Row;

const DATA_CENTRES: usize = 23;
const VMS: usize = 4_000;
const TARGETS: usize = 10;
const SETTLE: Duration = Duration::from_secs(12);
const STORM: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(60);
/// 8,200 changes a day.
const TICKET_INTERVAL: Duration = Duration::from_millis(10_537);
const TICK_AT_FULL_SIZE: Duration = Duration::from_millis(500);
const APART: Duration = Duration::from_secs(30);

/// Measured costs at one size.
#[derive(Clone, Copy, Debug)]
pub struct Spreading {
    /// The number of VMs.
    pub vms: usize,
    /// Bytes a second of the mean VM, sent and received.
    pub mean_bytes: f64,
    /// Bytes a second of the VM that spends most.
    pub most_bytes: f64,
    /// Messages a second of the VM that spends most.
    pub most_messages: f64,
    /// Table reads a second of all VMs.
    pub reads: f64,
    /// Processor time of one VM's state machine and its share of the fakes, in µs a second.
    pub cpu_us: f64,
    /// Time until a ticket is in force on every VM, in seconds.
    pub in_force_s: f64,
}

/// Measured costs of storms at full size.
#[derive(Clone, Copy, Debug)]
pub struct Storms {
    /// Table reads a second while a whole data centre restarts.
    pub restart_reads: f64,
    /// Time until every restarted VM is ready, in seconds.
    pub restart_s: f64,
    /// Table reads a second while all data centres join again.
    pub rejoin_reads: f64,
    /// Bytes a second of the VM that spends most meanwhile.
    pub rejoin_bytes: f64,
    /// Time until all hold what was accepted while they were apart, in seconds.
    pub rejoin_s: f64,
}

/// Measures one size.
pub fn measure(vms: usize, data_centres: usize) -> Spreading {
    let mut net = net(vms, data_centres);
    net.state = state(1, TARGETS);
    net.run(SETTLE);
    net.reset_traffic();
    let reads = net.table_reads;
    net.state = state(2, TARGETS);
    let from = Instant::now();
    let took = net.run_until(LIMIT, |net| net.all_hold(2)).unwrap_or(LIMIT);
    net.run(TICKET_INTERVAL.saturating_sub(took));
    let seconds = TICKET_INTERVAL.max(took).as_secs_f64();
    let (mean, most) = bytes(&net);
    let messages = net.nodes.iter().map(|node| node.traffic.messages).max();
    Spreading {
        vms,
        mean_bytes: mean as f64 / seconds,
        most_bytes: most as f64 / seconds,
        most_messages: messages.unwrap_or_default() as f64 / seconds,
        reads: (net.table_reads - reads) as f64 / seconds,
        cpu_us: from.elapsed().as_secs_f64() * 1e6 / seconds / vms as f64,
        in_force_s: took.as_secs_f64(),
    }
}

/// Measures storms at full size.
pub fn storms() -> Storms {
    let mut net = net(VMS, DATA_CENTRES);
    net.state = state(1, TARGETS);
    net.run(SETTLE);
    let restart = restart_storm(&mut net);
    net.run(SETTLE);
    let rejoin = rejoin_storm(&mut net);
    Storms {
        restart_reads: restart.reads,
        restart_s: restart.seconds,
        rejoin_reads: rejoin.reads,
        rejoin_bytes: rejoin.bytes,
        rejoin_s: rejoin.seconds,
    }
}

/// Returns the report's lines.
pub fn rows(spreading: &Spreading) -> Vec<Row> {
    let vms = spreading.vms;
    let name = |what: &str| format!("{vms} VMs: {what}");
    vec![
        Row::new(name("mean VM"), spreading.mean_bytes, "B/s"),
        Row::new(name("VM that spends most"), spreading.most_bytes, "B/s"),
        Row::new(name("messages of that VM"), spreading.most_messages, "/s"),
        Row::new(name("table reads of all"), spreading.reads, "/s"),
        Row::new(name("processor time of one VM"), spreading.cpu_us, "µs/s"),
        Row::new(
            name("ticket in force everywhere"),
            spreading.in_force_s,
            "s",
        ),
    ]
}

/// Returns the report's lines on storms.
pub fn storm_rows(storms: &Storms) -> Vec<Row> {
    vec![
        Row::new(
            "174 VMs restart at once: table reads",
            storms.restart_reads,
            "/s",
        ),
        Row::new(
            "174 VMs restart at once: all hold the state",
            storms.restart_s,
            "s",
        ),
        Row::new(
            "23 data centres join again: table reads",
            storms.rejoin_reads,
            "/s",
        ),
        Row::new(
            "23 data centres join again: most bytes of a VM",
            storms.rejoin_bytes,
            "B/s",
        ),
        Row::new(
            "23 data centres join again: all hold the state",
            storms.rejoin_s,
            "s",
        ),
    ]
}

struct Storm {
    reads: f64,
    bytes: f64,
    seconds: f64,
}

fn net(vms: usize, data_centres: usize) -> Simulation {
    let full = vms >= VMS;
    let tick = if full {
        TICK_AT_FULL_SIZE
    } else {
        TICK_AT_FULL_SIZE / 10
    };
    Simulation::new(SimulationConfig {
        vms,
        data_centres,
        loss: 0.02,
        tick,
        seed: 11,
    })
}

/// Counts until all hold a number, and at least for [`STORM`].
fn storm(net: &mut Simulation, number: u64) -> Storm {
    net.reset_traffic();
    let reads = net.table_reads;
    let took = net
        .run_until(LIMIT, |net| net.all_hold(number))
        .unwrap_or(LIMIT);
    net.run(STORM.saturating_sub(took));
    let seconds = STORM.max(took).as_secs_f64();
    let (_, most) = bytes(net);
    Storm {
        reads: (net.table_reads - reads) as f64 / seconds,
        bytes: most as f64 / seconds,
        seconds: took.as_secs_f64(),
    }
}

fn restart_storm(net: &mut Simulation) -> Storm {
    let of_first = |index: &usize| index.is_multiple_of(DATA_CENTRES);
    for index in (0..VMS).filter(of_first) {
        net.kill(index);
        net.restart(index);
    }
    storm(net, 1)
}

fn rejoin_storm(net: &mut Simulation) -> Storm {
    net.cut = (0..DATA_CENTRES).map(centre_name).collect();
    net.run(APART);
    net.state = state(2, TARGETS);
    net.cut.clear();
    storm(net, 2)
}
