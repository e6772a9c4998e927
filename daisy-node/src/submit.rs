//! Handling of callers' requests: submissions, cancellations and queries of jobs.

use std::time::Duration;

use daisy_platform::{
    LogClient, LogError, encode_job_state, encode_pending_jobs, parse_submission,
};
use daisy_settings::Policy;
use daisy_workflow::{JobId, Queue, Record, StepSpec, encode};
use http::{Method, StatusCode};
use tokio::time::{Instant, sleep};

use crate::{
    admit::Candidate,
    append::Appender,
    callers::{RequestMemory, TakenMemory},
    clock,
    metrics::Metrics,
    queries::HeldQueries,
    shared::Shared,
};

/// The number of steps up to which a job is accepted whatever memory other requests take.
const UNCOUNTED_STEPS: usize = 32;

/// An answer to a caller.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: StatusCode,
    pub body: Vec<u8>,
    /// When the caller should retry; set if the request had no effect.
    pub retry_after: Option<Duration>,
}

impl Answer {
    pub fn new(status: StatusCode, body: Vec<u8>) -> Answer {
        Answer { status, body, retry_after: None }
    }

    /// Returns the answer to a request whose effect is stored.
    pub fn stored() -> Answer {
        Answer::new(StatusCode::OK, b"{}".to_vec())
    }

    pub fn error(status: StatusCode, cause: &str) -> Answer {
        Answer::new(status, serde_json::json!({ "error": cause }).to_string().into_bytes())
    }

    /// Returns the answer to a request that had no effect and that the caller may retry after a
    /// second.
    pub fn retry_later(cause: &str) -> Answer {
        Answer::retry_in(Duration::from_secs(1), cause)
    }

    /// Returns the answer to a request that had no effect and that the caller may retry after this
    /// time.
    pub fn retry_in(after: Duration, cause: &str) -> Answer {
        let answer = Answer::error(StatusCode::SERVICE_UNAVAILABLE, cause);
        Answer { retry_after: Some(after), ..answer }
    }
}

/// Handles callers' requests about jobs.
#[derive(Debug, Clone)]
pub(crate) struct Submissions {
    pub shared: Shared,
    pub appender: Appender,
    pub log_client: LogClient,
    pub metrics: Metrics,
    pub queries: HeldQueries,
    pub policy: Policy,
    pub memory: RequestMemory,
}

impl Submissions {
    /// Answers a request to `queue` by `deadline`. `rest` is the request's path after the queue's
    /// prefix: a job's id, or empty. `taken` is the memory of the body.
    pub async fn answer(
        &self,
        method: &Method,
        queue: &Queue,
        rest: &str,
        body: &[u8],
        taken: TakenMemory,
        deadline: Instant,
    ) -> Answer {
        if rest.is_empty() && method == Method::GET {
            let mut node = self.shared.lock();
            if node.has_old_states() {
                return Answer::retry_later("the number of pending jobs is not known at present");
            }
            let pending = node.directory.pending(&queue.terms.queue);
            return Answer::new(StatusCode::OK, encode_pending_jobs(pending));
        }
        let Ok(id) = rest.parse::<JobId>() else {
            return Answer::error(
                StatusCode::NOT_FOUND,
                "the path does not end with a valid job id",
            );
        };
        match *method {
            Method::POST => self.submit(id, queue, body, taken, deadline).await,
            Method::GET => self.query_state(id, queue).await,
            Method::DELETE => self.cancel(id, deadline).await,
            _ => Answer::error(
                StatusCode::METHOD_NOT_ALLOWED,
                "only POST, GET and DELETE are allowed",
            ),
        }
    }

    async fn submit(
        &self,
        id: JobId,
        queue: &Queue,
        body: &[u8],
        mut taken: TakenMemory,
        deadline: Instant,
    ) -> Answer {
        if self.shared.lock().job_state(id).is_some() {
            log::info!("event=submitted id={id} outcome=known");
            return Answer::stored();
        }
        let spec = match parse_submission(body, queue.terms.clone(), clock::wall_ms()) {
            Ok(spec) => spec,
            Err(cause) => {
                log::info!("event=submitted id={id} outcome=malformed cause={cause:?}");
                return Answer::error(StatusCode::BAD_REQUEST, &cause);
            }
        };
        // A step takes many times the memory of its shortest form in the body.
        let steps_bytes = spec.steps.len() * size_of::<StepSpec>();
        if spec.steps.len() > UNCOUNTED_STEPS && !self.memory.try_take(steps_bytes, &mut taken) {
            log::warn!(
                "event=submitted id={id} outcome=rejected cause=\"no memory for its steps\""
            );
            return Answer::retry_later("other requests take the memory for large jobs");
        }
        let layout = self.shared.lock().directory.layout();
        if layout.is_some_and(|it| self.appender.is_unresponsive(it.shard_of_job(id))) {
            log::warn!(
                "event=submitted id={id} outcome=rejected cause=\"the log does not answer\""
            );
            return Answer::retry_in(retry_delay(id), "the platform's store does not answer");
        }
        let candidate = Candidate::try_new(id, &spec, self.policy.protected_priority);
        if let Some(it) = &candidate
            && let Some(rejection) = self.try_reject(it).await
        {
            return rejection;
        }
        let record = Record::Submitted(id, spec);
        let answer = self.append(id, "submitted", record, deadline).await;
        if let Some(it) = candidate.filter(|_| answer.status == StatusCode::OK) {
            it.accepted(&mut self.shared.lock());
        }
        answer
    }

    /// Stores a cancellation, even if this process does not know the job. The job may be stored
    /// without its state being published yet, or the append of its submission may still be under
    /// way; the job never runs in either case.
    async fn cancel(&self, id: JobId, deadline: Instant) -> Answer {
        self.append(id, "cancelled", Record::Cancelled(id), deadline).await
    }

    async fn query_state(&self, id: JobId, queue: &Queue) -> Answer {
        match self.check_existence(id).await {
            Existence::Exists => {
                let hold = self.query_hold(queue);
                let asked_at = clock::now();
                let state = self.queries.wait_for_end(&self.shared, id, hold).await;
                let Some(state) = state else {
                    return Answer::error(StatusCode::GONE, "no such job");
                };
                if !state.is_ended() && self.shared.lock().has_old_states() {
                    log::info!(
                        "event=queried id={id} outcome=rejected cause=\"this VM was suspended\""
                    );
                    return Answer::retry_later("the states of jobs are not known at present");
                }
                let held_ms = clock::now().since(asked_at).as_millis();
                log::info!("event=queried id={id} state={} held_ms={held_ms}", state.label());
                Answer::new(StatusCode::OK, encode_job_state(state))
            }
            Existence::DoesNotExist => Answer::error(StatusCode::GONE, "no such job"),
            Existence::Unknown => {
                Answer::retry_later("the states of jobs are not known at present")
            }
        }
    }

    /// Returns how long a query of a job that has not ended is held: at most the constant part of
    /// the latency objective, so that it is short where callers count on short latencies.
    fn query_hold(&self, queue: &Queue) -> Duration {
        let target = Duration::from_millis(u64::from(queue.terms.target_latency_ms));
        self.policy.query_hold.min(target)
    }

    /// Checks whether a job exists. The state of a job that another VM has just accepted may not
    /// be published yet, so an unknown job is looked up several times before the answer.
    pub(crate) async fn check_existence(&self, id: JobId) -> Existence {
        /// The owner reads a submission within some 20 ms and publishes its state within 40 ms
        /// more, and this VM reads that within 200 ms.
        const LOOKUP_INTERVAL: Duration = Duration::from_millis(110);
        const LOOKUPS: u32 = 4;
        for _ in 0..LOOKUPS {
            if self.shared.lock().job_state(id).is_some() {
                return Existence::Exists;
            }
            sleep(LOOKUP_INTERVAL).await;
        }
        let node = self.shared.lock();
        match node.job_state(id) {
            Some(_) => Existence::Exists,
            None if node.is_absence_certain(id) => Existence::DoesNotExist,
            None => Existence::Unknown,
        }
    }

    /// Appends a record to the log of the job's shard, and answers with the outcome. Appending a
    /// record twice has no second effect.
    async fn append(&self, id: JobId, event: &str, record: Record, deadline: Instant) -> Answer {
        /// How long before the caller's deadline the tries end, so that the answer still reaches
        /// the caller in time.
        const ANSWER_MARGIN: Duration = Duration::from_millis(60);
        /// The pause after a try whose outcome is unknown.
        const RETRY_PAUSE: Duration = Duration::from_millis(50);
        let deadline = deadline - ANSWER_MARGIN;
        let Some(layout) = self.shared.lock().directory.layout() else {
            return Answer::retry_later("the layout of the shards has not been read yet");
        };
        let shard = layout.shard_of_job(id);
        let (key, value) = encode(&record);
        if !self.appender.can_store(&key, &value) {
            log::info!("event={event} id={id} outcome=too_long bytes={}", value.len());
            let cause = "the job is longer than the platform's store accepts";
            return Answer::error(StatusCode::PAYLOAD_TOO_LARGE, cause);
        }
        let size_fields = size_fields(&record);
        let mut tries = 0;
        let mut maybe_stored = false;
        loop {
            tries += 1;
            let append =
                self.appender.append(shard, key.clone(), value.clone(), maybe_stored, deadline);
            match append.await {
                Ok(()) => {
                    self.shared.lock().handle_appended(record);
                    log::info!("event={event} id={id} outcome=stored tries={tries}{size_fields}");
                    return Answer::stored();
                }
                Err(e @ (LogError::NoEffect(_) | LogError::Refused(_))) if !maybe_stored => {
                    log::warn!(
                        "event={event} id={id} outcome=rejected tries={tries} cause=\"{e}\""
                    );
                    let cause = "the platform's store accepts no records at present";
                    return match self.appender.is_unresponsive(shard) {
                        true => Answer::retry_in(retry_delay(id), cause),
                        false => Answer::retry_later(cause),
                    };
                }
                Err(e) => {
                    maybe_stored = true;
                    // The log may still answer another VM. So the caller learns at once that the
                    // outcome is unknown, and can retry at that VM with the same id.
                    let is_unresponsive = tries > 1 && self.appender.is_unresponsive(shard);
                    if is_unresponsive || Instant::now() + RETRY_PAUSE >= deadline {
                        log::warn!(
                            "event={event} id={id} outcome=unknown tries={tries} cause=\"{e}\""
                        );
                        let status = StatusCode::GATEWAY_TIMEOUT;
                        return Answer::error(
                            status,
                            "it is not known whether the request was stored",
                        );
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Returns the kind, the estimated work and the terms of a submitted job as fields of a log line;
/// empty for other records.
fn size_fields(record: &Record) -> String {
    match record {
        Record::Submitted(_, spec) => {
            format!(
                " kind={} work_ms={} slack_permille={} target_latency_ms={}",
                spec.kind().label(),
                spec.work_ms(),
                spec.terms.slack_permille,
                spec.terms.target_latency_ms
            )
        }
        _ => String::new(),
    }
}

/// Returns the time after which a caller should retry while the log does not answer. The log stays
/// unresponsive for seconds, and most callers retry only a handful of times. Half of the callers
/// get a second more than the others.
fn retry_delay(id: JobId) -> Duration {
    const MIN_DELAY: Duration = Duration::from_secs(2);
    MIN_DELAY + Duration::from_secs(id.0 % 2)
}

/// Whether a job exists.
pub(crate) enum Existence {
    Exists,
    DoesNotExist,
    /// The states of jobs have not been read recently enough to be certain.
    Unknown,
}
