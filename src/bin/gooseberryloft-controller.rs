//! The controller: accepts tickets, controls groups, spreads state.

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
        .about("Accepts tickets, controls who owns which keys, and spreads state to the entries")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The VM's settings")
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
