//! Runs an entry VM as a process of its own.

use anyhow::Context;
use daisy_settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::entry::start;

/// Runs an entry VM until SIGTERM or SIGINT, and then its planned stop.
///
/// # Errors
///
/// If an address cannot be taken or signals cannot be caught.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    // Signals are caught before the start, so that an early stop is a planned one as well.
    let mut term = signal(SignalKind::terminate()).context("catching SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("catching SIGINT")?;
    let entry = start(settings).await?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        () = entry.stop() => {}
        () = ignore_sigterm(&mut term) => {}
    }
    Ok(())
}

/// Ignores further SIGTERM signals.
///
/// Guard: the platform may send SIGTERM again while the stop is in progress; the signal's default
/// action would then cut requests off. Caught and logged, it has no effect.
async fn ignore_sigterm(term: &mut Signal) {
    while term.recv().await.is_some() {
        log::info!("event=signal_ignored signal=SIGTERM cause=stopping");
    }
    std::future::pending().await
}
