//! What stand-ins do as processes of their own.

use std::path::Path;

use tokio::signal::unix::{SignalKind, signal};

use crate::Recorder;

/// Waits for SIGTERM or SIGINT, then writes the history if a file was asked for.
pub(crate) async fn until_stopped(
    recorder: &Recorder,
    history: Option<&Path>,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    match history {
        Some(path) => recorder.write(path),
        None => Ok(()),
    }
}
