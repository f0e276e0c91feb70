//! What every command that talks to a controller is configured by.

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

/// Which controllers to ask, and with which token.
#[derive(Debug)]
pub struct Config {
    controllers: Vec<SocketAddr>,
    token: String,
}

impl Config {
    /// Adds the arguments that [`Config::load`] reads.
    pub fn arguments(command: Command) -> Command {
        let settings = Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .help("The settings that give the token and the controller")
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

    /// Reads the arguments and the settings that they name.
    ///
    /// # Errors
    ///
    /// When the settings cannot be loaded or are faulty.
    pub fn load(args: &ArgMatches) -> Result<Self, CtlError> {
        let path = args.get_one::<PathBuf>("settings");
        let settings = Settings::load(path.expect("the argument has a default"))?;
        let named = args.get_many("controller").into_iter().flatten();
        let mut controllers: Vec<SocketAddr> = named.copied().collect();
        if controllers.is_empty() {
            controllers.push(settings.controller.admin);
        }
        Ok(Self {
            controllers,
            token: settings.token,
        })
    }

    /// Opens the client.
    pub fn client(&self) -> Client {
        Client::new(&self.controllers, &self.token)
    }
}
