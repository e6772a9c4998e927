//! One line of key=value pairs for each event.
//!
//! An entry VM's process writes to standard error as it goes. A node's process writes to standard
//! output through a queue: writing never waits for whoever reads, and a kind of event that comes
//! too often is counted instead of written.

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
    WriteLogger::init(filter(level), config(), std::io::stderr())
        .context("logging has been started")
}

/// Starts logging at `level`, to standard output, without ever waiting for its reader.
///
/// # Errors
///
/// If logging was started before, or the thread that writes cannot be started.
pub fn start_queued(level: LogLevel) -> anyhow::Result<()> {
    let queue = LineQueue::start(std::io::stdout()).context("starting the log's writer")?;
    WriteLogger::init(filter(level), config(), queue).context("logging has been started")
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("daisy")
        .build()
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
