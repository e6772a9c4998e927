//! An entry VM as a process of its own.

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
    // Caught from before the start: a stop that comes early is a planned one too.
    let mut term = signal(SignalKind::terminate()).context("catching SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("catching SIGINT")?;
    let entry = start(settings).await?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        () = entry.stop() => {}
        () = ignore(&mut term) => {}
    }
    Ok(())
}

/// Guard: the platform may send SIGTERM again while the stop goes on; the signal's default
/// effect would then cut requests off. Caught and noted, it changes nothing.
async fn ignore(term: &mut Signal) {
    while term.recv().await.is_some() {
        log::info!("event=signal_ignored signal=SIGTERM cause=stopping");
    }
    std::future::pending().await
}
