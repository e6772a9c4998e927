//! Callers: an open loop of requests that checks every answer.
//!
//! Requests are due at fixed times whatever became of the ones before; latencies count from
//! when a request was due, so that a stalled system cannot hide its waiting callers.

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

/// What the callers do.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name in the history.
    pub name: String,
    /// The entry VMs' addresses for callers.
    pub entries: Vec<SocketAddr>,
    /// The service.
    pub service: String,
    /// Requests a second.
    pub rate: f64,
    /// Requests in all.
    pub count: u64,
    /// Share of requests that are non-idempotent and bear a key, in thousandths.
    pub keyed_per_mille: u32,
    /// How long a caller waits for a call with all its attempts.
    pub deadline: Duration,
    /// Attempts of a call at most.
    pub attempts: u32,
    /// `critical`, `normal` or `low`; `None` sends no priority.
    pub priority: Option<String>,
    /// Service time asked of the backend server; `None` leaves it to the server.
    pub service_ms: Option<u64>,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of an answer asked for.
    pub answer_bytes: usize,
    /// Pieces that the answer is streamed in, and milliseconds between them.
    pub stream: Option<(u32, u64)>,
    /// Numbers of calls begin here; runs side by side must not share numbers.
    pub first_call: u64,
    /// Seeds keys and which requests bear one.
    pub seed: u64,
    /// The file that each event is written to at once.
    pub history: Option<PathBuf>,
}

impl Options {
    /// Requests in `seconds` at `rate`.
    pub fn request_count(rate: f64, seconds: f64) -> u64 {
        (rate * seconds).round() as u64
    }
}

impl Default for Options {
    /// 100 requests at 100 a second, 2 s of patience and four attempts each.
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

/// Callers at work.
#[derive(Debug)]
pub struct Load {
    recorder: Recorder,
    task: tokio::task::JoinHandle<Report>,
}

/// Sends all requests and reports.
pub async fn run(options: Options) -> anyhow::Result<Report> {
    Load::start(options).await?.finish().await
}

impl Load {
    /// Begins to send.
    ///
    /// Fails without an entry VM, at a rate that is not above zero, or if the history's file
    /// cannot be had.
    pub async fn start(options: Options) -> anyhow::Result<Load> {
        anyhow::ensure!(!options.entries.is_empty(), "no entry VM to send to");
        anyhow::ensure!(options.rate > 0.0, "the rate must be above zero");
        let recorder = Recorder::open(&options.name, options.history.as_deref())?;
        let task = tokio::spawn(send_all(options, recorder.clone()));
        Ok(Load { recorder, task })
    }

    /// Where the callers record what they see; it outlives the load.
    pub fn recorder(&self) -> Recorder {
        self.recorder.clone()
    }

    /// What the callers saw so far.
    pub fn history(&self) -> History {
        self.recorder.history()
    }

    /// Waits for the last answer and reports.
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
