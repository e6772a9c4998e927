//! Callers that send requests in an open loop and check every answer.
//!
//! Requests are due at fixed times, whether or not the ones before have ended. Latencies are measured
//! from when a request was due, so that a stalled system cannot hide its waiting callers.

mod balancer;
mod caller;
mod report;

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use daisy_history::History;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{Recorder, client::Client};

use self::{balancer::Balancer, caller::Caller};

pub use self::report::Report;

/// Settings of the callers.
#[derive(Debug, Clone)]
pub struct Options {
    /// The callers' name in the history.
    pub name: String,
    /// The entry VMs' addresses for callers.
    pub entries: Vec<SocketAddr>,
    /// The service that the requests address.
    pub service: String,
    /// Requests per second.
    pub rate: f64,
    /// Total number of requests.
    pub count: u64,
    /// Share of requests, in thousandths, that are non-idempotent and have an idempotency key.
    pub keyed_per_mille: u32,
    /// Time limit of a call, including all its attempts.
    pub deadline: Duration,
    /// Maximum number of attempts of a call.
    pub attempts: u32,
    /// `critical`, `normal` or `low`; `None` sends no priority.
    pub priority: Option<String>,
    /// The service time, in milliseconds, that a request asks for; `None` for the backend server's
    /// default.
    pub service_ms: Option<u64>,
    /// Size of a request's body in bytes.
    pub body_bytes: usize,
    /// Length, in bytes, of the answer that a request asks for.
    pub answer_bytes: usize,
    /// The number of chunks in which the answer is streamed, and the milliseconds before each chunk.
    pub stream: Option<(u32, u64)>,
    /// The number of the first call. Concurrent loads must not use the same numbers.
    pub first_call: u64,
    /// Seed of the random choice of keys and of the requests that have one.
    pub seed: u64,
    /// The file to which each event is written as soon as it is recorded.
    pub history: Option<PathBuf>,
}

impl Options {
    /// Returns the number of requests in `seconds` at `rate` requests per second.
    pub fn request_count(rate: f64, seconds: f64) -> u64 {
        (rate * seconds).round() as u64
    }
}

impl Default for Options {
    /// Returns settings for 100 requests at 100 per second, with a time limit of 2 s and four attempts
    /// each.
    fn default() -> Options {
        Options {
            name: "load".to_owned(),
            entries: Vec::new(),
            service: "quotation".to_owned(),
            rate: 100.0,
            count: 100,
            keyed_per_mille: 0,
            deadline: Duration::from_secs(2),
            attempts: 4,
            priority: None,
            service_ms: None,
            body_bytes: 64,
            answer_bytes: 256,
            stream: None,
            first_call: 1,
            seed: 1,
            history: None,
        }
    }
}

/// Running callers.
#[derive(Debug)]
pub struct Load {
    recorder: Recorder,
    task: tokio::task::JoinHandle<Report>,
}

/// Sends all requests and returns the report.
///
/// # Errors
///
/// If the settings are invalid or the history file cannot be created.
pub async fn run(options: Options) -> anyhow::Result<Report> {
    Load::start(options).await?.finish().await
}

impl Load {
    /// Starts to send requests.
    ///
    /// # Errors
    ///
    /// If there is no entry VM, the rate is not above zero, or the history file cannot be created.
    pub async fn start(options: Options) -> anyhow::Result<Load> {
        anyhow::ensure!(!options.entries.is_empty(), "no entry VM is given");
        anyhow::ensure!(options.rate > 0.0, "the rate must be above zero");
        let recorder = Recorder::open(&options.name, options.history.as_deref())?;
        let task = tokio::spawn(send_all(options, recorder.clone()));
        Ok(Load { recorder, task })
    }

    /// Returns the callers' recorder, which stays usable after the load has finished.
    pub fn recorder(&self) -> Recorder {
        self.recorder.clone()
    }

    /// Returns the events that the callers have recorded so far.
    pub fn history(&self) -> History {
        self.recorder.history()
    }

    /// Waits until all calls have ended and returns the report.
    ///
    /// # Errors
    ///
    /// If the task that sends the requests panicked.
    pub async fn finish(self) -> anyhow::Result<Report> {
        Ok(self.task.await?)
    }
}

async fn send_all(options: Options, recorder: Recorder) -> Report {
    let client = Client::new();
    let balancer = Balancer::start(options.entries.clone(), client.clone()).await;
    let count = options.count;
    let interval = Duration::from_secs_f64(1.0 / options.rate);
    let caller = Arc::new(Caller::new(options, client, balancer, recorder));
    let mut rng = fastrand::Rng::with_seed(caller.options().seed);
    let started_at = Instant::now();
    let mut calls = JoinSet::new();
    for index in 0..count {
        let due_at = started_at + interval.mul_f64(index as f64);
        sleep_until(due_at).await;
        let key = caller.choose_key(&mut rng, index);
        let caller = caller.clone();
        calls.spawn(async move { caller.call(index, key, due_at).await });
    }
    let mut report = Report::new();
    while let Some(result) = calls.join_next().await {
        match result {
            Ok(result) => report.add(result),
            Err(error) => log::error!("event=caller-failed error={error:?}"),
        }
    }
    report
}
