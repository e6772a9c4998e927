//! Guarantee 3: evicted work resumes exactly once.

use std::time::Duration;

use daisy_history::{EventKind, RunEnd, one_place, resume};
use daisy_standin::Faults;
use tokio::time::sleep;

use crate::{assert_no_violations, cluster::Cluster, cluster_config::ClusterConfig, wait_for};

const CREATE_RENDERS: &str =
    "create job renders team web tasks 4 cpu 1 memory 256Mi may delay, evict restartable";
/// The job number of the renders, after that of the service.
const RENDERS_JOB: u32 = 1;

/// Starts a cluster with four tasks of three seconds, and drains the worker that started most of
/// them, so that at least one task is evicted. `platform_faults` are in force from before the
/// drain.
async fn start_cluster_with_evicted_tasks(test: &str, platform_faults: Faults) -> Cluster {
    let config = ClusterConfig { run_ms: 3_000, ..ClusterConfig::default() };
    let mut cluster = Cluster::start(test, config).await;
    cluster.create_service(1).await;
    cluster.submit_statement(CREATE_RENDERS).await;
    cluster.wait_for_task_start(RENDERS_JOB, Duration::from_secs(10)).await;
    sleep(Duration::from_millis(500)).await;
    cluster.set_platform_faults(platform_faults).await;
    let drained = busiest_worker(&cluster);
    cluster.submit_statement(&format!("drain vm {drained}")).await;
    wait_for("work is evicted", Duration::from_secs(8), async || {
        let history = cluster.worker_history();
        let is_eviction = |kind: &EventKind| {
            matches!(kind, EventKind::TaskEnded { end: RunEnd::Checkpointed(_), .. })
        };
        history.events().iter().any(|event| is_eviction(&event.kind)).then_some(())
    })
    .await;
    cluster
}

/// Returns the name of the worker that started most renders.
fn busiest_worker(cluster: &Cluster) -> String {
    let history = cluster.worker_history();
    let started_count = |name: &str| {
        let started = history.events().iter().filter(|event| {
            event.who == name
                && matches!(event.kind, EventKind::TaskStarted { run, .. } if run.job == RENDERS_JOB)
        });
        started.count()
    };
    let names = cluster.workers.iter().map(|(vm, _)| vm.name.clone());
    names.max_by_key(|name| started_count(name)).expect("a worker")
}

/// Checks that every evicted task resumed exactly once.
fn check_history(cluster: &Cluster) {
    let history = cluster.history(Vec::new());
    let options = resume::Options { all_must_resume: true, ..resume::Options::default() };
    assert_no_violations(resume::check(&history, &options));
    assert_no_violations(one_place::check(&history));
}

/// Tasks are checkpointed for a drain, and the holder is killed before it has written all of that
/// to the log. Its successor must resume them from their checkpoints: not from the start, which
/// would lose their work, and not twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_kill_between_checkpoint_and_resume_resumes_once() {
    let mut cluster = start_cluster_with_evicted_tasks("killed-resume", Faults::default()).await;
    let holder = cluster.wait_for_holder(0).await;

    cluster.kill_entry(holder);
    cluster.wait_for_done_tasks(RENDERS_JOB, 4, Duration::from_secs(20)).await;

    check_history(&cluster);
}

/// The log stores every append twice and loses every third answer, so that records are duplicated
/// and sent again. If a record were folded twice, a checkpoint would be resumed twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn doubled_records_and_lost_answers_resume_once() {
    let faults =
        Faults { double_appends: 1_000, lose_per_mille: 300, seed: 3, ..Faults::default() };
    let cluster = start_cluster_with_evicted_tasks("doubled-resume", faults).await;

    cluster.wait_for_done_tasks(RENDERS_JOB, 4, Duration::from_secs(20)).await;

    check_history(&cluster);
}

/// The log goes down just after the eviction and stays down for three seconds, longer than a
/// holder's timeout. The work must neither be lost nor resumed by two holders.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_outage_after_the_eviction_resumes_once() {
    let cluster = start_cluster_with_evicted_tasks("outage-resume", Faults::default()).await;

    cluster.set_platform_faults(Faults { down: true, ..Faults::default() }).await;
    sleep(Duration::from_secs(3)).await;
    cluster.set_platform_faults(Faults::default()).await;
    cluster.wait_for_done_tasks(RENDERS_JOB, 4, Duration::from_secs(20)).await;

    check_history(&cluster);
}
