//! Fault: after two weeks of work at the planned rate, owners exceed their machine's memory.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use daisy_platform::parse_submission;
use daisy_workflow::{
    JobId, JobState, Phase, Progress, PublishedState, Record, ShardId, Terms, encode,
};
use http::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    fleet::{Fleet, Setting, Verdict},
    store::Store,
    worker::Kind,
};

/// The plan of letter 1.
const JOBS_A_DAY: u64 = 8_600;
/// `memory-mb` of a node of the small sites, in bytes.
const MEMORY_MAX: u64 = 260 << 20;
/// How long a process that has ended stays down.
const RESTART_AFTER: Duration = Duration::from_millis(1_000);
const NODES: usize = 3;

fn body(text: &str) -> String {
    // The means of `board-ink-est`: 600 bytes, 2 steps of 8 tasks.
    json!({ "spec": text, "steps": [
        { "count": 8, "cpu": 1_000, "mem-mb": 100, "est-runtime-ms": 200, "image": "img-12" },
        { "count": 8, "cpu": 1_000, "mem-mb": 100, "est-runtime-ms": 200, "image": "img-12",
            "depends-on": [0] }] })
    .to_string()
}

fn text() -> String {
    format!("work-ms=200 {}", "x".repeat(588))
}

/// Writes the jobs of `days` days, all completed, as the nodes leave them in the store.
fn fill(store: &Store, days: u64) -> Option<()> {
    let writer = store.writer();
    let terms = Terms {
        queue: "r".into(),
        service: "svc".into(),
        priority: 0,
        max_attempts: 4,
        slack_permille: 2_000,
        target_latency_ms: 400,
    };
    let spec = parse_submission(body(&text()).as_bytes(), terms, 1_780_000_000_000).ok()?;
    let done = Progress { phase: Phase::Completed, has_started: true, occurrences: Vec::new() };
    let mut id = 1u64;
    for _ in 0..days * JOBS_A_DAY {
        id = id.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let job = JobId(id);
        let state = PublishedState { state: JobState::Completed, shard: ShardId(0) };
        for (topic, record) in [
            ("keyed.jobs", Record::Submitted(job, spec.clone())),
            ("keyed.progress", Record::Progress(job, done.clone())),
            ("keyed.states", Record::State(job, state)),
        ] {
            let (key, value) = encode(&record);
            writer.write_old(topic, key, value);
        }
    }
    Some(())
}

pub async fn run(setting: &Setting) -> Verdict {
    let Ok(store) = Store::start().await else { return Verdict::CouldNotRun };
    let days = std::env::var("DAYS").ok().and_then(|it| it.parse().ok()).unwrap_or(14);
    let days = if setting.trouble { days } else { 1 };
    if fill(&store, days).is_none() {
        return Verdict::CouldNotRun;
    }
    let recorder = setting.recorder.clone();
    recorder.say(format!(
        "the store holds {} completed jobs of {days} days, {} MB",
        days * JOBS_A_DAY,
        store.stored() / 1_000_000
    ));
    let kind = Kind { labels: vec!["a".into(), "r1-1".into()], cpu: 16_000 };
    let Some(mut fleet) = Fleet::start(setting, store, NODES, &vec![kind; 4]).await else {
        return Verdict::CouldNotRun;
    };
    let began = Instant::now();
    let mut ends = vec![0u32; NODES];
    let most = Arc::new(Mutex::new(Vec::new()));
    for node in &fleet.nodes {
        node.limit_memory(MEMORY_MAX, Arc::clone(&most));
    }
    let mut down_until = vec![None; NODES];
    let (mut accepted, mut next_try) = (None, began + Duration::from_secs(5));
    let mut completed = false;
    while began.elapsed() < Duration::from_secs(80) {
        for at in 0..NODES {
            let node = &mut fleet.nodes[at];
            if !node.is_up() {
                if down_until[at].is_some_and(|it| Instant::now() >= it) {
                    recorder.note(format!("platform: starts {} again", node.name));
                    if node.spawn().is_err() {
                        return Verdict::CouldNotRun;
                    }
                }
                continue;
            }
            if node.has_ended() {
                ends[at] += 1;
                recorder.note(format!("platform: {} has ended", node.name));
                down_until[at] = Some(Instant::now() + RESTART_AFTER);
            }
        }
        if Instant::now() >= next_try {
            next_try = Instant::now() + Duration::from_millis(1_000);
            let path = "/jobs/00000000000000a0";
            for node in fleet.nodes.iter().filter(|it| it.is_up()) {
                match accepted {
                    None => {
                        let got = fleet.client.send(Method::POST, node, path, &body(&text())).await;
                        if got.is_some_and(|it| it.0 == 200) {
                            accepted = Some(Instant::now());
                            break;
                        }
                    }
                    Some(_) => {
                        let got = fleet.client.send(Method::GET, node, path, "").await;
                        completed |= got.is_some_and(|it| it.1.contains("completed"));
                        break;
                    }
                }
            }
            if completed && began.elapsed() > Duration::from_secs(30) {
                break;
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    let starts = fleet.starts().len();
    recorder.say(format!(
        "ends of each process: {ends:?}, with {:?} MB in use; a job was accepted: {}; starts: {starts}; completed: {completed}",
        most.lock().map(|it| it.iter().map(|it| it / 1_000_000).collect::<Vec<_>>()).unwrap_or_default(),
        accepted.is_some()
    ));
    let machines = ends.iter().filter(|it| **it >= 3).count();
    match machines >= 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
