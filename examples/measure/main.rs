//! Measures the policies against the stated targets and plain baselines, with virtual time.
//!
//! `cargo run --release --example measure [-- EXPERIMENT] [--seed N] [--json]`

mod decision;
mod fleet;
mod keyed;
#[path = "../../tests/state_sync_support/mod.rs"]
mod net;
mod ownership;
mod policy;
mod report;
mod routing;
mod sim;
#[path = "../../tests/support/owner_simulation.rs"]
mod simulation;
#[path = "../../tests/support/owner_table.rs"]
mod table;
mod tickets;
#[path = "../capacity/view.rs"]
mod view;

use anyhow::Result;
use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

use crate::report::Report;

const EXPERIMENTS: [&str; 10] = [
    "all",
    "slots",
    "overload",
    "failing",
    "faults",
    "balance",
    "churn",
    "ownership",
    "ticket",
    "decision",
];

fn main() -> Result<()> {
    let args = command().get_matches();
    let chosen = args.get_one::<String>("experiment").expect("has a default");
    let seed = *args.get_one::<u64>("seed").expect("has a default");
    let runs = |name: &str| chosen == "all" || chosen == name;
    let mut report = Report::default();
    if runs("slots") {
        routing::slots(&mut report, seed);
    }
    if runs("overload") {
        routing::overload(&mut report, seed);
    }
    if runs("failing") {
        routing::failing(&mut report, seed);
    }
    if runs("faults") {
        routing::faults(&mut report, seed);
    }
    if runs("balance") {
        keyed::balance(&mut report, seed);
    }
    if runs("churn") {
        keyed::churn(&mut report);
    }
    if runs("ownership") {
        ownership::faults(&mut report, seed);
    }
    if runs("ticket") {
        tickets::in_force(&mut report, seed);
    }
    if runs("decision") {
        decision::decision(&mut report);
    }
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("seed {seed}");
        report.print();
    }
    Ok(())
}

fn command() -> Command {
    Command::new("measure")
        .about("Measures the policies against the stated targets and plain baselines.")
        .arg(
            Arg::new("experiment")
                .help("What to run")
                .value_parser(EXPERIMENTS)
                .default_value("all"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seeds every random draw")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints JSON")
                .action(ArgAction::SetTrue),
        )
}
