//! Sets up the log output of a process: standard error or a file, one event a line.

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
const LOG_TARGET: &str = "gooseberryloft";

/// The error of a log that could not be opened, with its cause.
#[derive(Debug, Error)]
#[error("cannot open the log ({0}); check `file` of [log] in the settings and its folder")]
pub struct LogError(String);

/// Installs the process-wide logger with the level and file of the settings.
///
/// `program` is the program's name in each log line. Call it once per process.
///
/// # Errors
///
/// Returns an error if the file cannot be opened or a logger is already installed.
pub fn init(program: &str, conf: &LogSettings) -> Result<(), LogError> {
    let appender = appender(program, conf.file.as_deref())?;
    let logger = Logger::builder().build(LOG_TARGET, conf.level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .logger(logger)
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
