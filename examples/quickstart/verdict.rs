//! What the targets' ledgers say about the promises.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use serde::Deserialize;

use crate::http;
use crate::http::Ask;

const LEDGER_LIMIT: Duration = Duration::from_secs(5);

/// What one target process ran.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Ledger {
    /// How often each booking ran.
    pub bookings: HashMap<String, u32>,
    /// Every keyed request that ran.
    pub served: Vec<Served>,
}

/// One keyed request that ran; times are microseconds of the machine's clock.
#[derive(Clone, Debug, Deserialize)]
pub struct Served {
    /// The group of the shard.
    pub group: String,
    /// The shard.
    pub shard: u32,
    /// The fence that the target held.
    pub fence: u64,
    /// When the work began.
    pub start_us: u64,
    /// When the work took effect.
    pub end_us: u64,
}

/// Counts of broken promises.
#[derive(Clone, Copy, Debug, Default)]
pub struct Broken {
    /// Bookings that ran more than once.
    pub doubled_bookings: usize,
    /// Bookings refused as not run that ran.
    pub refused_but_run: usize,
    /// Keyed requests that ran while a newer fence of their shard had been in use elsewhere.
    pub double_ownership: usize,
}

/// Reads the ledger of a target.
pub async fn read_ledger(target: SocketAddr) -> Result<Ledger> {
    let answer = http::send(target, Ask::get("/ledger", &[]), LEDGER_LIMIT).await?;
    Ok(serde_json::from_slice(&answer.body)?)
}

/// Compares the ledgers of all targets.
pub fn judge(ledgers: &[Ledger], refused: &HashSet<String>) -> Broken {
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for (id, count) in ledgers.iter().flat_map(|ledger| &ledger.bookings) {
        *runs.entry(id).or_default() += count;
    }
    Broken {
        doubled_bookings: runs.values().filter(|count| **count > 1).count(),
        refused_but_run: refused
            .iter()
            .filter(|id| runs.contains_key(id.as_str()))
            .count(),
        double_ownership: double_ownership(ledgers),
    }
}

/// Counts requests that ended after one with a higher fence of the same shard had begun elsewhere.
fn double_ownership(ledgers: &[Ledger]) -> usize {
    let mut shards: HashMap<(&str, u32), Vec<(usize, &Served)>> = HashMap::new();
    for (target, ledger) in ledgers.iter().enumerate() {
        for served in &ledger.served {
            shards
                .entry((&served.group, served.shard))
                .or_default()
                .push((target, served));
        }
    }
    shards.values().map(|runs| overlaps(runs)).sum()
}

fn overlaps(runs: &[(usize, &Served)]) -> usize {
    let overtaken = |(target, old): &(usize, &Served)| {
        runs.iter().any(|(other, new)| {
            other != target
                && new.fence >= old.fence
                && new.start_us < old.end_us
                && (new.fence > old.fence || new.end_us > old.start_us)
        })
    };
    runs.iter().filter(|run| overtaken(run)).count()
}
