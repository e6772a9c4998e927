//! LOST: entries of another writer in the list of workers keep a new owner from reading the list.

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

/// More than a page of newest records holds.
const ENTRIES: usize = 520;
/// How long a killed process is down, as on the site.
const DOWN: Duration = Duration::from_millis(3_500);
/// The lease of the killed owner, and then 3 s of calm in which a task's turn has come.
const OWED_AFTER: Duration = Duration::from_millis(25_000);

fn job() -> String {
    json!({ "spec": "work-ms=300", "steps": [{ "count": 2, "cpu": 1_000, "mem-mb": 100,
        "est-runtime-ms": 300 }] })
    .to_string()
}

pub async fn run(setting: &Setting) -> Verdict {
    let Ok(store) = Store::start().await else { return Verdict::CouldNotRun };
    let writer = store.writer();
    let kind = Kind { labels: vec!["a".into(), "r1-1".into()], cpu: 16_000 };
    let Some(mut fleet) = Fleet::start(setting, store, 3, &vec![kind; 6]).await else {
        return Verdict::CouldNotRun;
    };
    if !fleet.wait_ready(Duration::from_secs(20)).await {
        return Verdict::CouldNotRun;
    }
    let completes = async |fleet: &Fleet, path: &str, limit: Duration| {
        let accepted = async || {
            let got = fleet.client.send(Method::POST, &fleet.nodes[0], path, &job()).await;
            got.is_some_and(|it| it.0 == 200)
        };
        if !wait_until(Duration::from_secs(15), accepted).await {
            return None;
        }
        let completed = async || {
            sleep(Duration::from_millis(500)).await;
            let got = fleet.client.send(Method::GET, &fleet.nodes[0], path, "").await;
            got.is_some_and(|it| it.1.contains("completed"))
        };
        Some(wait_until(limit, completed).await)
    };
    if completes(&fleet, "/jobs/00000000000000a0", Duration::from_secs(15)).await != Some(true) {
        return Verdict::CouldNotRun;
    }
    if setting.trouble {
        fleet.recorder.say(format!("another writer adds {ENTRIES} entries without an address"));
        for at in 0..ENTRIES {
            let body = json!({ "service": "svc", "state": "ready", "host": at });
            writer.write("keyed.servers", 0, &format!("ext host {at:04}"), body.to_string().into());
        }
    }
    if completes(&fleet, "/jobs/00000000000000a1", Duration::from_secs(15)).await != Some(true) {
        return Verdict::CouldNotRun;
    }
    // The process that owns the workers is killed, and starts again later.
    let Some(owner) = fleet.nodes.iter().position(|it| it.log_text().contains("event=owner "))
    else {
        return Verdict::CouldNotRun;
    };
    fleet.nodes[owner].kill();
    fleet.recorder.say(format!("{}, which owns the workers, is killed", fleet.nodes[owner].name));
    sleep(DOWN).await;
    if fleet.nodes[owner].spawn().is_err() {
        return Verdict::CouldNotRun;
    }
    fleet.recorder.note(format!("{} starts again", fleet.nodes[owner].name));
    if !fleet.wait_ready(Duration::from_secs(20)).await {
        return Verdict::CouldNotRun;
    }
    let Some(completed) = completes(&fleet, "/jobs/00000000000000a2", OWED_AFTER).await else {
        return Verdict::CouldNotRun;
    };
    let started = fleet.starts().iter().any(|it| it.task.starts_with("00000000000000a2"));
    fleet.recorder.say(format!(
        "a job accepted after that: started {started}, completed {completed} within 25 s; 6 workers are idle"
    ));
    match (started, completed) {
        (false, _) => Verdict::Broken,
        (true, true) => Verdict::Held,
        (true, false) => Verdict::CouldNotRun,
    }
}
