//! UNASKED: the members of a gang are started again from different checkpoints.

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

/// One worker of eight crashes: `srv_crash` has a share of 0.14 at most on the site.
const WORKERS: usize = 8;
/// How long it is down; the site's largest is 4.5 s.
const DOWN: Duration = Duration::from_millis(3_000);
const MEMBERS: usize = 3;

pub async fn run(setting: &Setting) -> Verdict {
    let Ok(store) = Store::start().await else { return Verdict::CouldNotRun };
    // Room for one member each.
    let kind = Kind { labels: vec!["a".into(), "r1-1".into()], cpu: 1_000 };
    let Some(mut fleet) = Fleet::start(setting, store, 3, &vec![kind.clone(); WORKERS]).await
    else {
        return Verdict::CouldNotRun;
    };
    if !fleet.wait_ready(Duration::from_secs(20)).await {
        return Verdict::CouldNotRun;
    }
    let body = json!({ "spec": "work-ms=8000 saves", "steps": [{ "count": MEMBERS, "cpu": 1_000,
        "mem-mb": 100, "est-runtime-ms": 8_000, "gang": true, "saves-progress": true }] });
    let path = "/jobs/00000000000000a0";
    let accepted = async || {
        let got = fleet.client.send(Method::POST, &fleet.nodes[0], path, &body.to_string()).await;
        got.is_some_and(|it| it.0 == 200)
    };
    if !wait_until(Duration::from_secs(20), accepted).await {
        return Verdict::CouldNotRun;
    }
    let all_run =
        async || fleet.workers.iter().map(|it| it.running().len()).sum::<usize>() == MEMBERS;
    if !wait_until(Duration::from_secs(20), all_run).await {
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_millis(3_200)).await;
    if setting.trouble {
        let last = format!("00000000000000a0.0.0.{}", MEMBERS - 1);
        let at = fleet.workers.iter().position(|it| it.running().contains(&last));
        let Some(at) = at else { return Verdict::CouldNotRun };
        fleet.workers[at].crash();
        // The others notice that a member has gone.
        sleep(Duration::from_millis(100)).await;
        for (other, worker) in fleet.workers.iter().enumerate() {
            if other != at {
                worker.break_gang("00000000000000a0.0.0.");
            }
        }
        sleep(DOWN).await;
        if fleet.workers[at].restart(kind).await.is_err() {
            return Verdict::CouldNotRun;
        }
    }
    let completed = async || {
        let got = fleet.client.send(Method::GET, &fleet.nodes[0], path, "").await;
        got.is_some_and(|it| it.1.contains("completed"))
    };
    let completed = wait_until(Duration::from_secs(25), completed).await;
    let starts = fleet.starts();
    let mut broken = false;
    let runs: BTreeSet<u64> = starts.iter().map(|it| it.run).collect();
    for run in &runs {
        let of_run = starts.iter().filter(|it| it.run == *run);
        let carried: BTreeSet<&str> = of_run.map(|it| it.checkpoint.as_str()).collect();
        fleet.recorder.say(format!("run {run} of the gang carries the checkpoints {carried:?}"));
        broken |= carried.len() > 1;
    }
    fleet.recorder.say(format!("completed: {completed}"));
    if setting.trouble && runs.len() < 2 {
        return Verdict::CouldNotRun;
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
