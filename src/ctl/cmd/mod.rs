//! The subcommands and their shared helpers.

pub mod check;
pub mod file;
pub mod owner;
pub mod show;
pub mod status;

use std::io::Write;
use std::path::Path;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use serde::Serialize;

use crate::ctl::CtlError;

fn json_argument() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Prints JSON")
        .action(ArgAction::SetTrue)
}

fn text_argument<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    let text = args.get_one::<String>(name);
    text.map_or("", String::as_str)
}

fn read_file(path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|source| CtlError::Read {
        path: path.display().to_string(),
        source,
    })
}

fn write_json(wtr: &mut impl Write, value: &impl Serialize) -> Result<(), CtlError> {
    let text = serde_json::to_string_pretty(value)?;
    Ok(writeln!(wtr, "{text}")?)
}
