//! The burn report: gathers from the entries and tells which services miss their objective.

use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use async_std::task;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use gooseberryloft::report;
use gooseberryloft::report::Report;
use gooseberryloft::settings::Settings;

const EXIT_FINE: u8 = 0;
const EXIT_ALERT: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_PARTIAL: u8 = 3;

const EXIT_CODES: &str = "\
Exit codes:
  0  no alert is due
  1  an alert is due: both windows of a pair burn at the threshold or faster
  2  faulty arguments or settings, or the output could not be written
  3  no alert, but some entries did not answer, so the figures are partial";

fn main() -> ExitCode {
    match run(&arguments().get_matches()) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn arguments() -> Command {
    let command = Command::new("gooseberryloft-report")
        .version(clap::crate_version!())
        .about("Tells how fast each service uses up what its objective allows")
        .after_help(EXIT_CODES);
    let settings = path(
        "settings",
        "The settings with the objective, the windows and the entries",
    )
    .default_value("/etc/gooseberryloft/vm.ini");
    let entries = Arg::new("entries")
        .value_name("ENTRY")
        .help("[entry] admin addresses to ask, in place of those in the settings")
        .value_parser(value_parser!(SocketAddr))
        .action(ArgAction::Append);
    command
        .arg(settings)
        .arg(entries)
        .arg(flag("json", "Writes JSON"))
        .arg(path(
            "svg",
            "Writes the course of the burn rates as a picture too",
        ))
        .arg(flag("check", "Checks the settings and exits"))
}

fn path(name: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).help(help);
    arg.value_name("FILE").value_parser(value_parser!(PathBuf))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).help(help);
    arg.action(ArgAction::SetTrue)
}

fn run(args: &ArgMatches) -> anyhow::Result<u8> {
    let path: &PathBuf = args.get_one("settings").context("give --settings FILE")?;
    let settings = Settings::load(path)?;
    if args.get_flag("check") {
        println!("{}: settings are sound", path.display());
        return Ok(EXIT_FINE);
    }
    let entries = entries(args, &settings);
    let report = task::block_on(report::gather(&settings.report, &entries));
    if let Some(svg) = args.get_one::<PathBuf>("svg") {
        report::write_chart(svg, &report)?;
    }
    match write_report(args, &report) {
        // A reader that has seen enough, such as `head`, is no failure.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => {}
        written => written.context("cannot write the output; check where standard output goes")?,
    }
    Ok(exit_code(&report))
}

fn entries(args: &ArgMatches, settings: &Settings) -> Vec<SocketAddr> {
    let named = args.get_many("entries").into_iter().flatten();
    let named: Vec<SocketAddr> = named.copied().collect();
    let set = &settings.report.entries;
    match (named.is_empty(), set.is_empty()) {
        (false, _) => named,
        (true, false) => set.clone(),
        (true, true) => vec![settings.entry.admin],
    }
}

fn write_report(args: &ArgMatches, report: &Report) -> io::Result<()> {
    let mut wtr = io::stdout().lock();
    if args.get_flag("json") {
        serde_json::to_writer_pretty(&mut wtr, report)?;
        writeln!(wtr)?;
    } else {
        report::write_text(&mut wtr, report)?;
    }
    Ok(())
}

fn exit_code(report: &Report) -> u8 {
    match (report.alert(), report.missing.is_empty()) {
        (true, _) => EXIT_ALERT,
        (false, false) => EXIT_PARTIAL,
        (false, true) => EXIT_FINE,
    }
}
