//! LOST: a gang that has failed once is shown as `failed`, though four attempts are allowed.

use std::{collections::BTreeSet, time::Duration};

use http::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    fleet::{Fleet, Setting, Verdict},
    node::wait_until,
    store::Store,
    worker::Kind,
};

/// One worker of twelve: `srv_grey` with `errors` has a share of 0.085 on the site, for 6.5 s.
const WORKERS: usize = 12;
const GREY: Duration = Duration::from_millis(6_500);
/// How long a run takes to fail on the grey worker.
const FAILS_AFTER: Duration = Duration::from_millis(60);
const MEMBERS: usize = 4;
/// `max-attempts` of the queue, as on the site.
const MAX_ATTEMPTS: usize = 4;

pub async fn run(setting: &Setting) -> Verdict {
    let Ok(store) = Store::start().await else { return Verdict::CouldNotRun };
    let kind = Kind { labels: vec!["a".into(), "r1-1".into()], cpu: 16_000 };
    let Some(fleet) = Fleet::start(setting, store, 3, &vec![kind; WORKERS]).await else {
        return Verdict::CouldNotRun;
    };
    if !fleet.wait_ready(Duration::from_secs(20)).await {
        return Verdict::CouldNotRun;
    }
    let node = &fleet.nodes[0];
    // A first job shows which worker an idle fleet takes first.
    let single = json!({ "spec": "work-ms=300", "steps": [{ "count": 1, "cpu": 1_000,
        "mem-mb": 100, "est-runtime-ms": 300 }] });
    let first = "/jobs/00000000000000a0";
    let sent = fleet.client.send(Method::POST, node, first, &single.to_string()).await;
    let has_run = wait_until(Duration::from_secs(20), async || !fleet.starts().is_empty()).await;
    if sent.is_none_or(|it| it.0 != 200) || !has_run {
        return Verdict::CouldNotRun;
    }
    let first_choice = fleet.starts()[0].worker.clone();
    sleep(Duration::from_millis(2_000)).await;

    let grey = fleet.workers.iter().find(|it| it.id == first_choice);
    if let Some(grey) = grey.filter(|_| setting.trouble) {
        grey.fail_runs(Some(FAILS_AFTER));
    }
    let body = json!({ "spec": "work-ms=500", "steps": [{ "count": MEMBERS, "cpu": 1_000,
        "mem-mb": 100, "est-runtime-ms": 500, "gang": true }] });
    let path = "/jobs/00000000000000b0";
    let sent = fleet.client.send(Method::POST, node, path, &body.to_string()).await;
    if sent.is_none_or(|it| it.0 != 200) {
        return Verdict::CouldNotRun;
    }
    let mut state = String::new();
    let ended = async || {
        let got = fleet.client.send(Method::GET, node, path, "").await;
        state = got.map(|it| it.1).unwrap_or_default();
        state.contains("completed") || state.contains("failed")
    };
    let has_ended = wait_until(GREY, ended).await;
    if let Some(grey) = grey {
        grey.fail_runs(None);
    }
    if !has_ended {
        sleep(Duration::from_secs(3)).await;
    }
    let starts = fleet.starts();
    let gang: Vec<_> = starts.iter().filter(|it| it.task.starts_with("00000000000000b0")).collect();
    let runs: BTreeSet<u64> = gang.iter().map(|it| it.run).collect();
    let most = (0..MEMBERS).map(|at| {
        let task = format!("00000000000000b0.0.0.{at}");
        gang.iter().filter(|it| it.task == task).count()
    });
    let most = most.max().unwrap_or_default();
    fleet.recorder.say(format!(
        "the job's state: {state}; runs of the gang: {runs:?}; most runs of one task: {most}; attempts allowed: {MAX_ATTEMPTS}"
    ));
    match state.contains("failed") {
        true if most < MAX_ATTEMPTS => Verdict::Broken,
        true => Verdict::Held,
        false if state.contains("completed") => Verdict::Held,
        false => Verdict::CouldNotRun,
    }
}
