//! Figures at the size to build towards, worked out from the measured slopes.

use crate::control::Control;
use crate::memory::Memory;
use crate::report::Row;
use crate::report::Verdict;
use crate::spreading::Spreading;
use crate::spreading::Storms;
use crate::wire::Wire;

const VMS: f64 = 4_000.0;
const TARGETS: f64 = 4_000.0;
const SHARDS: f64 = 65_536.0;
const HOT_SHARDS: f64 = 160.0;
const GROUPS: f64 = 250.0;
const TICKETS_A_DAY: f64 = 8_200.0;
const RESTARTS_A_DAY: f64 = 730.0;
const DAY_SECONDS: f64 = 86_400.0;
/// Orders a second to each target, one every 125 ms.
const ORDERS: f64 = 8.0;
/// Questions a second from the holder to each of its two deputies, one every 100 ms.
const QUESTIONS: f64 = 10.0;
/// Reads a second of a group's rows: the holder's every 30 s, two deputies' every 60 s, and those
/// of two more candidates every 10 s.
const GROUP_READS: f64 = 1.0 / 30.0 + 2.0 / 60.0 + 2.0 / 10.0;
/// Writes of a planned change of holder, and of a member's replacement.
const WRITES_PER_RESTART: f64 = 2.0;
const MEGABYTE: f64 = 1e6;

const CORE_PERCENT: f64 = 4.2;
const MEMORY_MB: f64 = 64.0;
const BYTES_PER_SECOND: f64 = 5_000.0;
const TABLE_READS: f64 = 2_000.0;
const TABLE_WRITES: f64 = 300.0;
const IN_FORCE_SECONDS: f64 = 14.0;
const LOSS_MS: f64 = 1_000.0;

/// All that was measured.
#[derive(Clone, Copy, Debug)]
pub struct Measured {
    /// Bytes of memory.
    pub memory: Memory,
    /// Sizes and times of messages.
    pub wire: Wire,
    /// The control of a group.
    pub control: Control,
    /// Spreading at full size.
    pub spreading: Spreading,
    /// Storms at full size.
    pub storms: Storms,
}

/// Returns every limit with the figure to hold against it.
pub fn verdicts(m: &Measured) -> Vec<Verdict> {
    let mut verdicts = node(m);
    verdicts.extend(platform(m));
    verdicts.extend(times(m));
    verdicts
}

fn node(m: &Measured) -> Vec<Verdict> {
    let most = m.spreading.most_bytes;
    let mean = m.spreading.mean_bytes;
    let vouches = m.wire.vouch * QUESTIONS;
    let bytes = |what, value, mechanism| Verdict {
        row: Row::new(what, value, "B/s"),
        limit: BYTES_PER_SECOND,
        mechanism,
    };
    vec![
        Verdict {
            row: Row::new("memory of entry and controller", memory_mb(m), "MB"),
            limit: MEMORY_MB,
            mechanism: "shards, not keys",
        },
        Verdict {
            row: Row::new("core of a node that holds a group", holder_cpu(m), "%"),
            limit: CORE_PERCENT,
            mechanism: "groups of 16 targets",
        },
        bytes("relay without a group", most, "fan-out tree"),
        bytes("deputy that is no relay", mean + vouches, "vouches"),
        bytes("deputy that is a relay", most + vouches, "vouches"),
        bytes(
            "holder that is no relay",
            mean + holder_bytes(m),
            "heartbeats",
        ),
    ]
}

fn platform(m: &Measured) -> Vec<Verdict> {
    let rate = |what, value, limit, mechanism| Verdict {
        row: Row::new(what, value, "/s"),
        limit,
        mechanism,
    };
    let storms = &m.storms;
    vec![
        rate(
            "table reads",
            m.spreading.reads + GROUP_READS * GROUPS,
            TABLE_READS,
            "two relays a data centre",
        ),
        rate(
            "table writes",
            writes(m),
            TABLE_WRITES,
            "vouches in place of renewals",
        ),
        rate(
            "reads, a data centre restarts",
            storms.restart_reads,
            TABLE_READS,
            "parents",
        ),
        rate(
            "reads, data centres rejoin",
            storms.rejoin_reads,
            TABLE_READS,
            "relays",
        ),
    ]
}

fn times(m: &Measured) -> Vec<Verdict> {
    let loss = |what, value, mechanism| Verdict {
        row: Row::new(what, value, "ms"),
        limit: LOSS_MS,
        mechanism,
    };
    vec![
        Verdict {
            row: Row::new("ticket in force everywhere", m.spreading.in_force_s, "s"),
            limit: IN_FORCE_SECONDS,
            mechanism: "push and mesh",
        },
        loss(
            "owner lost, worst shard",
            m.control.loss_ms,
            "500 ms leases",
        ),
        loss(
            "four of 16 owners lost",
            m.control.rack_ms,
            "one write an event",
        ),
    ]
}

fn memory_mb(m: &Measured) -> f64 {
    let shards = SHARDS + HOT_SHARDS;
    let view = m.memory.view_shard * shards + m.memory.view_target * TARGETS;
    let routes = m.memory.route_shard * shards + m.memory.route_target * TARGETS;
    // The controller and the entry each hold the view, and a new one beside the old on a change.
    (4.0 * view + 2.0 * routes + 2.0 * m.memory.vm * VMS) / MEGABYTE
}

fn holder_cpu(m: &Measured) -> f64 {
    let targets = TARGETS / GROUPS;
    let shards = SHARDS / GROUPS;
    let group = m.control.group_us + m.control.target_us * targets + m.control.shard_us * shards;
    let messages = m.spreading.most_messages + 4.0 * QUESTIONS + 2.0 * ORDERS * targets;
    (group + m.spreading.cpu_us + m.wire.message_us * messages) / 1e6 * 100.0
}

fn holder_bytes(m: &Measured) -> f64 {
    m.wire.heartbeat * ORDERS * TARGETS / GROUPS + 2.0 * m.wire.vouch * QUESTIONS
}

fn writes(m: &Measured) -> f64 {
    let quiet = m.control.quiet_writes * GROUPS;
    let events = TICKETS_A_DAY + RESTARTS_A_DAY * WRITES_PER_RESTART;
    quiet + events / DAY_SECONDS
}
