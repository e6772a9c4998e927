//! Point 3: evicted work resumes exactly once.

use std::time::Duration;

use daisy_history::{EventKind, RunEnd, one_place, resume};
use daisy_standin::Faults;
use tokio::time::sleep;

use crate::{assert_none, cluster::Cluster, eventually, shape::Shape};

const RENDERS: &str =
    "create job renders team web tasks 4 cpu 1 memory 256Mi may delay, evict restartable";
const RENDERS_JOB: u32 = 1;

/// Four renders of three seconds run; those of one worker have been evicted by a drain.
async fn evicted(test: &str, platform: Faults) -> Cluster {
    let shape = Shape { run_ms: 3_000, ..Shape::default() };
    let mut cluster = Cluster::start(test, shape).await;
    cluster.create_service(1).await;
    cluster.accept(RENDERS).await;
    cluster.runs(RENDERS_JOB, Duration::from_secs(10)).await;
    sleep(Duration::from_millis(500)).await;
    cluster.platform_faults(platform).await;
    let crowded = busiest(&cluster);
    cluster.accept(&format!("drain vm {crowded}")).await;
    eventually("work is evicted", Duration::from_secs(8), async || {
        let history = cluster.worker_history();
        let evicted = |kind: &EventKind| {
            matches!(kind, EventKind::TaskEnded { end: RunEnd::Checkpointed(_), .. })
        };
        history.events().iter().any(|event| evicted(&event.kind)).then_some(())
    })
    .await;
    cluster
}

/// The worker that started most renders.
fn busiest(cluster: &Cluster) -> String {
    let history = cluster.worker_history();
    let renders = |name: &str| {
        let started = history.events().iter().filter(|event| {
            event.who == name
                && matches!(event.kind, EventKind::TaskStarted { run, .. } if run.job == RENDERS_JOB)
        });
        started.count()
    };
    let names = cluster.workers.iter().map(|(vm, _)| vm.name.clone());
    names.max_by_key(|name| renders(name)).expect("a worker")
}

fn check(cluster: &Cluster) {
    let history = cluster.history(Vec::new());
    let options = resume::Options { all_must_resume: true, ..resume::Options::default() };
    assert_none(resume::check(&history, &options));
    assert_none(one_place::check(&history));
}

/// Renders are checkpointed for a drain, and the holder is killed before it could tell the log
/// all of it. Its successor must resume them from their checkpoints: not from the start, which
/// would throw their work away, and not twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_kill_between_checkpoint_and_resume_resumes_once() {
    let mut cluster = evicted("killed-resume", Faults::default()).await;
    let holder = cluster.holder(0).await;

    cluster.kill_entry(holder);
    cluster.done(RENDERS_JOB, 4, Duration::from_secs(20)).await;

    check(&cluster);
}

/// The log takes every append twice and loses every third answer, so that records come doubled
/// and are sent again. Folded twice, a checkpoint would be handed out twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn doubled_records_and_lost_answers_resume_once() {
    let faults =
        Faults { double_appends: 1_000, lose_per_mille: 300, seed: 3, ..Faults::default() };
    let cluster = evicted("doubled-resume", faults).await;

    cluster.done(RENDERS_JOB, 4, Duration::from_secs(20)).await;

    check(&cluster);
}

/// The log goes down just after the eviction and stays down for three seconds, longer than a
/// holder's timeout. The work must neither be lost nor resumed by two holders.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_outage_after_the_eviction_resumes_once() {
    let cluster = evicted("outage-resume", Faults::default()).await;

    cluster.platform_faults(Faults { down: true, ..Faults::default() }).await;
    sleep(Duration::from_secs(3)).await;
    cluster.platform_faults(Faults::default()).await;
    cluster.done(RENDERS_JOB, 4, Duration::from_secs(20)).await;

    check(&cluster);
}
