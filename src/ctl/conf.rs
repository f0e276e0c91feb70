//! Configuration shared by all commands that call a controller.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::ctl::Client;
use crate::ctl::CtlError;
use crate::settings::Settings;

const DEFAULT_SETTINGS: &str = "/etc/gooseberryloft/vm.ini";

/// The controllers to call and the token to authenticate with.
#[derive(Debug)]
pub struct Config {
    controllers: Vec<SocketAddr>,
    token: String,
}

impl Config {
    /// Adds the arguments that [`Config::load`] reads to a command.
    pub fn arguments(command: Command) -> Command {
        let settings = Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .help("The settings file with the token and the default controller")
            .value_parser(value_parser!(PathBuf))
            .default_value(DEFAULT_SETTINGS);
        let controller = Arg::new("controller")
            .long("controller")
            .value_name("ADDRESS")
            .help("Another controller's [controller] admin address; may be given several times")
            .value_parser(value_parser!(SocketAddr))
            .action(ArgAction::Append);
        command.arg(settings).arg(controller)
    }

    /// Reads the arguments and loads the settings file. Uses the controller of the settings if the
    /// arguments name none.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be loaded or are not valid.
    pub fn load(args: &ArgMatches) -> Result<Self, CtlError> {
        let path = args.get_one::<PathBuf>("settings");
        let settings = Settings::load(path.expect("the argument has a default"))?;
        let addresses = args.get_many("controller").into_iter().flatten();
        let mut controllers: Vec<SocketAddr> = addresses.copied().collect();
        if controllers.is_empty() {
            controllers.push(settings.controller.admin);
        }
        Ok(Self {
            controllers,
            token: settings.token,
        })
    }

    /// Creates the client; does not connect yet.
    pub fn client(&self) -> Client {
        Client::new(&self.controllers, &self.token)
    }
}
