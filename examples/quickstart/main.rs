//! Shows the whole system at work: three VMs, nine targets, and the faults they must bear.
//!
//! `cargo run --release --example quickstart` starts the programs as processes on loopback, runs
//! traffic while targets and controllers fail, and prints a table. The exit status is 1 if a
//! promise was broken.

mod cluster;
mod http;
mod process;
mod script;
mod traffic;
mod verdict;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use async_std::task;

use crate::cluster::Cluster;
use crate::process::Programs;
use crate::script::Findings;
use crate::script::say;
use crate::traffic::Counts;
use crate::traffic::Tally;
use crate::verdict::Broken;

/// The longest time that a key may be without service after a loss.
const LOSS_LIMIT: Duration = Duration::from_secs(1);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    end_on_interrupt();
    match task::block_on(run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quickstart: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<bool> {
    say("building the programs");
    let programs = Programs::build()?;
    let dir = std::env::temp_dir().join(format!("gooseberryloft-{}", std::process::id()));
    say(&format!("logs and settings are in {}", dir.display()));
    let mut cluster = Cluster::start(programs, &dir).await?;
    cluster.wait_controllers().await?;
    let mut before = Findings::default();
    script::first_ticket(&cluster, &mut before)?;
    cluster.wait_entries().await?;
    let entries: Vec<_> = cluster.vms.iter().map(|vm| vm.listen).collect();
    let tally = Arc::new(Tally::default());
    let callers = traffic::start(&entries, &tally);
    let mut findings = script::run(&mut cluster, &tally).await?;
    findings.tickets.splice(0..0, before.tickets);
    tally.stop();
    for caller in callers {
        caller.await;
    }
    let broken = judge(&cluster, &mut findings, &tally).await?;
    Ok(print(&tally.counts(), &findings, &broken))
}

async fn judge(cluster: &Cluster, findings: &mut Findings, tally: &Tally) -> Result<Broken> {
    let mut ledgers = std::mem::take(&mut findings.ledgers);
    for target in &cluster.targets {
        ledgers.extend(verdict::read_ledger(target.address).await.ok());
    }
    Ok(verdict::judge(&ledgers, &tally.refused_bookings()))
}

fn print(counts: &Counts, findings: &Findings, broken: &Broken) -> bool {
    println!("requests                      {:>8}", counts.requests);
    println!("whole answers                 {:>8}", counts.whole);
    println!("refused as not run            {:>8}", counts.not_run);
    for (reason, count) in &counts.reasons {
        println!("  {reason:<28}{count:>8}");
    }
    println!("unknown                       {:>8}", counts.unknown);
    println!(
        "wrong answers                 {:>8}  must be 0",
        counts.wrong
    );
    println!(
        "doubled bookings              {:>8}  must be 0",
        broken.doubled_bookings
    );
    println!(
        "refused but run               {:>8}  must be 0",
        broken.refused_but_run
    );
    println!(
        "double ownership              {:>8}  must be 0",
        broken.double_ownership
    );
    let whole = if findings.download_whole { "yes" } else { "no" };
    println!("long download whole           {whole:>8}  must be yes");
    for gap in &findings.gaps {
        let took = gap.took.as_millis();
        let verdict = if gap.took <= LOSS_LIMIT {
            ""
        } else {
            "  over 1000 ms: MISS"
        };
        println!(
            "unavailable, {:<22} {took:>6} ms, worst key{verdict}",
            gap.name
        );
    }
    for ticket in &findings.tickets {
        println!(
            "in force everywhere, {:<18} {:>6} ms",
            ticket.name,
            ticket.took.as_millis()
        );
    }
    let in_time = findings
        .tickets
        .iter()
        .all(|ticket| ticket.took <= IN_FORCE_LIMIT);
    let zeros = counts.wrong == 0
        && broken.doubled_bookings == 0
        && broken.refused_but_run == 0
        && broken.double_ownership == 0;
    zeros && in_time && findings.download_whole
}

/// Ends the process group's children with the run when the operator presses Ctrl-C.
fn end_on_interrupt() {
    let Ok(mut signals) = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGINT,
        signal_hook::consts::SIGTERM,
    ]) else {
        return;
    };
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            process::kill_all();
            std::process::exit(130);
        }
    });
}
