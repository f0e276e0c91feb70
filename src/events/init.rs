//! Where a process writes its events.

use std::path::Path;

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::append::file::FileAppender;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Logger;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;
use thiserror::Error;

use crate::settings::LogSettings;

const APPENDER: &str = "events";
const OWN_TARGET: &str = "gooseberryloft";

/// Why the log could not be opened.
#[derive(Debug, Error)]
#[error("cannot open the log ({0}); check `file` of [log] in the settings and its folder")]
pub struct LogError(String);

/// Sends the events of the process to where the settings say; once a process.
///
/// # Errors
///
/// When the file cannot be opened, or the log was opened before.
pub fn init(program: &str, conf: &LogSettings) -> Result<(), LogError> {
    let appender = appender(program, conf.file.as_deref())?;
    let own = Logger::builder().build(OWN_TARGET, conf.level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .logger(own)
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Warn))
        .map_err(log_error)?;
    log4rs::init_config(config).map_err(log_error)?;
    Ok(())
}

fn appender(program: &str, file: Option<&Path>) -> Result<Box<dyn Append>, LogError> {
    let pattern = format!("{{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)}} {program} {{l}} {{m}}{{n}}");
    let encoder = Box::new(PatternEncoder::new(&pattern));
    let Some(file) = file else {
        let console = ConsoleAppender::builder().target(Target::Stderr);
        return Ok(Box::new(console.encoder(encoder).build()));
    };
    let appender = FileAppender::builder().encoder(encoder).build(file);
    Ok(Box::new(appender.map_err(log_error)?))
}

fn log_error(error: impl std::fmt::Display) -> LogError {
    LogError(error.to_string())
}
