//! A job of many tasks comes, and all of them fit: the record of their starts has more bytes than
//! the store takes in a record.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use serde_json::json;
use tokio::time::sleep;

use crate::{Site, Verdict, node::Node, worker::Work};

pub const WORKERS: usize = 66;
pub const CORES: u32 = 64;
pub const NODES: usize = 7;
/// How long clients hand in quick jobs after the others.
const TRAFFIC: Duration = Duration::from_secs(15);
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// How long a job may have nothing running, by the rule.
const IDLE_MAX: Duration = Duration::from_secs(3);
const LARGE_ID: &str = "5c0e7a21d94b0000";

pub fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

pub async fn play(site: &mut Site, trouble: bool) -> Verdict {
    let tasks = number("TASKS", 17_000);
    let per_job = if trouble { tasks } else { number("TASKS_SMALL", 400) };
    let chars = number("CHECKPOINT_CHARS", 16) as usize;
    let cpu = number("CPU", 200) as u32;
    let work_ms = number("WORK_MS", 12_000);
    site.configure();
    for _ in 0..WORKERS {
        site.add_worker(CORES, chars).await;
    }
    site.start_nodes(NODES);
    if !site.wait_ready(Duration::from_secs(15)).await {
        return Verdict::CouldNotRun("the processes were not ready in 15 s".to_owned());
    }
    sleep(Duration::from_secs(3)).await;
    // The large job, or as many tasks in smaller jobs.
    let mut jobs = Vec::new();
    for first in (0..tasks).step_by(per_job as usize) {
        let count = per_job.min(tasks - first);
        let id = format!("{:016x}", u64::from_str_radix(LARGE_ID, 16).unwrap() + first);
        let step = json!({ "count": count, "cpu": cpu, "mem-mb": 100,
            "est-runtime-ms": work_ms, "saves-progress": true });
        let work =
            Work { cpu, time: Some(Duration::from_millis(work_ms)), saves: true, tail_ms: 0 };
        if !site.submit(0, "full", &id, step, work).await {
            return Verdict::CouldNotRun("a job was not accepted".to_owned());
        }
        jobs.push(Accepted { queue: "full", id, tasks: count, lasts: false });
        sleep(Duration::from_millis(50)).await;
    }
    quick_jobs_and_verdict(site, jobs).await
}

/// A job that was accepted: its queue, its id, how many tasks it has, and whether they last.
pub struct Accepted {
    pub queue: &'static str,
    pub id: String,
    pub tasks: u64,
    pub lasts: bool,
}

/// Hands quick jobs in, waits, and judges by the rule whether a job has been lost.
pub async fn quick_jobs_and_verdict(site: &mut Site, mut jobs: Vec<Accepted>) -> Verdict {
    // Quick jobs, as at other times.
    let began = Instant::now();
    for quick in 0u64.. {
        if began.elapsed() > TRAFFIC {
            break;
        }
        let id = format!("7a{quick:014x}");
        let step = json!({ "count": 2, "cpu": 1_000, "mem-mb": 100, "est-runtime-ms": 1_000 });
        let work =
            Work { cpu: 1_000, time: Some(Duration::from_millis(1_000)), saves: false, tail_ms: 0 };
        if site.submit(quick as usize, "quick", &id, step, work).await {
            jobs.push(Accepted { queue: "quick", id, tasks: 2, lasts: false });
        }
        sleep(Duration::from_millis(500)).await;
    }
    site.recorder.line(&format!("the traffic ends; {} jobs were accepted", jobs.len()));
    // RESTART=1 shows whether a restart of all processes would heal the system.
    if std::env::var("RESTART").is_ok() {
        site.nodes.iter_mut().for_each(Node::restart);
        site.recorder.line("all processes are killed and started again");
        site.wait_ready(Duration::from_secs(15)).await;
    }
    sleep(FINISH).await;
    // The jobs are asked for, and what runs is observed.
    let mut broken = Vec::new();
    let mut answers = Vec::new();
    for (at, Accepted { queue, id, .. }) in jobs.iter().enumerate() {
        let (clients, queue, id) = (site.clients(), *queue, id.clone());
        answers.push(tokio::spawn(async move {
            let state = clients.state(at, queue, &id).await;
            (id, state)
        }));
        sleep(Duration::from_millis(10)).await;
    }
    for answer in answers {
        let (id, state) = answer.await.expect("the task of a client");
        if state.is_empty() {
            broken.push(format!("job {id} is not known or gets no answer"));
        }
    }
    let mut idle_since: Vec<Option<Instant>> = vec![Some(Instant::now()); jobs.len()];
    let began = Instant::now();
    while began.elapsed() < IDLE_MAX + Duration::from_millis(500) {
        sleep(Duration::from_millis(100)).await;
        let (mut running, mut used) = (Vec::new(), 0u64);
        for worker in &site.workers {
            let (tasks, cpu) = worker.running();
            running.extend(tasks);
            used += u64::from(cpu);
        }
        let capacity = u64::from(CORES) * 1_000 * WORKERS as u64;
        let half_free = used * 2 < capacity;
        let done = done_by_job(site);
        for (Accepted { id, tasks, lasts, .. }, since) in jobs.iter().zip(&mut idle_since) {
            let runs = running.iter().any(|it| it.starts_with(id.as_str()));
            let done = !lasts && done.get(id).copied().unwrap_or_default() == *tasks;
            if runs || done || !half_free {
                *since = None;
            } else {
                since.get_or_insert_with(Instant::now);
            }
        }
    }
    let (oversized, largest) = site.store.sizes();
    let mut idle = 0;
    let done = done_by_job(site);
    for (Accepted { queue, id, tasks, .. }, since) in jobs.iter().zip(&idle_since) {
        if since.is_some_and(|it| it.elapsed() >= IDLE_MAX) {
            idle += 1;
            if idle <= 3 {
                site.recorder.line(&format!(
                    "job {queue}/{id}: {} of {tasks} tasks done, nothing has run for {IDLE_MAX:?}",
                    done.get(id).copied().unwrap_or_default()
                ));
            }
        }
    }
    site.recorder.line(&format!(
        "of {} accepted jobs {idle} have open tasks and nothing running for {IDLE_MAX:?} with over \
         half of the service free; {} are not known or get no answer; the store rejected \
         {oversized} appends for their size; its largest record has {largest} bytes",
        jobs.len(),
        broken.len()
    ));
    for node in &site.nodes {
        let lines = node.log_lines("event=log_lost topic=Progress");
        if let Some(line) = lines.last() {
            site.recorder.line(&format!("{} logged {} such lines: {line}", node.name, lines.len()));
        }
    }
    for node in &mut site.nodes {
        if !node.runs() {
            broken.push(format!("{} has ended by itself", node.name));
        }
    }
    match (idle, broken.first()) {
        (0, None) => Verdict::Held,
        (0, Some(how)) => Verdict::Broken(format!("{how}, and {} more", broken.len() - 1)),
        _ => Verdict::Broken(format!("LOST: {idle} of {} jobs have nothing running", jobs.len())),
    }
}

/// Returns how many tasks of each job have ended as done.
fn done_by_job(site: &Site) -> HashMap<String, u64> {
    let mut done = HashSet::new();
    for worker in &site.workers {
        let ended = worker.runs().into_iter().filter(|it| matches!(it.ended, Some((_, "done"))));
        done.extend(ended.map(|it| it.task));
    }
    let mut counts = HashMap::new();
    for task in done {
        let job = task.split('.').next().unwrap_or_default().to_owned();
        *counts.entry(job).or_default() += 1;
    }
    counts
}
