//! The run's events, one after the other.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use async_std::task;
use http_types::Method;
use rustix::process::Signal;

use crate::cluster::Cluster;
use crate::cluster::TicketPlan;
use crate::http;
use crate::http::Ask;
use crate::traffic;
use crate::traffic::Tally;
use crate::verdict;
use gooseberryloft::standin::target::Ledger;

const SETTLE: Duration = Duration::from_secs(2);
const FREEZE: Duration = Duration::from_secs(3);
const OUTAGE: Duration = Duration::from_secs(5);
const DOWNLOAD_BYTES: usize = 100 << 20;
const PLATFORM_LIMIT: Duration = Duration::from_secs(2);

/// What was measured.
#[derive(Default)]
pub struct Findings {
    /// Time from filing a ticket until the operator command saw it in force everywhere.
    pub tickets: Vec<Measured>,
    /// The longest time without an answer for the worst key, per event.
    pub gaps: Vec<Measured>,
    /// Whether the download that ran over all faults came whole.
    pub download_whole: bool,
    /// Ledgers of targets that were killed, read just before.
    pub ledgers: Vec<Ledger>,
}

/// A named duration.
pub struct Measured {
    /// What happened.
    pub name: &'static str,
    /// How long it took.
    pub took: Duration,
}

/// Files the first ticket, which must come into force before any traffic.
pub fn first_ticket(cluster: &Cluster, findings: &mut Findings) -> Result<()> {
    let plan = TicketPlan {
        file: "ticket-1",
        number: 1,
        base: 0,
        ..TicketPlan::default()
    };
    file_and_wait(cluster, &plan, "first ticket", findings)
}

/// Runs all events while the callers go on.
pub async fn run(cluster: &mut Cluster, tally: &Arc<Tally>) -> Result<Findings> {
    let mut findings = Findings::default();
    let entry = cluster.vms[0].listen;
    let download = task::spawn(traffic::download(entry, DOWNLOAD_BYTES, tally.clone()));
    watch(tally, &mut findings, "nothing", async { Ok(()) }).await?;
    race_tickets(cluster, &mut findings)?;
    withdraw_target(cluster, tally, &mut findings).await?;
    kill_owner(cluster, tally, &mut findings).await?;
    freeze_owner(cluster, tally, &mut findings).await?;
    kill_holder(cluster, tally, &mut findings).await?;
    table_outage(cluster, tally, &mut findings).await?;
    findings.download_whole = download.await;
    Ok(findings)
}

fn race_tickets(cluster: &Cluster, findings: &mut Findings) -> Result<()> {
    let plan = TicketPlan {
        file: "ticket-2",
        number: 2,
        base: 1,
        ..TicketPlan::default()
    };
    file_and_wait(cluster, &plan, "second ticket", findings)?;
    let left_out = &["desk-3"][..];
    let racing = TicketPlan {
        file: "racing",
        number: 3,
        base: 1,
        left_out,
        leaving: &[],
    };
    let path = cluster.write_ticket(&racing)?;
    let refused = cluster.ctl(1, &["file", &path.to_string_lossy()])?;
    say(&format!(
        "racing ticket: exit {}, {}",
        refused.code,
        refused.stderr.trim()
    ));
    ensure!(
        refused.code == 1,
        "the racing ticket was not refused: {}",
        refused.stdout
    );
    Ok(())
}

async fn withdraw_target(
    cluster: &Cluster,
    tally: &Arc<Tally>,
    findings: &mut Findings,
) -> Result<()> {
    let leaving = &["status-6"][..];
    let plan = TicketPlan {
        file: "ticket-3",
        number: 3,
        base: 2,
        left_out: &[],
        leaving,
    };
    let mut tickets = Findings::default();
    let filing = async { file_and_wait(cluster, &plan, "withdrawing ticket", &mut tickets) };
    watch(tally, findings, "target withdrawn", filing).await?;
    findings.tickets.append(&mut tickets.tickets);
    Ok(())
}

async fn kill_owner(
    cluster: &mut Cluster,
    tally: &Arc<Tally>,
    findings: &mut Findings,
) -> Result<()> {
    let victim = owner_of(cluster, "key-0")?;
    say(&format!("killing {}", cluster.targets[victim].name));
    findings
        .ledgers
        .push(verdict::read_ledger(cluster.targets[victim].address).await?);
    let process = &mut cluster.targets[victim].process;
    watch(tally, findings, "owner killed", async {
        process.kill();
        Ok(())
    })
    .await
}

async fn freeze_owner(
    cluster: &Cluster,
    tally: &Arc<Tally>,
    findings: &mut Findings,
) -> Result<()> {
    let victim = owner_of(cluster, "key-1")?;
    say(&format!(
        "freezing {} for {FREEZE:?}",
        cluster.targets[victim].name
    ));
    let process = &cluster.targets[victim].process;
    watch(tally, findings, "owner frozen and back", async {
        process.signal(Signal::STOP)?;
        task::sleep(FREEZE).await;
        process.signal(Signal::CONT)
    })
    .await
}

async fn kill_holder(
    cluster: &mut Cluster,
    tally: &Arc<Tally>,
    findings: &mut Findings,
) -> Result<()> {
    let status = cluster.ctl(0, &["status", "--json"])?;
    let holder = holder_in(&status.stdout)?;
    say(&format!(
        "killing the controller of {holder}, which holds the group"
    ));
    let index = holder.trim_start_matches("vm-").parse::<usize>()? - 1;
    let process = &mut cluster.vms[index].controller;
    watch(tally, findings, "holder killed", async {
        process.kill();
        Ok(())
    })
    .await
}

async fn table_outage(
    cluster: &Cluster,
    tally: &Arc<Tally>,
    findings: &mut Findings,
) -> Result<()> {
    say(&format!("taking the platform's table away for {OUTAGE:?}"));
    let platform = cluster.platform;
    watch(tally, findings, "table down", async {
        set_table(platform, true).await?;
        task::sleep(OUTAGE).await;
        set_table(platform, false).await
    })
    .await
}

async fn set_table(platform: std::net::SocketAddr, down: bool) -> Result<()> {
    let body = format!(r#"{{"down":{down}}}"#).into_bytes();
    let ask = Ask {
        method: Method::Post,
        path: "/faults",
        headers: &[],
        body,
    };
    let answer = http::send(platform, ask, PLATFORM_LIMIT).await?;
    ensure!(answer.status == 200, "the stand-in refused the fault");
    Ok(())
}

async fn watch(
    tally: &Arc<Tally>,
    findings: &mut Findings,
    name: &'static str,
    event: impl Future<Output = Result<()>>,
) -> Result<()> {
    let from = Instant::now();
    event.await?;
    task::sleep(SETTLE).await;
    let took = tally.longest_gap(from, Instant::now());
    say(&format!(
        "{name}: worst key without an answer for {} ms",
        took.as_millis()
    ));
    findings.gaps.push(Measured { name, took });
    Ok(())
}

fn file_and_wait(
    cluster: &Cluster,
    plan: &TicketPlan<'_>,
    name: &'static str,
    findings: &mut Findings,
) -> Result<()> {
    let path = cluster.write_ticket(plan)?;
    let from = Instant::now();
    let filed = cluster.ctl(0, &["file", &path.to_string_lossy(), "--wait"])?;
    ensure!(
        filed.code == 0,
        "{name} was not accepted: {} {}",
        filed.stdout,
        filed.stderr
    );
    let took = from.elapsed();
    say(&format!(
        "{name}: in force everywhere after {} ms",
        took.as_millis()
    ));
    findings.tickets.push(Measured { name, took });
    Ok(())
}

fn owner_of(cluster: &Cluster, key: &str) -> Result<usize> {
    let output = cluster.ctl(0, &["owner", "status", key, "--json"])?;
    let owner: serde_json::Value = serde_json::from_str(&output.stdout)
        .with_context(|| format!("no owner of {key}: {} {}", output.stdout, output.stderr))?;
    cluster.target(
        owner["target"]
            .as_str()
            .context("the key has no owner now")?,
    )
}

fn holder_in(status: &str) -> Result<String> {
    let status: serde_json::Value = serde_json::from_str(status).context("status is not JSON")?;
    let holder = status["groups"][0]["holder"].as_str();
    Ok(holder.context("the group has no holder now")?.to_owned())
}

/// Prints progress.
pub fn say(text: &str) {
    eprintln!("quickstart: {text}");
}
