//! The entry: a proxy that accepts requests of callers and forwards each to a target.

use std::path::PathBuf;

use anyhow::Context;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use gooseberryloft::events;
use gooseberryloft::settings::Settings;
use gooseberryloft::traffic::entry::Entry;

fn main() -> anyhow::Result<()> {
    run(&arguments().get_matches())
}

fn arguments() -> Command {
    Command::new("gooseberryloft-entry")
        .version(clap::crate_version!())
        .about("Accepts requests of callers and forwards each to a target")
        .after_help("SIGTERM shuts it down gracefully: requests in flight are completed.")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The settings file of this VM")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue),
        )
}

fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let path: &PathBuf = args.get_one("settings").context("pass --settings FILE")?;
    let settings = Settings::load(path)?;
    if args.get_flag("check") {
        println!("{}: settings are sound", path.display());
        return Ok(());
    }
    events::init("entry", &settings.log)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let entry = Entry::start(&settings)?;
    println!("callers on {}, admin on {}", entry.address(), entry.admin());
    signals.forever().next();
    entry.drain();
    Ok(())
}
