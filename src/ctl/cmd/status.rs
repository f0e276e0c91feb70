//! `status`: prints the ticket number in force on the VMs, and the term, holder and owners of each
//! group.

use std::io;
use std::io::Write;

use async_std::task;
use clap::ArgMatches;
use clap::Command;

use crate::control::DataCentreStatus;
use crate::control::GroupStatus;
use crate::control::Status;
use crate::ctl::Config;
use crate::ctl::CtlError;
use crate::ctl::cmd::json_argument;
use crate::ctl::cmd::write_json;

/// Defines the command and its arguments.
pub fn command() -> Command {
    let about = "Prints the ticket number in force on the VMs, and the term, holder and owners of each group";
    let command = Command::new("status").about(about);
    Config::arguments(command.arg(json_argument()))
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if no controller responds.
pub fn run(args: &ArgMatches) -> Result<(), CtlError> {
    let client = Config::load(args)?.client();
    let status = task::block_on(client.status())?;
    let mut wtr = io::stdout().lock();
    match args.get_flag("json") {
        true => write_json(&mut wtr, &status)?,
        false => write_status(&mut wtr, &status)?,
    }
    Ok(())
}

fn write_status(wtr: &mut impl Write, status: &Status) -> io::Result<()> {
    writeln!(wtr, "number in force on {}: {}\n", status.vm, status.number)?;
    writeln!(
        wtr,
        "{:<20} {:>7} {:>7} {:>10}  lagging",
        "data centre", "listed", "heard", "number"
    )?;
    for data_centre in &status.data_centres {
        write_data_centre(wtr, data_centre)?;
    }
    for group in &status.groups {
        write_group(wtr, group)?;
    }
    Ok(())
}

fn write_data_centre(wtr: &mut impl Write, dc: &DataCentreStatus) -> io::Result<()> {
    let lagging = dc.vms.iter().filter(|vm| vm.number < dc.number);
    let lagging: Vec<String> = lagging
        .map(|vm| format!("{}={}", vm.vm, vm.number))
        .collect();
    let name = dc.data_centre.as_str();
    let lagging = if lagging.is_empty() {
        "-".to_owned()
    } else {
        lagging.join(" ")
    };
    writeln!(
        wtr,
        "{name:<20} {:>7} {:>7} {:>10}  {lagging}",
        dc.listed, dc.heard, dc.number.0
    )
}

fn write_group(wtr: &mut impl Write, group: &GroupStatus) -> io::Result<()> {
    let unknown = || "not known here".to_owned();
    let term = group.term.map_or_else(unknown, |term| term.to_string());
    let holder = group
        .holder
        .as_ref()
        .map_or_else(unknown, |vm| vm.to_string());
    let deputies: Vec<&str> = group.deputies.iter().map(|vm| vm.as_str()).collect();
    writeln!(wtr, "\ngroup {}", group.group)?;
    writeln!(
        wtr,
        "  term {term}, holder {holder}, deputies {}",
        deputies.join(" ")
    )?;
    writeln!(
        wtr,
        "  version {}, shards without owner {}",
        group.version, group.unowned
    )?;
    for owner in &group.owners {
        writeln!(
            wtr,
            "  {:<20} {:>7} shards",
            owner.target.as_str(),
            owner.shards
        )?;
    }
    Ok(())
}
