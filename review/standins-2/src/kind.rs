//! ROUTE: a start on a worker without the label that the step requires.

use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    fleet::{Fleet, Setting, Verdict},
    node::wait_until,
    store::Store,
    worker::Kind,
};

/// How long the crashed worker is down in each round, in milliseconds; the site's largest is 4.5 s.
const DOWN_MS: [u64; 10] = [1_150, 1_180, 1_200, 1_220, 1_950, 1_980, 2_000, 2_020, 1_160, 1_190];
const WATCH: Duration = Duration::from_millis(2_500);

fn kind(name: &str) -> Kind {
    Kind { labels: vec![name.to_owned(), "r1-1".to_owned()], cpu: 4_000 }
}

pub async fn run(setting: &Setting) -> Verdict {
    let Ok(store) = Store::start().await else { return Verdict::CouldNotRun };
    // One worker of eight crashes: `srv_crash` has a share of 0.14 at most on the site.
    let mut kinds = vec![kind("b"); 7];
    kinds.push(kind("a"));
    let Some(mut fleet) = Fleet::start(setting, store, 3, &kinds).await else {
        return Verdict::CouldNotRun;
    };
    if !fleet.wait_ready(Duration::from_secs(20)).await {
        return Verdict::CouldNotRun;
    }
    let id = "00000000000000a0";
    let body = json!({ "spec": "work-ms=60000", "steps": [{ "count": 1, "cpu": 3_000,
        "mem-mb": 100, "est-runtime-ms": 60_000, "required-label": "a" }] });
    let path = format!("/jobs/{id}");
    let sent = fleet.client.send(Method::POST, &fleet.nodes[0], &path, &body.to_string()).await;
    if sent.is_none_or(|it| it.0 != 200) {
        return Verdict::CouldNotRun;
    }
    let last = kinds.len() - 1;
    let runs = async |fleet: &Fleet| !fleet.workers[last].running().is_empty();
    if !wait_until(Duration::from_secs(20), async || runs(&fleet).await).await {
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_secs(2)).await;
    if !setting.trouble {
        sleep(Duration::from_secs(10)).await;
    }
    let rounds: &[u64] = if setting.trouble { &DOWN_MS } else { &[] };
    let is_wrong =
        |fleet: &Fleet| fleet.starts().into_iter().find(|it| !it.labels.contains(&"a".to_owned()));
    for down in rounds.iter().map(|it| Duration::from_millis(*it)) {
        fleet.workers[last].crash();
        sleep(down).await;
        if fleet.workers[last].restart(kind("b")).await.is_err() {
            return Verdict::CouldNotRun;
        }
        let until = Instant::now() + WATCH;
        while Instant::now() < until && is_wrong(&fleet).is_none() {
            sleep(Duration::from_millis(20)).await;
        }
        if let Some(it) = is_wrong(&fleet) {
            fleet.recorder.say(format!(
                "down for {down:?}: {} requires label a and was started on {} with labels {:?}",
                it.task, it.worker, it.labels
            ));
            return Verdict::Broken;
        }
        fleet.workers[last].crash();
        sleep(down).await;
        if fleet.workers[last].restart(kind("a")).await.is_err() {
            return Verdict::CouldNotRun;
        }
        if !wait_until(Duration::from_secs(15), async || runs(&fleet).await).await {
            fleet.recorder.say("the task did not come back to a worker with its label");
            return Verdict::CouldNotRun;
        }
        // Long enough for a list of the worker to name the run.
        sleep(Duration::from_millis(2_200)).await;
    }
    match is_wrong(&fleet) {
        Some(_) => Verdict::Broken,
        None => Verdict::Held,
    }
}
