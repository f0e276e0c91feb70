//! The controller: accepts tickets, assigns keys to targets, and distributes the state to entries.

use std::path::PathBuf;

use anyhow::Context;
use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

use gooseberryloft::control;
use gooseberryloft::events;
use gooseberryloft::settings::Settings;

fn main() -> anyhow::Result<()> {
    let args = command().get_matches();
    let path = args.get_one::<PathBuf>("settings");
    let conf = Settings::load(path.context("pass --settings FILE")?)?;
    if args.get_flag("check") {
        println!("settings are valid");
        return Ok(());
    }
    events::init("gooseberryloft-controller", &conf.log)?;
    async_std::task::block_on(control::run(conf))
}

fn command() -> Command {
    Command::new("gooseberryloft-controller")
        .version(clap::crate_version!())
        .about("Accepts tickets, assigns keys to targets, and distributes the state to entries")
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
