//! An entry VM's process from its start to its planned stop.

use std::{path::Path, time::Duration};

use anyhow::Context;
use daisy_http::Http;
use daisy_platform::{NodeSettings, Store, Topic, parse_queue_config, parse_settings};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    append::Appender,
    callers,
    elect::{self, Elect},
    follow::Tail,
    metrics::Metrics,
    readiness,
    shared::Shared,
    states::{follow_states, lay_out},
    submit::Submissions,
};

/// In a planned stop, between not ready and the end of new connections: the balancer asks every
/// second and takes a VM out after two misses.
const LEAVE_BALANCER: Duration = Duration::from_millis(2_600);
/// Left of the time that a planned stop may take when open requests are given up.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// How long a read of the configuration waits for a record.
const WAIT: Duration = Duration::from_millis(1_000);
/// Between reads of a configuration that is not there yet.
const PAUSE: Duration = Duration::from_millis(60);

/// Runs an entry VM by the settings file at `path`, until SIGTERM and its planned stop.
///
/// # Errors
///
/// If the settings cannot be used or an address cannot be taken.
pub async fn run(path: &Path) -> anyhow::Result<()> {
    let settings = read_settings(path)?;
    let shared = Shared::default();
    let metrics = Metrics::new();
    let store = Store::new(Http::new(None), settings.store_address);
    let (stopping, stop) = watch::channel(false);
    let process = fastrand::u64(1..);

    let callers_port = callers::listen(settings.caller_address).await?;
    let readiness_port = callers::listen(settings.readiness_address).await?;
    let submissions = Submissions {
        shared: shared.clone(),
        appender: Appender::start(store.clone(), shared.clone()),
    };
    tokio::spawn(readiness::serve(readiness_port, shared.clone(), metrics.clone()));
    tokio::spawn(follow_configuration(store.clone(), shared.clone()));
    tokio::spawn(follow_states(store.clone(), shared.clone()));
    tokio::spawn(lay_out(store.clone(), shared.clone(), settings.partitions));
    let serving =
        tokio::spawn(callers::serve(callers_port, submissions, metrics.clone(), stop.clone()));
    let (yielding, yields) = watch::channel(false);
    let elect = Elect {
        settings: settings.clone(),
        store,
        shared: shared.clone(),
        metrics,
        process,
        stop: yields,
    };
    let electing = tokio::spawn(elect::run(elect));
    log::info!("event=started vm={} process={process:016x}", settings.vm);

    wait_for_stop(path).await?;
    log::info!("event=stopping vm={}", settings.vm);
    shared.lock().stopping = true;
    // Ownership goes first, while this VM still serves: another takes over meanwhile.
    yielding.send_replace(true);
    sleep(LEAVE_BALANCER).await;
    stopping.send_replace(true);
    let left = settings.grace.saturating_sub(LEAVE_BALANCER + STOP_MARGIN);
    if timeout(left, serving).await.is_err() {
        log::warn!("event=stop_cut_short cause=\"requests were open at the end of the grace\"");
    }
    electing.abort();
    log::info!("event=stopped vm={}", settings.vm);
    Ok(())
}

fn read_settings(path: &Path) -> anyhow::Result<NodeSettings> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    Ok(parse_settings(&text)?)
}

/// Waits for SIGTERM. At SIGHUP the settings file is read and checked; addresses and the store
/// stay as they were at the start.
async fn wait_for_stop(path: &Path) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("waiting for SIGTERM")?;
    let mut hup: Signal = signal(SignalKind::hangup()).context("waiting for SIGHUP")?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = hup.recv() => match read_settings(path) {
                Ok(_) => log::info!("event=reloaded outcome=checked"),
                Err(e) => log::warn!("event=reloaded outcome=refused cause=\"{e:#}\""),
            },
        }
    }
}

async fn follow_configuration(store: Store, shared: Shared) {
    let mut tail = Tail::new(store, Topic::Operators);
    loop {
        let Some(read) = tail.try_read(WAIT).await else { continue };
        for it in read.records {
            match parse_queue_config(&it.key, &it.value) {
                Some(Ok(queues)) => shared.lock().configure(queues),
                Some(Err(why)) => {
                    log::warn!(
                        "event=configuration_unreadable offset={} cause=\"{why}\"",
                        it.offset
                    );
                }
                None => {}
            }
        }
        if shared.lock().queues.is_none() {
            sleep(PAUSE).await;
        }
    }
}
