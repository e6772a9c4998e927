//! Logs one line of key=value pairs for each event.
//!
//! An entry VM's process writes to standard error directly. A node's process writes to standard
//! output through a queue: logging never waits for the reader of the output, and lines of an event
//! that occurs too often are counted instead of written.

mod queue;

use anyhow::Context;
use daisy_settings::LogLevel;
use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, WriteLogger};

use self::queue::LineQueue;

/// Starts logging at `level`, to standard error.
///
/// # Errors
///
/// If logging was started before.
pub fn start(level: LogLevel) -> anyhow::Result<()> {
    WriteLogger::init(level_filter(level), logger_config(), std::io::stderr())
        .context("logging has already been started")
}

/// Starts logging at `level`, to standard output, without waiting for the reader of the output.
///
/// # Errors
///
/// If logging was started before, or the writer thread cannot be started.
pub fn start_queued(level: LogLevel) -> anyhow::Result<()> {
    let queue = LineQueue::start(std::io::stdout()).context("starting the log writer thread")?;
    WriteLogger::init(level_filter(level), logger_config(), queue)
        .context("logging has already been started")
}

fn logger_config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("daisy")
        .build()
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
