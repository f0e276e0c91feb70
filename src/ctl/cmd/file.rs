//! `file`: files a ticket and, with `--wait`, waits until it is in force on every VM.

use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::control::DataCentreStatus;
use crate::control::Status;
use crate::ctl::Client;
use crate::ctl::Config;
use crate::ctl::CtlError;
use crate::ctl::cmd::check;
use crate::ctl::cmd::read_file;
use crate::ids::TicketNumber;
use crate::inifile::formats;
use crate::ticket::Outcome;

const POLL_PERIOD: Duration = Duration::from_millis(250);
const DEFAULT_WAIT_LIMIT: &str = "60 s";

/// Defines the command and its arguments.
pub fn command() -> Command {
    let about = "Files a ticket; filing the same file again is safe";
    let ticket = Arg::new("ticket")
        .value_name("TICKET.ini")
        .help("The ticket")
        .value_parser(value_parser!(PathBuf))
        .required(true);
    let wait = Arg::new("wait")
        .long("wait")
        .value_name("LIMIT")
        .help("Waits until the ticket is in force on every VM, at most for LIMIT")
        .num_args(0..=1)
        .default_missing_value(DEFAULT_WAIT_LIMIT)
        .value_parser(parse_wait_limit);
    Config::arguments(Command::new("file").about(about).arg(ticket).arg(wait))
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the ticket is not valid, is rejected or its outcome is unknown, or if it is not
/// in force everywhere in time.
pub fn run(args: &ArgMatches) -> Result<(), CtlError> {
    let path: &PathBuf = args.get_one("ticket").expect("the argument is required");
    let file = path.display().to_string();
    let text = read_file(path)?;
    let ticket = check::parse(&file, &text)?;
    let client = Config::load(args)?.client();
    let outcome = task::block_on(client.file(&text))?;
    print_outcome(outcome, &file)?;
    match args.get_one("wait") {
        Some(&limit) => task::block_on(wait_in_force(&client, ticket.number, limit)),
        None => Ok(()),
    }
}

fn print_outcome(outcome: Outcome, file: &str) -> Result<(), CtlError> {
    match outcome {
        Outcome::Accepted { .. } | Outcome::AlreadyAccepted { .. } => {
            writeln!(io::stdout().lock(), "{outcome}")?;
            Ok(())
        }
        Outcome::Invalid { errors } => {
            let diagnostics = errors.0.with_file(file);
            Err(CtlError::Refused(format!(
                "refused, nothing was changed:\n{diagnostics}"
            )))
        }
        Outcome::Unresolved { .. } => Err(CtlError::Unknown(outcome.to_string())),
        _ => Err(CtlError::Refused(outcome.to_string())),
    }
}

async fn wait_in_force(
    client: &Client,
    number: TicketNumber,
    limit: Duration,
) -> Result<(), CtlError> {
    let start = Instant::now();
    let mut last_progress = String::new();
    loop {
        let progress = match client.status().await {
            Ok(status) if describe_lag(&status, number).is_empty() => {
                let elapsed = start.elapsed().as_secs_f64();
                let text = format!("ticket {number} is in force on every VM after {elapsed:.1} s");
                return Ok(writeln!(io::stdout().lock(), "{text}")?);
            }
            Ok(status) => describe_lag(&status, number).join("; "),
            Err(error) => error.to_string(),
        };
        if progress != last_progress {
            eprintln!("{:.1} s: {progress}", start.elapsed().as_secs_f64());
        }
        if start.elapsed() >= limit {
            return Err(CtlError::Unknown(format!(
                "ticket {number} is accepted, but not reported in force everywhere within {limit:?}: \
                 {progress}; see `gooseberryloft-ctl status`"
            )));
        }
        last_progress = progress;
        task::sleep(POLL_PERIOD).await;
    }
}

fn describe_lag(status: &Status, number: TicketNumber) -> Vec<String> {
    let data_centres = status.data_centres.iter();
    data_centres
        .filter_map(|dc| data_centre_lag(dc, number))
        .collect()
}

fn data_centre_lag(dc: &DataCentreStatus, number: TicketNumber) -> Option<String> {
    let lagging = dc.vms.iter().filter(|vm| vm.number < number);
    let names: Vec<&str> = lagging.map(|vm| vm.vm.as_str()).collect();
    let name = &dc.data_centre;
    if !names.is_empty() {
        return Some(format!("{name} lags on {}", names.join(", ")));
    }
    if dc.number < number {
        return Some(format!("{name} lags"));
    }
    let missing = dc.listed.saturating_sub(dc.heard);
    (missing > 0).then(|| format!("{name} not heard from {missing} VMs"))
}

fn parse_wait_limit(text: &str) -> Result<Duration, String> {
    let limit = (formats::DURATION.parse)(text);
    limit.ok_or_else(|| format!("give {}", formats::DURATION.expected))
}
