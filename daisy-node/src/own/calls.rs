//! Calls to workers. Each runs in a task of its own and returns its outcome as an event.

use std::{fmt, net::SocketAddr, time::Duration};

use daisy_model::Instant;
use daisy_platform::{LeaseRenewal, RenewalError, WorkerCalls};
use daisy_workflow::{
    Action, Event, OrderReply, Start, StopCause, TaskId, Worker, WorkerId, WorkerKey, WorkerView,
};
use tokio::sync::mpsc;

use crate::metrics::Metrics;

/// How long a worker may take to answer: 24 ms of network delay between regions, plus the time of a
/// slow VM.
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);

/// Makes an owner's calls to workers.
#[derive(Clone)]
pub(super) struct Calls {
    pub client: WorkerCalls,
    pub events: mpsc::UnboundedSender<Event>,
    pub metrics: Metrics,
}

/// The worker that a call goes to.
#[derive(Debug, Clone)]
struct CallTarget {
    key: WorkerKey,
    id: WorkerId,
    started_at_ms: u64,
    address: SocketAddr,
    token: u64,
}

impl Calls {
    /// Begins the call that `action` requires, in a task of its own. `worker` is the worker that
    /// the action names.
    pub fn begin(&self, now: Instant, key: WorkerKey, worker: &Worker, action: Action) {
        log_lease(now, worker, &action);
        let to = CallTarget {
            key,
            id: worker.id.clone(),
            started_at_ms: worker.started_at_ms,
            address: worker.address,
            token: worker.token,
        };
        let this = Calls { client: self.client.with_token(worker.token), ..self.clone() };
        tokio::spawn(async move {
            let event = match action {
                Action::Renew { deadline_ms, cursor, wait, .. } => {
                    this.renew_lease(&to, LeaseRenewal { deadline_ms, cursor, wait }).await
                }
                Action::Start(_, start) => this.start(&to, &start).await,
                Action::Stop(_, task, run, cause) => this.stop(&to, task, run, cause).await,
                Action::Pace(_, task, run, percent) => this.pace(&to, task, run, percent).await,
                Action::StepDown
                | Action::Note(_)
                | Action::Forward(..)
                | Action::RemoveSubmissions(_) => return,
            };
            // Sending fails once the owner has stepped down, and the event no longer matters.
            let _ = this.events.send(event);
        });
    }

    async fn renew_lease(&self, to: &CallTarget, order: LeaseRenewal) -> Event {
        match self.client.renew_lease(&to.id, to.address, order, ORDER_TIMEOUT).await {
            Ok(answer) => Event::RenewalAnswered(to.key, Some(answer)),
            Err(RenewalError::Fenced) => Event::RenewalFenced(to.key, to.token),
            Err(RenewalError::OtherIncarnation) => Event::WorkerReplaced(to.key, to.started_at_ms),
            Err(RenewalError::NoUsableAnswer(cause)) => {
                log::debug!("event=hold_failed worker={} cause=\"{cause}\"", to.id);
                Event::RenewalAnswered(to.key, None)
            }
        }
    }

    async fn start(&self, to: &CallTarget, start: &Start) -> Event {
        let reply = self.client.start(&to.id, to.address, start, ORDER_TIMEOUT).await;
        let outcome = reply_label(reply);
        let (task, run, worker) = (start.task, start.run, &to.id);
        log::info!(
            "event=start id={} task={task} run={run} worker={worker} outcome={outcome} \
             deadline_ms={} token={}{}",
            task.job,
            start.deadline_ms,
            to.token,
            ReplyKeys(reply)
        );
        self.metrics.count_start(outcome);
        Event::StartAnswered(to.key, task, run, reply)
    }

    async fn stop(&self, to: &CallTarget, task: TaskId, run: u32, cause: StopCause) -> Event {
        let reply = self.client.stop(&to.id, to.address, task, run, ORDER_TIMEOUT).await;
        log::info!(
            "event=stop id={} task={task} run={run} worker={} outcome={} cause=\"{}\" token={}{}",
            task.job,
            to.id,
            reply_label(reply),
            cause.description(),
            to.token,
            ReplyKeys(reply)
        );
        Event::StopAnswered(to.key, task, run, reply)
    }

    async fn pace(&self, to: &CallTarget, task: TaskId, run: u32, percent: u8) -> Event {
        let order = (task, run, percent);
        let reply = self.client.pace(&to.id, to.address, order, ORDER_TIMEOUT).await;
        log::info!(
            "event=pace id={} task={task} run={run} worker={} percent={percent} outcome={}",
            task.job,
            to.id,
            reply_label(reply)
        );
        Event::PaceAnswered(to.key, task, run, percent, reply)
    }
}

/// Logs the lease that a renewal grants, and the worker's clock that it follows from.
fn log_lease(now: Instant, worker: &Worker, action: &Action) {
    let Action::Renew { deadline_ms: Some(deadline_ms), .. } = action else { return };
    let WorkerView { clock: Some((clock_ms, age)), token, .. } = worker.view(now) else { return };
    log::debug!(
        "event=lease worker={} deadline_ms={deadline_ms} clock_ms={clock_ms} clock_age_ms={} \
         token={token}",
        worker.id,
        age.as_millis()
    );
}

/// Displays the keys of a log line that only some answers to an order have.
struct ReplyKeys(OrderReply);

impl fmt::Display for ReplyKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            OrderReply::Done { clock_ms } => write!(f, " clock_ms={clock_ms}"),
            OrderReply::Rejected(reason) => write!(f, " reason={}", reason.label()),
            OrderReply::NotSent | OrderReply::Unknown => Ok(()),
        }
    }
}

fn reply_label(reply: OrderReply) -> &'static str {
    match reply {
        OrderReply::Done { .. } => "done",
        OrderReply::Rejected(_) => "refused",
        OrderReply::NotSent => "not_sent",
        OrderReply::Unknown => "unknown",
    }
}
