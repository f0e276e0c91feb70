//! The burn-rate report: collects counts from the entries and shows how fast each service uses up
//! its error budget.

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

const EXIT_OK: u8 = 0;
const EXIT_ALERT: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_PARTIAL: u8 = 3;

const EXIT_CODES: &str = "\
Exit codes:
  0  no alert is due
  1  an alert is due: the burn rate of both windows of a pair reaches the threshold
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
        .about("Shows how fast each service uses up its error budget")
        .after_help(EXIT_CODES);
    let settings = path(
        "settings",
        "The settings file with the objective, the windows and the entries",
    )
    .default_value("/etc/gooseberryloft/vm.ini");
    let entries = Arg::new("entries")
        .value_name("ENTRY")
        .help("Admin addresses of entries to query instead of those in the settings")
        .value_parser(value_parser!(SocketAddr))
        .action(ArgAction::Append);
    command
        .arg(settings)
        .arg(entries)
        .arg(flag("json", "Write JSON"))
        .arg(path(
            "svg",
            "Also write a chart of the burn rates over time as SVG",
        ))
        .arg(flag("check", "Check the settings and exit"))
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
    let path: &PathBuf = args.get_one("settings").context("pass --settings FILE")?;
    let settings = Settings::load(path)?;
    if args.get_flag("check") {
        println!("{}: settings are sound", path.display());
        return Ok(EXIT_OK);
    }
    let entries = entries(args, &settings);
    let report = task::block_on(report::gather(&settings.report, &entries));
    if let Some(svg) = args.get_one::<PathBuf>("svg") {
        report::write_chart(svg, &report)?;
    }
    match write_report(args, &report) {
        // A reader that closes the pipe early, such as `head`, is not an error.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => {}
        written => written.context("cannot write the output; check where standard output goes")?,
    }
    Ok(exit_code(&report))
}

fn entries(args: &ArgMatches, settings: &Settings) -> Vec<SocketAddr> {
    let arguments = args.get_many("entries").into_iter().flatten();
    let arguments: Vec<SocketAddr> = arguments.copied().collect();
    let configured = &settings.report.entries;
    match (arguments.is_empty(), configured.is_empty()) {
        (false, _) => arguments,
        (true, false) => configured.clone(),
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
        (false, true) => EXIT_OK,
    }
}
