//! `owner`: prints which target owns a key.

use std::io;
use std::io::Write;

use async_std::task;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::ctl::Config;
use crate::ctl::CtlError;
use crate::ctl::cmd::json_argument;
use crate::ctl::cmd::text_argument;
use crate::ctl::cmd::write_json;
use crate::ids::ServiceId;
use crate::inifile::formats;

/// Defines the command and its arguments.
pub fn command() -> Command {
    let service = Arg::new("service")
        .value_name("SERVICE")
        .help("The keyed service")
        .value_parser(parse_service_name)
        .required(true);
    let key = Arg::new("key")
        .value_name("KEY")
        .help("The key as it appears in requests")
        .required(true);
    let command = Command::new("owner").about("Prints which target owns a key");
    Config::arguments(command.arg(service).arg(key).arg(json_argument()))
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the service is not keyed or no controller responds.
pub fn run(args: &ArgMatches) -> Result<(), CtlError> {
    let client = Config::load(args)?.client();
    let service = ServiceId::from(text_argument(args, "service"));
    let key = text_argument(args, "key");
    let owner = task::block_on(client.owner(&service, key))?;
    let mut wtr = io::stdout().lock();
    if args.get_flag("json") {
        return write_json(&mut wtr, &owner);
    }
    let target = owner.target.as_ref();
    writeln!(
        wtr,
        "target {}",
        target.map_or("none at present", |t| t.as_str())
    )?;
    writeln!(wtr, "group  {}", owner.group)?;
    writeln!(wtr, "shard  {}", owner.shard)?;
    writeln!(wtr, "fence  {}", owner.fence)?;
    Ok(())
}

fn parse_service_name(text: &str) -> Result<String, String> {
    (formats::NAME.parse)(text).ok_or_else(|| format!("give {}", formats::NAME.expected))
}
