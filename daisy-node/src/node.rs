//! Runs an entry VM's process from its start to its planned stop.

use std::{path::Path, time::Duration};

use anyhow::Context;
use daisy_http::Http;
use daisy_platform::{LogClient, LogUsage, NodeSettings, parse_settings};
use daisy_settings::Policy;
use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    append::Appender,
    callers::{self, Connections, RequestMemory},
    clock,
    elect::{self, ElectionContext},
    metrics::Metrics,
    operators::follow_operators,
    queries::HeldQueries,
    readiness,
    relay::{self, Membership, Relay},
    shared::Shared,
    states::{choose_layout, follow_states},
    submit::Submissions,
    suspension::NOTE_INTERVAL,
};

/// How long a planned stop still accepts connections after the VM reports that it is not ready. The
/// load balancer checks every second and removes a VM after two failed checks.
const BALANCER_REMOVAL_TIME: Duration = Duration::from_millis(2_600);
/// How long before the end of a planned stop's grace period the process stops waiting for open
/// requests.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// A VM with a smaller share of a core does not read for others: its link is too narrow for a
/// hundred followers.
const READER_CPU_SHARE_MIN: f64 = 0.2;

/// Runs an entry VM with the settings file at `path` under `policy`, until SIGTERM and the planned stop that
/// follows.
///
/// # Errors
///
/// If the settings cannot be used, a port cannot be opened, or the signals cannot be received.
pub async fn run(path: &Path, policy: &Policy) -> anyhow::Result<()> {
    let settings = read_settings(path)?;
    let shared = Shared::default();
    let metrics = Metrics::new();
    let log_client = LogClient::new(Http::new(None), settings.store_address);
    let (stop_serving, serving_stop) = watch::channel(false);
    let process = fastrand::u64(1..);

    let caller_listener = callers::listen(settings.caller_address).await?;
    let readiness_listener = callers::listen(settings.readiness_address).await?;
    let queries = HeldQueries::default();
    let submissions = Submissions {
        shared: shared.clone(),
        appender: Appender::start(log_client.clone(), shared.clone(), settings.record_limits),
        log_client: log_client.clone(),
        metrics: metrics.clone(),
        queries: queries.clone(),
        policy: *policy,
        memory: RequestMemory::new(settings.memory_bytes),
    };
    tokio::spawn(readiness::serve(readiness_listener, shared.clone(), metrics.clone()));
    tokio::spawn(report_log_usage(log_client.clone(), metrics.clone()));
    tokio::spawn(note_running(shared.clone()));
    let relay = start_relay(&settings, policy, &log_client, &shared, &metrics).await?;
    tokio::spawn(follow_operators(
        log_client.clone(),
        relay.clone(),
        shared.clone(),
        metrics.clone(),
    ));
    tokio::spawn(follow_states(log_client.clone(), relay.clone(), shared.clone(), queries));
    tokio::spawn(choose_layout(
        log_client.clone(),
        shared.clone(),
        settings.vm.clone(),
        settings.partitions,
    ));
    let serving_task = tokio::spawn(callers::serve(
        caller_listener,
        submissions,
        Connections::new(max_connections(&settings)),
        metrics.clone(),
        serving_stop.clone(),
    ));
    let (stop_owning, owning_stop) = watch::channel(false);
    let context = ElectionContext {
        settings: settings.clone(),
        log_client,
        relay,
        shared: shared.clone(),
        metrics,
        protected_priority: policy.protected_priority,
        process,
        stop: owning_stop,
    };
    let election_task = tokio::spawn(elect::run(context));
    log::info!("event=started vm={} process={process:016x}", settings.vm);

    wait_for_stop(path).await?;
    log::info!("event=stopping vm={}", settings.vm);
    shared.lock().is_stopping = true;
    // The VM releases its shards first, so that other VMs take them over while it still serves
    // callers.
    stop_owning.send_replace(true);
    sleep(BALANCER_REMOVAL_TIME).await;
    stop_serving.send_replace(true);
    let remaining = settings.grace.saturating_sub(BALANCER_REMOVAL_TIME + STOP_MARGIN);
    if timeout(remaining, serving_task).await.is_err() {
        log::warn!(
            "event=stop_cut_short cause=\"requests were still open at the end of the grace period\""
        );
    }
    election_task.abort();
    log::info!("event=stopped vm={}", settings.vm);
    Ok(())
}

/// Returns how many connections of callers the process keeps open.
fn max_connections(settings: &NodeSettings) -> usize {
    /// What a connection takes at most: its buffers, and a body that is not counted otherwise.
    const CONNECTION_BYTES: u64 = 48 << 10;
    /// The part of the memory, and of the file descriptors, that is for callers.
    const PART_OF_MEMORY: u64 = 4;
    const PART_OF_FDS: usize = 2;
    let by_memory = (settings.memory_bytes / PART_OF_MEMORY / CONNECTION_BYTES) as usize;
    by_memory.min(settings.max_fds / PART_OF_FDS).max(1)
}

/// Notes at intervals that the process runs.
async fn note_running(shared: Shared) {
    loop {
        shared.lock().suspension.note_running(clock::now());
        sleep(NOTE_INTERVAL).await;
    }
}

/// Sets the metrics of calls to the log, and logs the calls of each interval in one line.
async fn report_log_usage(log_client: LogClient, metrics: Metrics) {
    const INTERVAL: Duration = Duration::from_secs(10);
    let mut known: Vec<LogUsage> = Vec::new();
    loop {
        sleep(INTERVAL).await;
        let usage = log_client.usage();
        metrics.set_log_usage(&usage);
        let mut line = String::new();
        for it in &usage {
            let before = known.iter().find(|old| (old.call, old.topic) == (it.call, it.topic));
            let (calls, bytes) = before.map_or((0, 0), |old| (old.calls, old.bytes));
            if it.calls > calls {
                let (calls, bytes) = (it.calls - calls, it.bytes - bytes);
                line += &format!(" {}_{}={calls}/{bytes}", it.call.label(), it.topic);
            }
        }
        log::info!("event=log_usage{line}");
        known = usage;
    }
}

/// Starts this VM's part in reading the log for others, if the policy asks for it.
async fn start_relay(
    settings: &NodeSettings,
    policy: &Policy,
    log_client: &LogClient,
    shared: &Shared,
    metrics: &Metrics,
) -> anyhow::Result<Option<Relay>> {
    let Some((min_shards, address)) = policy.relay_min_shards.zip(settings.peer_address) else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address).await;
    let listener = listener.with_context(|| format!("listening on {address}"))?;
    let is_candidate = settings.cpu_share >= READER_CPU_SHARE_MIN;
    let relay = Relay::new(shared.clone(), metrics.clone(), is_candidate);
    let membership = Membership::new(settings, address, is_candidate, min_shards);
    tokio::spawn(relay::serve(relay.clone(), listener));
    if is_candidate {
        tokio::spawn(relay::keep_workers(log_client.clone(), relay.clone()));
    }
    tokio::spawn(relay::stay_in_group(
        membership.clone(),
        log_client.clone(),
        relay.clone(),
        shared.clone(),
    ));
    tokio::spawn(relay::follow_readers(
        membership,
        log_client.clone(),
        relay.clone(),
        shared.clone(),
    ));
    Ok(Some(relay))
}

fn read_settings(path: &Path) -> anyhow::Result<NodeSettings> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    Ok(parse_settings(&text)?)
}

/// Waits for SIGTERM. On SIGHUP the settings file is read and checked, but the settings that were
/// read at the start remain in force.
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
