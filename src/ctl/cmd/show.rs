//! `show`: prints the state in force or an accepted ticket.

use std::io;
use std::io::Write;

use async_std::task;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::ctl::Config;
use crate::ctl::CtlError;
use crate::ctl::cmd::json_argument;
use crate::ctl::cmd::write_json;
use crate::ids::TicketNumber;
use crate::ticket;

/// Defines the command and its arguments.
pub fn command() -> Command {
    let about =
        "Prints the state in force as a template for the next ticket, or an accepted ticket";
    let number = Arg::new("number")
        .value_name("N")
        .help("The number of an accepted ticket")
        .value_parser(value_parser!(u64));
    let command = Command::new("show").about(about).arg(number);
    Config::arguments(command.arg(json_argument()))
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if there is no such ticket or no controller responds.
pub fn run(args: &ArgMatches) -> Result<(), CtlError> {
    let client = Config::load(args)?.client();
    let json = args.get_flag("json");
    let mut wtr = io::stdout().lock();
    match args.get_one("number") {
        Some(&number) => {
            let text = task::block_on(client.ticket(TicketNumber(number)))?;
            match json {
                true => write_json(&mut wtr, &ticket::parse(&text)?)?,
                false => write!(wtr, "{text}")?,
            }
        }
        None => {
            let state = task::block_on(client.state())?;
            match json {
                true => write_json(&mut wtr, &state)?,
                false => {
                    writeln!(wtr, "; number in force: {}", state.number)?;
                    write!(wtr, "{}", ticket::to_ini(&state.next_ticket()))?;
                }
            }
        }
    }
    Ok(())
}
