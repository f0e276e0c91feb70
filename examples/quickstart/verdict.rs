//! What the targets' ledgers say about the promises.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;

use crate::http;
use crate::http::Ask;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::Shard;
use gooseberryloft::standin::target::Ledger;

const LEDGER_LIMIT: Duration = Duration::from_secs(5);

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

/// Counts keyed requests that took effect after one with a higher fence of the same shard did, or
/// under the same fence on another target.
fn double_ownership(ledgers: &[Ledger]) -> usize {
    let mut shards: HashMap<(&GroupId, Shard), Vec<Run>> = HashMap::new();
    for (target, ledger) in ledgers.iter().enumerate() {
        for effect in &ledger.effects {
            let run = Run {
                unix_us: effect.unix_us,
                fence: effect.at.fence,
                target,
            };
            shards
                .entry((&effect.group, effect.at.shard))
                .or_default()
                .push(run);
        }
    }
    shards.into_values().map(overtaken).sum()
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Run {
    unix_us: u64,
    fence: Fence,
    target: usize,
}

fn overtaken(mut runs: Vec<Run>) -> usize {
    runs.sort();
    let mut newest = runs[0];
    let mut count = 0;
    for run in runs {
        let old = run.fence < newest.fence;
        let shared = run.fence == newest.fence && run.target != newest.target;
        count += usize::from(old || shared);
        if run.fence > newest.fence {
            newest = run;
        }
    }
    count
}
