//! Callers that submit jobs, poll their states, cancel some of them, and record the answers.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use daisy_http::Http;
use fastrand::Rng;
use http::Method;
use http_body_util::Full;
use tokio::{task::JoinSet, time::sleep};

use crate::plan::Plan;

/// The number of concurrent callers; each keeps its connections open.
const CALLER_COUNT: usize = 6;
/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of tries of a submission whose outcome is unknown.
const SUBMIT_TRIES_MAX: usize = 4;

/// What a job requires of the places and times of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Constraint {
    /// Nothing.
    None,
    /// Workers of kind `a`.
    Label,
    /// At most one task of a step on a worker.
    OnePerWorker,
    /// A task of a second step after all others.
    Order,
    /// All tasks at the same time; the end of one as done stands for all.
    Gang,
    /// Several occurrences, the first of which is due at this time, [`INTERVAL`] apart.
    Timed(Instant),
}

/// The number of occurrences of a job at set times.
pub const OCCURRENCES: usize = 3;
/// The time between them.
pub const INTERVAL: Duration = Duration::from_millis(700);

impl Constraint {
    /// Returns what the job with this id requires.
    fn of(id: u64) -> Constraint {
        /// How long after its submission a job's first occurrence is due.
        const FIRST_DUE: Duration = Duration::from_millis(900);
        match id % 8 {
            0 => Constraint::Label,
            1 => Constraint::OnePerWorker,
            2 => Constraint::Order,
            4 => Constraint::Gang,
            3 => Constraint::Timed(Instant::now() + FIRST_DUE),
            _ => Constraint::None,
        }
    }

    /// Returns the fields of the job and of its first step, and the further steps.
    fn fields(self) -> (String, &'static str, &'static str) {
        match self {
            Constraint::None => (String::new(), "", ""),
            Constraint::Label => (String::new(), r#","required-label":"a""#, ""),
            Constraint::Gang => (String::new(), r#","gang":true"#, ""),
            Constraint::OnePerWorker => (String::new(), r#","anti-affinity":1"#, ""),
            Constraint::Order => {
                let second =
                    r#",{"count":1,"cpu":500,"mem-mb":16,"est-runtime-ms":400,"depends-on":[0]}"#;
                (String::new(), "", second)
            }
            Constraint::Timed(first) => {
                let wall =
                    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
                let first = wall + (first - Instant::now());
                let (first_ms, interval_ms) = (first.as_millis(), INTERVAL.as_millis());
                let times = format!(
                    r#","start-at-ms":{first_ms},"interval-ms":{interval_ms},"repeats":{OCCURRENCES}"#
                );
                (times, "", "")
            }
        }
    }
}

/// A job and all answers that its caller received.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    /// The id of the job.
    pub id: String,
    /// The number of its tasks.
    pub task_count: usize,
    /// What it requires of the places and times of its tasks.
    pub constraint: Constraint,
    /// The statuses of all tries to submit it; 0 for no answer.
    pub submit_statuses: Vec<u16>,
    /// When the caller was told that it was accepted.
    pub accepted_at: Option<Instant>,
    /// When its cancellation was sent.
    pub cancel_sent_at: Option<Instant>,
    /// When the caller was told that the cancellation was accepted.
    pub cancelled_at: Option<Instant>,
    /// The answers to polls of its state, in the order of time.
    pub answers: Vec<StateAnswer>,
}

/// A VM's answer to a poll of a job's state.
#[derive(Debug, Clone)]
pub struct StateAnswer {
    /// When it was received.
    pub received_at: Instant,
    /// The index of the VM.
    pub vm: usize,
    /// The status; 0 for no answer.
    pub status: u16,
    /// The body, which names the state.
    pub body: String,
}

/// The running callers.
pub struct Callers {
    jobs: Arc<Mutex<Vec<SubmittedJob>>>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Starts callers that submit jobs as the plan says.
    pub fn start(seed: u64, vms: Vec<SocketAddr>, plan: &Plan) -> Callers {
        let jobs = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = JoinSet::new();
        let until = Instant::now() + plan.duration;
        let kinds = (plan.mixes_kinds, plan.has_constraints);
        let pause_ms = plan.pause.start.as_millis() as u64..plan.pause.end.as_millis() as u64;
        for number in 0..CALLER_COUNT {
            let rng = Rng::with_seed(seed * 1_000 + number as u64);
            let pause_ms = pause_ms.clone();
            tasks.spawn(submit_jobs_until(until, rng, vms.clone(), kinds, pause_ms, jobs.clone()));
        }
        Callers { jobs, tasks }
    }

    /// Waits for all callers, and returns their jobs.
    pub async fn finish(mut self) -> Vec<SubmittedJob> {
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("a caller does not panic");
        }
        let jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.clone()
    }
}

/// Submits a job of `task_count` tasks to the first VM that accepts it.
pub async fn submit_job(vms: &[SocketAddr], task_count: usize) -> SubmittedJob {
    let http = Http::new(None);
    let mut job = new_job(1, task_count);
    for vm in vms {
        let body = job_body(&job, false);
        let status = send_request(&http, *vm, Method::POST, &job.id, body).await.0;
        job.submit_statuses.push(status);
        if status == 200 {
            job.accepted_at = Some(Instant::now());
            return job;
        }
    }
    panic!("no VM accepted the job: {:?}", job.submit_statuses);
}

/// Returns a job that is not submitted yet.
fn new_job(id: u64, task_count: usize) -> SubmittedJob {
    SubmittedJob {
        id: format!("{id:016x}"),
        task_count,
        constraint: Constraint::None,
        submit_statuses: Vec::new(),
        accepted_at: None,
        cancel_sent_at: None,
        cancelled_at: None,
        answers: Vec::new(),
    }
}

async fn submit_jobs_until(
    until: Instant,
    mut rng: Rng,
    vms: Vec<SocketAddr>,
    kinds: (bool, bool),
    pause_ms: Range<u64>,
    jobs: Arc<Mutex<Vec<SubmittedJob>>>,
) {
    let http = Http::new(None);
    while Instant::now() < until {
        let job = submit_and_poll_job(&http, &mut rng, &vms, kinds).await;
        jobs.lock().unwrap_or_else(PoisonError::into_inner).push(job);
        sleep(Duration::from_millis(rng.u64(pause_ms.clone()))).await;
    }
}

/// Submits a job and polls its state some times; one accepted job in six is cancelled.
async fn submit_and_poll_job(
    http: &Http,
    rng: &mut Rng,
    vms: &[SocketAddr],
    (mixes_kinds, has_constraints): (bool, bool),
) -> SubmittedJob {
    let task_count = rng.usize(1..=6);
    let id = rng.u64(..);
    let mut job = new_job(id, task_count);
    let is_long_running = mixes_kinds && job.id.ends_with(['8', 'f']);
    if has_constraints && !is_long_running {
        job.constraint = Constraint::of(id);
    }
    let body = job_body(&job, is_long_running);
    job.task_count = match job.constraint {
        Constraint::Order => task_count + 1,
        Constraint::Timed(_) => task_count * OCCURRENCES,
        _ => task_count,
    };
    for _ in 0..SUBMIT_TRIES_MAX {
        let vm = vms[rng.usize(..vms.len())];
        let status = send_request(http, vm, Method::POST, &job.id, body.clone()).await.0;
        job.submit_statuses.push(status);
        if status == 200 {
            job.accepted_at = Some(Instant::now());
            break;
        }
        if status == 503 {
            break;
        }
    }
    let will_cancel = job.accepted_at.is_some() && rng.u32(..6) == 0;
    for poll in 0..rng.usize(1..6) {
        sleep(Duration::from_millis(rng.u64(20..300))).await;
        let vm_index = rng.usize(..vms.len());
        let vm = vms[vm_index];
        if will_cancel && poll == 0 {
            job.cancel_sent_at = Some(Instant::now());
            let status = send_request(http, vm, Method::DELETE, &job.id, String::new()).await.0;
            // Both statuses mean that the job no longer runs.
            job.cancelled_at = matches!(status, 200 | 410).then(Instant::now);
            continue;
        }
        let (status, body) = send_request(http, vm, Method::GET, &job.id, String::new()).await;
        job.answers.push(StateAnswer { received_at: Instant::now(), vm: vm_index, status, body });
    }
    job
}

/// Returns the body of a submission: a job of `task_count` tasks and what its constraint adds, with
/// half a core for each task. A long-running one may be rejected beside the others.
fn job_body(job: &SubmittedJob, is_long_running: bool) -> String {
    let (task_count, (times, place, further)) = (job.task_count, job.constraint.fields());
    let kind = if is_long_running { r#","long-running":true"# } else { "" };
    // Our workers know a gang by its job's text.
    let text = match job.constraint {
        Constraint::Gang => format!("gang {task_count}"),
        _ => "text".to_owned(),
    };
    format!(
        r#"{{"spec":"{text}"{times},"steps":[{{"count":{task_count},"cpu":500,"mem-mb":16,"est-runtime-ms":400{kind}{place}}}{further}]}}"#
    )
}

/// Sends a VM a request about a job, and returns the status and the body of the answer; status 0 if
/// no complete answer was received.
pub async fn send_request(
    http: &Http,
    vm: SocketAddr,
    method: Method,
    id: &str,
    body: String,
) -> (u16, String) {
    let req = http.request(method, vm, &format!("/jobs/{id}")).header("host", "shop.example");
    let req = req.body(Full::from(body)).expect("a request");
    match http.call(req, ANSWER_TIMEOUT, 1 << 20).await {
        Ok(reply) => (reply.status.as_u16(), String::from_utf8_lossy(&reply.body).into_owned()),
        Err(_) => (0, String::new()),
    }
}
