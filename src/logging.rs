//! One line of key=value pairs for each event, on standard error.

use anyhow::Context;
use daisy_settings::LogLevel;
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Starts logging at `level`.
///
/// # Errors
///
/// If logging was started before.
pub fn start(level: LogLevel) -> anyhow::Result<()> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("daisy")
        .build();
    WriteLogger::init(filter(level), config, std::io::stderr()).context("logging has been started")
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
