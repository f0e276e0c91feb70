//! The operator's command-line tool: submits tickets and shows the configuration in force.

use std::process::ExitCode;

use clap::ArgMatches;
use clap::Command;

use gooseberryloft::ctl::CtlError;
use gooseberryloft::ctl::Exit;
use gooseberryloft::ctl::cmd;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused; nothing was changed
  2  faulty arguments, settings or ticket; nothing was sent
  3  no controller could be reached, or the outcome is not known yet";

fn main() -> ExitCode {
    match run(&arguments().get_matches()) {
        Ok(()) => ExitCode::from(Exit::Done as u8),
        Err(error) => {
            let exit = error.exit();
            if exit != Exit::Done {
                eprintln!("{error}");
            }
            ExitCode::from(exit as u8)
        }
    }
}

fn arguments() -> Command {
    Command::new("gooseberryloft-ctl")
        .version(clap::crate_version!())
        .about("Submits tickets and shows the configuration in force")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(cmd::file::command())
        .subcommand(cmd::check::command())
        .subcommand(cmd::show::command())
        .subcommand(cmd::status::command())
        .subcommand(cmd::owner::command())
}

fn run(args: &ArgMatches) -> Result<(), CtlError> {
    match args.subcommand() {
        Some(("file", args)) => cmd::file::run(args),
        Some(("check", args)) => cmd::check::run(args),
        Some(("show", args)) => cmd::show::run(args),
        Some(("status", args)) => cmd::status::run(args),
        Some(("owner", args)) => cmd::owner::run(args),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}
