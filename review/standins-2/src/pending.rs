//! MIXED: a queue's `pending` leaves out jobs of which no task has begun.

use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;
use tokio::time::{sleep, sleep_until};

use crate::{
    fleet::{Fleet, Setting, Verdict},
    node::wait_until,
    store::Store,
    worker::Kind,
};

/// One worker of twelve: `srv_grey` with `errors` has a share of 0.085 on the site.
const WORKERS: usize = 12;
/// How long it refuses starts; the site has 6.5 s.
const GREY: Duration = Duration::from_millis(6_500);
/// Cores of a worker, each taken by one long task.
const CORES: usize = 4;
const WAITING: usize = 6;
/// `visible_ms` and 2 s.
const COUNTED_AFTER: Duration = Duration::from_millis(5_000);

fn job(count: usize, work_ms: u64) -> String {
    json!({ "spec": format!("work-ms={work_ms}"), "steps": [{ "count": count, "cpu": 1_000,
        "mem-mb": 100, "est-runtime-ms": work_ms }] })
    .to_string()
}

pub async fn run(setting: &Setting) -> Verdict {
    let Ok(store) = Store::start().await else { return Verdict::CouldNotRun };
    let kind = Kind { labels: vec!["a".into(), "r1-1".into()], cpu: CORES as u32 * 1_000 };
    let kinds = vec![kind; WORKERS];
    let Some(fleet) = Fleet::start(setting, store, 3, &kinds).await else {
        return Verdict::CouldNotRun;
    };
    if !fleet.wait_ready(Duration::from_secs(20)).await {
        return Verdict::CouldNotRun;
    }
    // A first job shows that the workers have an owner.
    let node = &fleet.nodes[0];
    let sent = fleet.client.send(Method::POST, node, "/jobs/00000000000000a0", &job(1, 50)).await;
    let has_run = wait_until(Duration::from_secs(20), async || !fleet.starts().is_empty()).await;
    if sent.is_none_or(|it| it.0 != 200) || !has_run {
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_millis(500)).await;

    let grey = &fleet.workers[WORKERS - 1];
    let began = Instant::now();
    if setting.trouble {
        grey.refuse_starts(true);
    }
    let long = job((WORKERS - 1) * CORES, 40_000);
    let long_sent = fleet.client.send(Method::POST, node, "/jobs/00000000000000b0", &long).await;
    let is_full = async || {
        fleet.workers.iter().map(|it| it.running().len()).sum::<usize>() == (WORKERS - 1) * CORES
    };
    if long_sent.is_none_or(|it| it.0 != 200)
        || !wait_until(Duration::from_millis(1_000), is_full).await
    {
        fleet.recorder.say("the long tasks did not all begin within a second");
        return Verdict::CouldNotRun;
    }
    let mut accepted = Vec::new();
    for at in 0..WAITING {
        let id = format!("{:016x}", 0xc0 + at);
        let got =
            fleet.client.send(Method::POST, node, &format!("/jobs/{id}"), &job(1, 40_000)).await;
        if got.is_some_and(|it| it.0 == 200) {
            accepted.push(id);
        }
    }
    let accepted_at = Instant::now();
    if accepted.len() < WAITING {
        return Verdict::CouldNotRun;
    }
    sleep_until((accepted_at + COUNTED_AFTER + Duration::from_millis(150)).into()).await;
    let mut broken = false;
    for node in &fleet.nodes {
        // Begun before the answer: a job that begins meanwhile doesn't count as waiting.
        let answer = fleet.client.send(Method::GET, node, "/jobs/", "").await;
        let starts = fleet.starts();
        let begun = |id: &String| starts.iter().any(|it| it.task.starts_with(id.as_str()));
        let waiting = accepted.iter().filter(|it| !begun(it)).count();
        let pending = answer.and_then(|(status, body)| {
            let body: serde_json::Value = serde_json::from_str(&body).ok()?;
            (status == 200).then(|| body["pending"].as_u64()).flatten()
        });
        let Some(pending) = pending else { return Verdict::CouldNotRun };
        fleet.recorder.say(format!(
            "{}: {waiting} of {} jobs accepted over 5 s before have no task begun; pending says {pending}",
            node.name,
            accepted.len()
        ));
        broken |= (pending as usize) * 2 < waiting;
    }
    fleet
        .recorder
        .say(format!("asked {:?} after the worker began to refuse starts", began.elapsed()));
    for id in &accepted {
        fleet.client.send(Method::GET, node, &format!("/jobs/{id}"), "").await;
    }
    if setting.trouble {
        sleep_until((began + GREY).into()).await;
        grey.refuse_starts(false);
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
