//! LOST: a task that lasts ends `done` and isn't started again.

use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    fleet::{Fleet, Setting, Verdict},
    node::wait_until,
    store::Store,
    worker::Kind,
};

/// From 6 s after its last run a task that lasts has to run, unless that lasts under 3 s.
const OWED_AFTER: Duration = Duration::from_millis(9_000);
const ENDS_AFTER_MS: u64 = 3_000;

pub async fn run(setting: &Setting) -> Verdict {
    let Ok(store) = Store::start().await else { return Verdict::CouldNotRun };
    let kind = Kind { labels: vec!["a".into(), "r1-1".into()], cpu: 16_000 };
    let Some(fleet) = Fleet::start(setting, store, 3, &vec![kind; 6]).await else {
        return Verdict::CouldNotRun;
    };
    if !fleet.wait_ready(Duration::from_secs(20)).await {
        return Verdict::CouldNotRun;
    }
    // Two tasks that last; the first ends after 3 s, the other runs on.
    let how = if setting.trouble { "done" } else { "failed" };
    let text = format!("lasting only=0 work-ms={ENDS_AFTER_MS} how={how}");
    let body = json!({ "spec": text, "steps": [{ "count": 2, "cpu": 1_000, "mem-mb": 100,
        "est-runtime-ms": 400, "long-running": true }] });
    let path = "/jobs/00000000000000a0";
    let node = &fleet.nodes[0];
    // The fleet has room for this little job in any case.
    let accepted = async || {
        let got = fleet.client.send(Method::POST, node, path, &body.to_string()).await;
        got.is_some_and(|it| it.0 == 200)
    };
    if !wait_until(Duration::from_secs(20), accepted).await {
        return Verdict::CouldNotRun;
    }
    let task = "00000000000000a0.0.0.0";
    let runs = || fleet.workers.iter().any(|it| it.running().iter().any(|it| it == task));
    let begins = async || runs();
    if !wait_until(Duration::from_secs(20), begins).await {
        return Verdict::CouldNotRun;
    }
    let count = || fleet.starts().iter().filter(|it| it.task == task).count();
    if !wait_until(Duration::from_secs(10), async || !runs()).await {
        return Verdict::CouldNotRun;
    }
    let before = count();
    fleet.recorder.say(format!("{task} has ended {how} in run {before}"));
    let again = wait_until(OWED_AFTER, async || count() > before).await;
    sleep(Duration::from_millis(200)).await;
    let state = fleet.client.send(Method::GET, node, path, "").await;
    fleet.recorder.say(format!("started again within 9 s: {again}; the job's state: {state:?}"));
    if !again {
        // Nobody has cancelled the job; what follows is for the record.
        sleep(Duration::from_secs(10)).await;
        fleet.recorder.say(format!("started again within 19 s: {}", count() > before));
    }
    if again { Verdict::Held } else { Verdict::Broken }
}
