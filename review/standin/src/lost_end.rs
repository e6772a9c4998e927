//! An idle worker loses power for a moment and starts again under its id; a task that it is given
//! then ends as done, and the next renewal acknowledges that end before anybody has read it.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use crate::{
    Site, Verdict,
    large_job::number,
    late_start::{self, runs_of, verdict},
    worker::Work,
};

/// How long the worker has no power: the pages' largest dose is 4.7 s.
const DARK: Duration = Duration::from_millis(300);
const TASK_CPU: u32 = 70_000;
const TASK_TIME: Duration = Duration::from_millis(250);
const TASK_ID: &str = "7a00000000000009";

async fn wait_done(site: &Site, id: &str) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(8) {
        if runs_of(site, id).iter().any(|(_, it)| matches!(it.ended, Some((_, "done")))) {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

pub async fn play(site: &mut Site, trouble: bool) -> Verdict {
    let sick = match late_start::begin(site).await {
        Ok((sick, _)) => sick,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    let step = json!({ "count": 1, "cpu": TASK_CPU, "mem-mb": 1_000, "est-runtime-ms": 250 });
    let work = Work { cpu: TASK_CPU, time: Some(TASK_TIME), saves: false, tail_ms: 0 };
    // Work of the worker's first life.
    for number in 0..3 {
        let id = format!("7a0000000000010{number}");
        let accepted = site.submit(number, "quick", &id, step.clone(), work.clone()).await;
        if !accepted || !wait_done(site, &id).await {
            return Verdict::CouldNotRun("the jobs before do not run".to_owned());
        }
    }
    sleep(Duration::from_secs(2)).await;
    let worker = site.workers[sick].clone();
    let from = Duration::from_millis(number("HOLD_AGE_MS", 1_100));
    while !(from..from + Duration::from_millis(60)).contains(&worker.hold_age()) {
        sleep(Duration::from_millis(5)).await;
    }
    if trouble {
        worker.lose_power(DARK).await;
    } else {
        sleep(DARK).await;
    }
    if !site.submit(3, "quick", TASK_ID, step, work).await || !wait_done(site, TASK_ID).await {
        return Verdict::CouldNotRun("the job does not run".to_owned());
    }
    sleep(Duration::from_secs(8)).await;
    let state = site.state(4, "quick", TASK_ID).await;
    site.recorder.line(&format!("the job is shown as {state}"));
    let runs = runs_of(site, TASK_ID);
    let noted_end = runs.iter().filter(|(_, it)| matches!(it.ended, Some((_, "done"))));
    let noted_end = noted_end.filter(|(_, it)| it.noted.is_some());
    let noted_end = noted_end.filter_map(|(_, it)| Some((it.run, it.ended?.0))).min();
    let again = noted_end.and_then(|(run, end)| {
        runs.iter().find(|(_, it)| it.began > end).map(|(_, it)| (run, it.run))
    });
    match (verdict(site, TASK_ID), again) {
        (Verdict::Held, Some((run, later))) => Verdict::Broken(format!(
            "TWICE: run {later} was started after run {run} had ended as done, an end that was \
             taken note of"
        )),
        (verdict, _) => verdict,
    }
}
