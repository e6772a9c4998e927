//! Callers who submit jobs, ask for them, cancel some, and note what they were told.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use daisy_http::Http;
use fastrand::Rng;
use http::Method;
use http_body_util::Full;
use tokio::{task::JoinSet, time::sleep};

/// Callers at one time; each keeps its connections open.
const CALLERS: usize = 6;
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Tries of a submission whose outcome is unknown.
const TRIES: usize = 4;

/// What one caller was told of its job.
#[derive(Debug, Clone)]
pub struct Call {
    /// The job.
    pub id: String,
    /// Its tasks.
    pub tasks: usize,
    /// Statuses of its submissions; 0 for none.
    pub submitted: Vec<u16>,
    /// When it was accepted.
    pub accepted: Option<Instant>,
    /// When its cancellation was sent, and when it was accepted.
    pub cancel_sent: Option<Instant>,
    /// See [`cancel_sent`](Call::cancel_sent).
    pub cancelled: Option<Instant>,
    /// Answers to questions about it, in the order of time.
    pub told: Vec<Told>,
}

/// What a VM said of a job.
#[derive(Debug, Clone)]
pub struct Told {
    /// When.
    pub at: Instant,
    /// Which VM.
    pub vm: usize,
    /// The status; 0 for no answer.
    pub status: u16,
    /// The body.
    pub state: String,
}

/// Callers at work.
pub struct Callers {
    calls: Arc<Mutex<Vec<Call>>>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Starts callers that go on for `length`.
    pub fn start(seed: u64, vms: Vec<SocketAddr>, length: Duration) -> Callers {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = JoinSet::new();
        let until = Instant::now() + length;
        for number in 0..CALLERS {
            let rng = Rng::with_seed(seed * 1_000 + number as u64);
            tasks.spawn(call_until(until, rng, vms.clone(), calls.clone()));
        }
        Callers { calls, tasks }
    }

    /// Waits for all callers, and gives what they were told.
    pub async fn finish(mut self) -> Vec<Call> {
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("a caller does not fail");
        }
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }
}

async fn call_until(
    until: Instant,
    mut rng: Rng,
    vms: Vec<SocketAddr>,
    calls: Arc<Mutex<Vec<Call>>>,
) {
    let http = Http::new(None);
    while Instant::now() < until {
        let call = one_job(&http, &mut rng, &vms).await;
        calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
        sleep(Duration::from_millis(rng.u64(50..250))).await;
    }
}

/// Submits a job, asks for it some times, and cancels one in six.
async fn one_job(http: &Http, rng: &mut Rng, vms: &[SocketAddr]) -> Call {
    let tasks = rng.usize(1..=6);
    let id = format!("{:016x}", rng.u64(..));
    let mut call = Call {
        id,
        tasks,
        submitted: Vec::new(),
        accepted: None,
        cancel_sent: None,
        cancelled: None,
        told: Vec::new(),
    };
    for _ in 0..TRIES {
        let vm = vms[rng.usize(..vms.len())];
        let status = ask(http, vm, Method::POST, &call.id, body(tasks)).await.0;
        call.submitted.push(status);
        if status == 200 {
            call.accepted = Some(Instant::now());
            break;
        }
        if status == 503 {
            break;
        }
    }
    let cancels = call.accepted.is_some() && rng.u32(..6) == 0;
    for look in 0..rng.usize(1..6) {
        sleep(Duration::from_millis(rng.u64(20..300))).await;
        let number = rng.usize(..vms.len());
        let vm = vms[number];
        if cancels && look == 0 {
            call.cancel_sent = Some(Instant::now());
            let status = ask(http, vm, Method::DELETE, &call.id, String::new()).await.0;
            // Either answer says that the job runs no more.
            call.cancelled = matches!(status, 200 | 410).then(Instant::now);
            continue;
        }
        let (status, state) = ask(http, vm, Method::GET, &call.id, String::new()).await;
        call.told.push(Told { at: Instant::now(), vm: number, status, state });
    }
    call
}

/// A job of one step, half a core a task.
fn body(tasks: usize) -> String {
    format!(
        r#"{{"spec":"text","steps":[{{"count":{tasks},"cpu":500,"mem-mb":16,"est-runtime-ms":400}}]}}"#
    )
}

/// Asks a VM; status 0 for no whole answer.
pub async fn ask(
    http: &Http,
    vm: SocketAddr,
    method: Method,
    id: &str,
    body: String,
) -> (u16, String) {
    let req = http.request(method, vm, &format!("/jobs/{id}")).header("host", "shop.example");
    let req = req.body(Full::from(body)).expect("a request");
    match http.call(req, PATIENCE, 1 << 20).await {
        Ok(reply) => (reply.status.as_u16(), String::from_utf8_lossy(&reply.body).into_owned()),
        Err(_) => (0, String::new()),
    }
}
