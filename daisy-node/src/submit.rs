//! What a caller's request comes to.

use std::time::Duration;

use daisy_platform::{StoreError, pending_body, state_body, submission};
use daisy_workflow::{JobId, Queue, Record, encode};
use http::{Method, StatusCode};
use tokio::time::{Instant, sleep};

use crate::{append::Appender, clock, shared::Shared};

/// An answer to a caller.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: StatusCode,
    pub body: Vec<u8>,
    /// When to come back, where the request had no effect.
    pub retry_after: Option<Duration>,
}

impl Answer {
    pub fn new(status: StatusCode, body: Vec<u8>) -> Answer {
        Answer { status, body, retry_after: None }
    }

    pub fn error(status: StatusCode, why: &str) -> Answer {
        Answer::new(status, serde_json::json!({ "error": why }).to_string().into_bytes())
    }

    /// The request had no effect; the caller may come back in a second.
    pub fn later(why: &str) -> Answer {
        Answer::later_by(Duration::from_secs(1), why)
    }

    /// The request had no effect; the caller may come back after this time.
    pub fn later_by(after: Duration, why: &str) -> Answer {
        let answer = Answer::error(StatusCode::SERVICE_UNAVAILABLE, why);
        Answer { retry_after: Some(after), ..answer }
    }
}

/// Answers requests about jobs.
#[derive(Debug, Clone)]
pub(crate) struct Submissions {
    pub shared: Shared,
    pub appender: Appender,
}

impl Submissions {
    /// Answers a request to `queue` whose path ends with `rest`, until `deadline`.
    pub async fn answer(
        &self,
        method: &Method,
        queue: &Queue,
        rest: &str,
        body: &[u8],
        deadline: Instant,
    ) -> Answer {
        if rest.is_empty() && method == Method::GET {
            let pending = self.shared.lock().directory.pending(&queue.terms.queue);
            return Answer::new(StatusCode::OK, pending_body(pending));
        }
        let Ok(id) = rest.parse::<JobId>() else {
            return Answer::error(StatusCode::NOT_FOUND, "no job has such an id");
        };
        match *method {
            Method::POST => self.submit(id, queue, body, deadline).await,
            Method::GET => self.state(id).await,
            Method::DELETE => self.cancel(id, deadline).await,
            _ => Answer::error(StatusCode::METHOD_NOT_ALLOWED, "POST, GET or DELETE"),
        }
    }

    async fn submit(&self, id: JobId, queue: &Queue, body: &[u8], deadline: Instant) -> Answer {
        if self.shared.lock().state(id).is_some() {
            log::info!("event=submitted id={id} outcome=known");
            return Answer::new(StatusCode::OK, b"{}".to_vec());
        }
        let spec = match submission(body, queue.terms.clone(), clock::wall_ms()) {
            Ok(spec) => spec,
            Err(why) => {
                log::info!("event=submitted id={id} outcome=malformed cause={why:?}");
                return Answer::error(StatusCode::BAD_REQUEST, &why);
            }
        };
        let layout = self.shared.lock().directory.layout();
        if layout.is_some_and(|it| self.appender.is_cut_off(it.shard_of_job(id))) {
            log::warn!("event=submitted id={id} outcome=rejected cause=\"the log is silent\"");
            return Answer::later_by(after_silence(id), "the platform's store does not answer");
        }
        let record = Record::Submitted(id, spec);
        self.write(id, "submitted", record, deadline).await
    }

    /// Stores a cancellation, whether the job is known here or not. It may be stored and not told of yet,
    /// or come to be by an append that is still under way: it never runs either way.
    async fn cancel(&self, id: JobId, deadline: Instant) -> Answer {
        self.write(id, "cancelled", Record::Cancelled(id), deadline).await
    }

    async fn state(&self, id: JobId) -> Answer {
        match self.find(id).await {
            Found::Yes => {
                let state = self.shared.lock().state(id);
                let Some(state) = state else {
                    return Answer::error(StatusCode::GONE, "no such job");
                };
                Answer::new(StatusCode::OK, state_body(state))
            }
            Found::No => Answer::error(StatusCode::GONE, "no such job"),
            Found::Unsure => Answer::later("the state of jobs is not known at present"),
        }
    }

    /// Whether a job exists. One that another VM has just accepted may not have been told of yet,
    /// so an unknown one is looked for again.
    async fn find(&self, id: JobId) -> Found {
        /// The owner reads a submission within some 20 ms, tells of it within 40 ms more, and this
        /// VM reads that within 200 ms.
        const AGAIN: Duration = Duration::from_millis(110);
        const TRIES: u32 = 4;
        for _ in 0..TRIES {
            if self.shared.lock().state(id).is_some() {
                return Found::Yes;
            }
            sleep(AGAIN).await;
        }
        let known = self.shared.lock();
        match known.state(id) {
            Some(_) => Found::Yes,
            None if known.is_complete(id) => Found::No,
            None => Found::Unsure,
        }
    }

    /// Writes a record and answers by what came of it. Records repeat without a second effect.
    async fn write(&self, id: JobId, what: &str, record: Record, deadline: Instant) -> Answer {
        /// Left for the answer's way to the caller.
        const ANSWER_MARGIN: Duration = Duration::from_millis(60);
        /// Between tries whose effect is unknown.
        const PAUSE: Duration = Duration::from_millis(50);
        let deadline = deadline - ANSWER_MARGIN;
        let Some(layout) = self.shared.lock().directory.layout() else {
            return Answer::later("no layout of the workers was read yet");
        };
        let shard = layout.shard_of_job(id);
        let (key, value) = encode(&record);
        let size = size(&record);
        let mut tries = 0;
        let mut unknown = false;
        loop {
            tries += 1;
            let append = self.appender.append(shard, key.clone(), value.clone(), unknown, deadline);
            match append.await {
                Ok(()) => {
                    self.shared.lock().stored(record);
                    log::info!("event={what} id={id} outcome=stored tries={tries}{size}");
                    return Answer::new(StatusCode::OK, b"{}".to_vec());
                }
                Err(e) if !unknown && matches!(e, StoreError::NotDone(_)) => {
                    log::warn!("event={what} id={id} outcome=rejected tries={tries} cause=\"{e}\"");
                    let why = "the platform's store takes nothing at present";
                    return match self.appender.is_cut_off(shard) {
                        true => Answer::later_by(after_silence(id), why),
                        false => Answer::later(why),
                    };
                }
                Err(e) => {
                    unknown = true;
                    // Where the log stays silent, another VM may reach it: the caller is told at
                    // once that the outcome is unknown, and asks there with the same id.
                    let silent = tries > 1 && self.appender.is_cut_off(shard);
                    if silent || Instant::now() + PAUSE >= deadline {
                        log::warn!(
                            "event={what} id={id} outcome=unknown tries={tries} cause=\"{e}\""
                        );
                        let status = StatusCode::GATEWAY_TIMEOUT;
                        return Answer::error(status, "it is not known whether it was stored");
                    }
                    sleep(PAUSE).await;
                }
            }
        }
    }
}

/// Of a submission, the job's kind and its estimated work as fields of a line.
fn size(record: &Record) -> String {
    match record {
        Record::Submitted(_, spec) => {
            format!(" kind={} work_ms={}", spec.kind().label(), spec.work_ms())
        }
        _ => String::new(),
    }
}

/// When a caller had better come back to a log that has fallen silent: silences last for seconds, and
/// most callers ask a handful of times. Half of them come a second later than the others.
fn after_silence(id: JobId) -> Duration {
    const SHORTEST: Duration = Duration::from_secs(2);
    SHORTEST + Duration::from_secs(id.0 % 2)
}

/// Whether a job exists.
enum Found {
    Yes,
    No,
    /// The log was not read for a while.
    Unsure,
}
