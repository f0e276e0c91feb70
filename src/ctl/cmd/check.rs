//! `check`: validates a ticket locally, without a controller.

use std::io;
use std::io::Write;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::ctl::CtlError;
use crate::ctl::cmd::read_file;
use crate::ticket;
use crate::ticket::Ticket;
use crate::ticket::TicketErrors;

/// Defines the command and its arguments.
pub fn command() -> Command {
    let about = "Validates a ticket locally; nothing is sent";
    let ticket = Arg::new("ticket")
        .value_name("TICKET.ini")
        .help("The ticket")
        .value_parser(value_parser!(PathBuf))
        .required(true);
    Command::new("check").about(about).arg(ticket)
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error that lists everything that is wrong with the ticket.
pub fn run(args: &ArgMatches) -> Result<(), CtlError> {
    let path: &PathBuf = args.get_one("ticket").expect("the argument is required");
    let text = read_file(path)?;
    let ticket = parse(&path.display().to_string(), &text)?;
    let targets: usize = ticket.services.values().map(|s| s.targets.len()).sum();
    writeln!(
        io::stdout().lock(),
        "ticket {} on {}: {} services with {targets} targets, {} removed; sound by itself",
        ticket.number,
        ticket.base,
        ticket.services.len(),
        ticket.removed.len()
    )?;
    Ok(())
}

/// Parses a ticket; `file` is its name in the error.
pub(super) fn parse(file: &str, text: &str) -> Result<Ticket, TicketErrors> {
    ticket::parse(text).map_err(|errors| TicketErrors(errors.0.with_file(file)))
}
