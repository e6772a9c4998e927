//! A worker leaves a start order unanswered, crashes, starts again under its id, carries the order
//! out late, and is cut off: its lease is then longer than the system takes it to be.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use crate::{
    Site, Verdict,
    worker::{Run, Work},
};

pub const NODES: usize = 7;
pub const SMALL_WORKERS: usize = 4;
pub const SMALL_CORES: u32 = 64;
/// The two larger workers, as machines differ in size by half.
pub const LARGE_CORES: u32 = 96;
/// What only a large worker has room for, and only once.
const TASK_CPU: u32 = 70_000;
/// When the order is carried out: the pages name 2 to 12 s.
pub const ORDER_DELAY: Duration = Duration::from_millis(11_000);
/// How long the worker is cut off: the site's dose.
pub const CUT: Duration = Duration::from_millis(5_500);
/// The time since the last answered renewal when the worker is cut off.
const RENEWAL_AGE: Duration = Duration::from_millis(240);
pub const FIRST_ID: &str = "7a00000000000001";
const LAST_ID: &str = "7a00000000000003";

pub fn step(est_ms: u64, lasts: bool) -> serde_json::Value {
    match lasts {
        true => json!({ "count": 1, "cpu": TASK_CPU, "mem-mb": 1_000, "est-runtime-ms": est_ms,
            "long-running": true }),
        false => {
            json!({ "count": 1, "cpu": TASK_CPU, "mem-mb": 1_000, "est-runtime-ms": est_ms })
        }
    }
}

pub fn work(time: Option<Duration>) -> Work {
    Work { cpu: TASK_CPU, time, saves: false, tail_ms: 0 }
}

/// Returns the index of the worker that runs a job, once there is one.
pub async fn wait_running(site: &Site, id: &str, limit: Duration) -> Option<usize> {
    let began = Instant::now();
    while began.elapsed() < limit {
        let runs = |tasks: Vec<String>| tasks.iter().any(|it| it.starts_with(id));
        if let Some(at) = site.workers.iter().position(|it| runs(it.running().0)) {
            return Some(at);
        }
        sleep(Duration::from_millis(5)).await;
    }
    None
}

pub fn runs_of(site: &Site, id: &str) -> Vec<(String, Run)> {
    let of_worker = |worker: &std::sync::Arc<crate::worker::Worker>| {
        let id_of_worker = worker.id.clone();
        worker.runs().into_iter().map(move |it| (id_of_worker.clone(), it)).collect::<Vec<_>>()
    };
    site.workers.iter().flat_map(of_worker).filter(|(_, it)| it.task.starts_with(id)).collect()
}

/// Returns how long two runs of the job's task were under way at the same time.
pub fn overlap(site: &Site, id: &str) -> Duration {
    let now = Instant::now();
    let runs = runs_of(site, id);
    let mut longest = Duration::ZERO;
    for (at, (_, a)) in runs.iter().enumerate() {
        for (_, b) in &runs[at + 1..] {
            let end = |it: &Run| it.ended.map_or(now, |(at, _)| at);
            let (from, to) = (a.began.max(b.began), end(a).min(end(b)));
            longest = longest.max(to.saturating_duration_since(from));
        }
    }
    longest
}

/// Starts a small deployment and a lasting job that takes one of the large workers; returns the
/// indexes of the other one, which will have the trouble, and of that one.
pub async fn begin(site: &mut Site) -> Result<(usize, usize), String> {
    site.configure();
    for _ in 0..SMALL_WORKERS {
        site.add_worker(SMALL_CORES, 16).await;
    }
    for _ in 0..2 {
        site.add_worker(LARGE_CORES, 16).await;
    }
    site.start_nodes(NODES);
    if !site.wait_ready(Duration::from_secs(15)).await {
        return Err("the processes were not ready in 15 s".to_owned());
    }
    sleep(Duration::from_secs(3)).await;
    // A lasting job takes one of the large workers; the other one will have the trouble.
    if !site.submit(0, "lasting", FIRST_ID, step(400, true), work(None)).await {
        return Err("the first job was not accepted".to_owned());
    }
    let Some(other) = wait_running(site, FIRST_ID, Duration::from_secs(8)).await else {
        return Err("the first job does not run".to_owned());
    };
    let sick = SMALL_WORKERS + (1 - (other - SMALL_WORKERS));
    site.recorder.line(&format!("the worker in question is {}", site.workers[sick].id));
    Ok((sick, other))
}

pub async fn play(site: &mut Site, trouble: bool) -> Verdict {
    let sick = match begin(site).await {
        Ok((sick, _)) => sick,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    if trouble {
        site.workers[sick].delay_next_start(ORDER_DELAY);
    }
    let second = "7a00000000000002";
    let two_seconds = Some(Duration::from_millis(2_000));
    if !site.submit(1, "quick", second, step(2_000, false), work(two_seconds)).await {
        return Verdict::CouldNotRun("the second job was not accepted".to_owned());
    }
    let sent_at = Instant::now();
    if wait_running(site, second, Duration::from_secs(8)).await.is_none() {
        return Verdict::CouldNotRun("the second job does not run".to_owned());
    }
    sleep(Duration::from_millis(700)).await;
    if trouble {
        site.workers[sick].crash();
    }
    // The second job ends, after a new start if the worker crashed.
    let began = Instant::now();
    while !runs_of(site, second).iter().any(|(_, it)| matches!(it.ended, Some((_, "done")))) {
        if began.elapsed() > Duration::from_secs(8) {
            return Verdict::CouldNotRun("the second job does not end".to_owned());
        }
        sleep(Duration::from_millis(20)).await;
    }
    // A lasting job gets to the worker, and the first one is cancelled, which makes room elsewhere.
    if !site.submit(2, "lasting", LAST_ID, step(400, true), work(None)).await {
        return Verdict::CouldNotRun("the last job was not accepted".to_owned());
    }
    let at = wait_running(site, LAST_ID, Duration::from_secs(8)).await;
    if at != Some(sick) {
        return Verdict::CouldNotRun(format!("the last job runs on worker {at:?}"));
    }
    site.ask(3, "DELETE", &format!("/lasting/{FIRST_ID}"), "").await;
    while sent_at.elapsed() < ORDER_DELAY + Duration::from_secs(2) {
        if site.workers[sick].delayed_carried_out() > 0 {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    // Renewals come every 0.3 s. The worker is cut off shortly before the next one, so that the
    // lease ends before the cut by the system's own account, whatever the phase.
    let began = Instant::now();
    while site.workers[sick].since_hold() < RENEWAL_AGE && began.elapsed() < Duration::from_secs(2)
    {
        sleep(Duration::from_millis(5)).await;
    }
    site.recorder.line(&format!(
        "the lease of {} has {} ms left",
        site.workers[sick].id,
        site.workers[sick].lease_left_ms()
    ));
    if trouble {
        site.workers[sick].set_cut(true);
        sleep(CUT).await;
        site.workers[sick].set_cut(false);
    } else {
        sleep(CUT).await;
    }
    sleep(Duration::from_secs(4)).await;
    verdict(site, LAST_ID)
}

/// Records the runs of a job of one task, and returns whether two were under way at once.
pub fn verdict(site: &Site, id: &str) -> Verdict {
    for (worker, it) in runs_of(site, id) {
        let began = site.recorder.seconds() - it.began.elapsed().as_secs_f64();
        let ended = it.ended.map(|(at, how)| {
            format!("{:.3} ({how})", site.recorder.seconds() - at.elapsed().as_secs_f64())
        });
        site.recorder.line(&format!(
            "run {} of {} on {worker}: from {began:.3} to {}",
            it.run,
            it.task,
            ended.unwrap_or_else(|| "the end".to_owned())
        ));
    }
    let overlap = overlap(site, id);
    match overlap.is_zero() {
        true => Verdict::Held,
        false => Verdict::Broken(format!("TWICE: two runs of a task for {overlap:?}")),
    }
}
