//! `daisyshift node` as separate processes on loopback, against stand-ins of the platform.

#[path = "node/fleet.rs"]
mod fleet;
#[path = "node/process.rs"]
mod process;

use std::time::{Duration, Instant};

use bytes::Bytes;
use daisy_platform_standin::{LogFault, WorkerFault};
use daisy_workflow::{JobId, Layout, ShardId};
use fleet::{Fleet, JOB_ID, OTHER_JOB_ID, job_body, long_running_body};
use nix::sys::signal::Signal;

/// The duration of a task, unless a test states another.
const TASK_DURATION: Duration = Duration::from_millis(400);
/// The data centre of all workers.
const DATA_CENTRE: &str = "z1";

#[tokio::test]
async fn a_job_is_run_once_and_every_vm_reports_its_state() {
    let fleet = Fleet::start(2, 3, TASK_DURATION).await;

    let submitted = fleet.submit(0, JOB_ID, job_body(6)).await;
    let again = fleet.submit(1, JOB_ID, job_body(6)).await;
    fleet.wait_for_state(1, JOB_ID, "completed").await;
    fleet.wait_for_state(0, JOB_ID, "completed").await;

    assert_eq!((submitted, again), (200, 200));
    fleet.assert_each_task_ran_once(JOB_ID, 6);
}

/// The owner of the workers is killed while tasks run. Another process becomes the owner and learns
/// from the log and the workers what runs; no task runs again, and the job ends.
#[tokio::test]
async fn a_killed_owner_is_replaced_and_no_task_runs_twice() {
    let mut fleet = Fleet::start(3, 3, Duration::from_millis(2_500)).await;
    fleet.submit(0, JOB_ID, job_body(8)).await;
    fleet.wait_for_runs(8).await;

    let owner = fleet.wait_for_owner().await;
    fleet.kill(owner);
    let other = (owner + 1) % 3;
    fleet.wait_for_state(other, JOB_ID, "completed").await;

    fleet.assert_each_task_ran_once(JOB_ID, 8);
}

/// Guards against waiting for a lost worker longer than its lease, and against not waiting long
/// enough.
#[tokio::test]
async fn a_task_of_a_lost_worker_starts_elsewhere_once_its_lease_has_expired() {
    /// Covers the detection of the lost owner, a claim, a second for the previous owner and a
    /// lease, with a margin for a busy machine.
    const RESTART_TIME_MAX: Duration = Duration::from_secs(11);
    let mut fleet = Fleet::start(3, 5, Duration::from_secs(60)).await;
    fleet.submit(0, JOB_ID, job_body(1)).await;
    fleet.wait_for_runs(1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    let owner = fleet.wait_for_owner().await;
    fleet.set_fault_of_worker_running(JOB_ID, WorkerFault::Unreachable);
    fleet.kill(owner);
    let killed_at = Instant::now();
    fleet.wait_for_runs(2).await;

    let runs = fleet.runs_of(JOB_ID);
    let [first, second] = runs.iter().map(|it| it.run).collect::<Vec<_>>()[..] else {
        panic!("{runs:?}");
    };
    let (old, new) = if first < second { (&runs[0], &runs[1]) } else { (&runs[1], &runs[0]) };
    assert!(old.ended.is_some_and(|it| it <= new.began), "{runs:?}");
    assert!(new.began - killed_at < RESTART_TIME_MAX, "{:?}", new.began - killed_at);
}

/// All processes are killed right after a caller has received the answer that its job is stored.
/// New processes read the job from the log and run it.
#[tokio::test]
async fn a_stored_job_runs_after_all_processes_were_killed() {
    let mut fleet = Fleet::start(2, 2, TASK_DURATION).await;
    let submitted = fleet.submit(0, JOB_ID, job_body(4)).await;
    for vm in 0..2 {
        fleet.kill(vm);
    }
    for vm in 0..2 {
        fleet.restart(vm).await;
    }

    fleet.wait_for_state(1, JOB_ID, "completed").await;

    assert_eq!(submitted, 200);
}

/// Workers carry out orders, but their answers are lost. The owner sends the orders again, and no
/// task runs twice.
#[tokio::test]
async fn lost_answers_of_workers_start_no_task_twice() {
    let fleet = Fleet::start(2, 2, TASK_DURATION).await;
    fleet.set_fault_of_all_workers(WorkerFault::LosesAnswers);
    fleet.submit(0, JOB_ID, job_body(4)).await;
    fleet.wait_for_runs(4).await;
    fleet.set_fault_of_all_workers(WorkerFault::None);

    fleet.wait_for_state(0, JOB_ID, "completed").await;

    fleet.assert_each_task_ran_once(JOB_ID, 4);
}

/// The log rejects all calls. A caller is told at once that its job was not stored and when to
/// retry; the job never runs.
#[tokio::test]
async fn a_rejected_job_never_runs() {
    let fleet = Fleet::start(2, 2, TASK_DURATION).await;
    fleet.log.set_fault(LogFault::Busy);
    let sent_at = std::time::Instant::now();
    let rejected = fleet.submit(0, JOB_ID, job_body(2)).await;
    let answer_time = sent_at.elapsed();
    fleet.log.set_fault(LogFault::None);
    let accepted = fleet.submit(0, OTHER_JOB_ID, job_body(2)).await;
    fleet.wait_for_state(0, OTHER_JOB_ID, "completed").await;

    assert_eq!((rejected, accepted), (503, 200));
    assert!(answer_time < Duration::from_millis(500), "{answer_time:?}");
    assert!(fleet.runs_of(JOB_ID).is_empty());
}

/// The log appends records, but its answers are lost. The caller must not be told that its job was
/// rejected: the job is stored, and runs.
#[tokio::test]
async fn a_job_whose_outcome_is_unknown_is_not_reported_as_rejected() {
    let fleet = Fleet::start(2, 2, TASK_DURATION).await;
    fleet.log.set_fault(LogFault::LosesAnswers);
    let status = fleet.submit(0, JOB_ID, job_body(2)).await;
    fleet.log.set_fault(LogFault::None);

    fleet.wait_for_state(0, JOB_ID, "completed").await;

    assert_eq!(status, 504);
}

/// The log drops records that operators and workers wrote while processes read them. The processes
/// continue with the newest record of each key.
#[tokio::test]
async fn readers_continue_with_the_newest_records_after_the_log_dropped_old_ones() {
    let fleet = Fleet::start(2, 2, TASK_DURATION).await;
    fleet.log.compact("keyed.op");
    fleet.log.compact("keyed.servers");
    fleet.configure(2, "/other/");
    tokio::time::sleep(Duration::from_millis(600)).await;

    let old_path = fleet.submit(0, JOB_ID, job_body(1)).await;
    let new_path = fleet.call(0, "POST", &format!("/other/{JOB_ID}"), job_body(1)).await.0;

    assert_eq!((old_path, new_path), (404, 200));
}

/// Guards against starts in an evacuated data centre by a process that has just started, after a
/// record that cannot be read, and after the log has dropped the request.
#[tokio::test]
async fn nothing_starts_in_an_evacuated_data_centre_until_the_request_is_removed() {
    let mut fleet = Fleet::start(2, 2, TASK_DURATION).await;
    let owner = fleet.wait_for_owner().await;
    fleet.log.request_evacuation(DATA_CENTRE, "{}");
    fleet.log.request_evacuation(DATA_CENTRE, "not JSON");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let status = fleet.submit(0, JOB_ID, job_body(2)).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.log.request_evacuation(DATA_CENTRE, "{}");
    fleet.log.compact("keyed.op");
    fleet.kill(owner);
    fleet.restart(owner).await;
    fleet.wait_until(|it| it.owner_change_count() >= 2).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let started = fleet.runs_of(JOB_ID);

    fleet.log.request_evacuation(DATA_CENTRE, "");
    fleet.wait_for_state(0, JOB_ID, "completed").await;

    assert_eq!((status, started), (200, Vec::new()));
    let log = fleet.log_text_of(1 - owner);
    for event in ["evacuation_begun", "evacuation_unreadable", "evacuation_ended"] {
        assert!(log.contains(event), "{event} is missing from {log}");
    }
}

/// The log carries out appends one after the other, 150 ms each, and three VMs have 20 callers
/// each. If each VM had several appends in flight, each append would wait for all others, beyond
/// its timeout, and callers would be told that the outcome is unknown.
#[tokio::test]
async fn a_slow_log_stores_all_submitted_jobs() {
    let fleet = Fleet::start(3, 1, TASK_DURATION).await;
    fleet.log.set_fault(LogFault::SlowAppends(Duration::from_millis(150)));
    let mut posts = Vec::new();
    for round in 0..20 {
        for vm in 0..3 {
            posts.push(fleet.submit_after(
                vm,
                round * 3 + vm,
                Duration::from_millis(round as u64 * 60),
            ));
        }
    }

    let statuses = futures::future::join_all(posts).await;

    let stored = statuses.iter().filter(|it| **it == 200).count();
    assert_eq!(stored, statuses.len(), "{statuses:?}");
}

#[tokio::test]
async fn invalid_submissions_are_rejected_and_store_no_job() {
    let fleet = Fleet::start(1, 1, TASK_DURATION).await;
    let bodies = [
        "not json".to_owned(),
        r#"{"spec":"x"}"#.to_owned(),
        r#"{"steps":[]}"#.to_owned(),
        r#"{"steps":[{"count":0,"cpu":1}]}"#.to_owned(),
        r#"{"steps":[{"count":-1,"cpu":1}]}"#.to_owned(),
        r#"{"steps":[{"count":1,"cpu":99999999999}]}"#.to_owned(),
        r#"{"steps":[{"count":1,"depends-on":[0]}]}"#.to_owned(),
    ];
    for body in bodies {
        assert_eq!(fleet.submit(0, JOB_ID, body.clone()).await, 400, "{body}");
    }
    let long_body = format!(r#"{{"steps":[{{"count":1}}],"spec":"{}"}}"#, "x".repeat(400_000));

    assert_eq!(fleet.submit(0, JOB_ID, long_body).await, 413);
    assert_eq!(fleet.submit(0, "NOT-AN-ID", job_body(1)).await, 404);
    assert_eq!(fleet.call(0, "POST", "/nobody/1", job_body(1)).await.0, 404);
    assert_eq!(fleet.get_job(0, JOB_ID).await.0, 410);
    assert_eq!(fleet.call(0, "GET", "/jobs/", String::new()).await.1, r#"{"pending":0}"#);
}

/// Guards against a failure in which a caller whose body arrived after the rejection found the
/// connection broken at its next request.
#[tokio::test]
async fn a_connection_serves_the_next_request_after_a_rejection() {
    let fleet = Fleet::start(1, 1, TASK_DURATION).await;
    let long_body = ["x".repeat(300_000), "x".repeat(100_000)];
    let late_body = [String::new(), job_body(1)];

    let too_long = fleet.post_in_parts(0, &format!("/jobs/{JOB_ID}"), &long_body).await;
    let unknown_path = fleet.post_in_parts(0, "/nobody/1", &late_body).await;

    assert_eq!((too_long, unknown_path), ([413, 410], [404, 410]));
}

#[tokio::test]
async fn a_cancelled_job_is_stopped_and_reported_as_cancelled() {
    let fleet = Fleet::start(2, 2, Duration::from_secs(30)).await;
    fleet.submit(0, JOB_ID, job_body(3)).await;
    fleet.wait_for_runs(3).await;

    let cancelled = fleet.call(1, "DELETE", &format!("/jobs/{JOB_ID}"), String::new()).await.0;
    fleet.wait_for_state(0, JOB_ID, "cancelled").await;
    fleet.wait_until(|it| it.runs_of(JOB_ID).iter().all(|it| it.ended.is_some())).await;

    assert_eq!(cancelled, 200);
}

/// Guards against a failure in which a process that had just started reported a stored job as
/// unknown, because it relied on the last heartbeat of a killed owner.
#[tokio::test]
async fn a_stored_job_is_not_reported_as_unknown_after_all_processes_were_killed() {
    let mut fleet = Fleet::start(2, 2, TASK_DURATION).await;
    let owner = fleet.wait_for_owner().await;
    let other = 1 - owner;
    fleet.signal(owner, Signal::SIGSTOP);
    let submitted = fleet.submit(other, JOB_ID, job_body(2)).await;
    fleet.kill(owner);
    fleet.kill(other);
    fleet.restart(other).await;

    let status = fleet.get_job(other, JOB_ID).await.0;
    fleet.wait_for_state(other, JOB_ID, "completed").await;

    assert_eq!(submitted, 200);
    assert_ne!(status, 410);
}

/// Guards against a failure in which a job ran although its caller had cancelled it, at a VM that
/// did not know the job yet.
#[tokio::test]
async fn a_job_cancelled_at_a_vm_that_does_not_know_it_yet_never_runs() {
    let mut fleet = Fleet::start(3, 2, TASK_DURATION).await;
    let owner = fleet.wait_for_owner().await;
    let (storing_vm, cancelling_vm) = ((owner + 1) % 3, (owner + 2) % 3);
    fleet.signal(owner, Signal::SIGSTOP);
    let submitted = fleet.submit(storing_vm, JOB_ID, job_body(2)).await;
    let cancelled =
        fleet.call(cancelling_vm, "DELETE", &format!("/jobs/{JOB_ID}"), String::new()).await.0;
    fleet.kill(owner);
    fleet.submit(cancelling_vm, OTHER_JOB_ID, job_body(2)).await;

    fleet.wait_for_state(cancelling_vm, OTHER_JOB_ID, "completed").await;

    assert_eq!(submitted, 200);
    assert!(matches!(cancelled, 200 | 410), "{cancelled}");
    assert!(
        fleet.runs_of(JOB_ID).is_empty(),
        "the job runs although it was cancelled with status {cancelled}"
    );
}

/// A VM is stopped as planned: it reports at once that it is not ready, and still answers callers
/// that reach it; another VM becomes the owner of the workers.
#[tokio::test]
async fn a_planned_stop_serves_its_callers_and_transfers_its_workers() {
    let mut fleet = Fleet::start(2, 2, TASK_DURATION).await;
    let owner = fleet.wait_for_owner().await;
    fleet.signal(owner, Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(300)).await;

    let ready = fleet.is_ready(owner).await;
    let submitted = fleet.submit(owner, JOB_ID, job_body(2)).await;
    fleet.wait_for_state(1 - owner, JOB_ID, "completed").await;
    let code = fleet.wait_for_exit(owner).await;

    assert!(!ready);
    assert_eq!((submitted, code), (200, Some(0)));
}

#[tokio::test]
async fn a_hangup_signal_does_not_end_the_process() {
    let fleet = Fleet::start(1, 1, TASK_DURATION).await;
    fleet.signal(0, Signal::SIGHUP);

    let submitted = fleet.submit(0, JOB_ID, job_body(1)).await;
    fleet.wait_for_state(0, JOB_ID, "completed").await;

    assert_eq!(submitted, 200);
}

/// The log does not answer for three seconds, then is slow for one. Meanwhile no owner can publish
/// its heartbeat. If owners were replaced when the log answers again, all shards would go to the VM
/// that reads first, and no task would start until it has queried all workers. The owners must
/// stay, and jobs from before and after the outage must run.
#[tokio::test]
async fn owners_are_not_replaced_while_the_log_does_not_answer() {
    let fleet = Fleet::start(3, 120, TASK_DURATION).await;
    let before = fleet.owner_change_count();
    fleet.submit(0, JOB_ID, job_body(4)).await;

    fleet.log.set_fault(LogFault::Unresponsive);
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.log.set_fault(LogFault::SlowAppends(Duration::from_millis(300)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.log.set_fault(LogFault::None);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let later = fleet.submit(0, OTHER_JOB_ID, job_body(4)).await;

    fleet.wait_for_state(1, JOB_ID, "completed").await;
    fleet.wait_for_state(2, OTHER_JOB_ID, "completed").await;
    assert_eq!((later, fleet.owner_change_count()), (200, before));
}

/// Guards against a failure in which a VM replaced an owner because its reads for a claim were
/// answered before its read of the owners' heartbeats.
#[tokio::test]
async fn an_owner_is_not_replaced_when_its_heartbeats_are_read_last() {
    let fleet = Fleet::start(2, 2, TASK_DURATION).await;
    let before = fleet.owner_change_count();

    fleet.log.set_fault(LogFault::Unresponsive);
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    fleet.log.set_unresponsive(&["keyed.states"]);
    fleet.log.set_fault(LogFault::None);
    tokio::time::sleep(Duration::from_millis(900)).await;
    fleet.log.set_unresponsive(&[]);
    tokio::time::sleep(Duration::from_secs(2)).await;

    assert_eq!(fleet.owner_change_count(), before);
}

/// The owner stops as planned while reads of the newest records take longer than the timeout of
/// other calls.
#[tokio::test]
async fn a_shard_gets_an_owner_although_its_newest_records_are_read_slowly() {
    let fleet = Fleet::start(2, 2, TASK_DURATION).await;
    let owner = fleet.wait_for_owner().await;
    fleet.log.set_fault(LogFault::SlowNewest(Duration::from_millis(1_500)));

    fleet.signal(owner, Signal::SIGTERM);
    let submitted = fleet.submit(1 - owner, JOB_ID, job_body(2)).await;
    fleet.wait_for_state(1 - owner, JOB_ID, "completed").await;

    assert_eq!(submitted, 200);
    fleet.assert_each_task_ran_once(JOB_ID, 2);
}

/// Follows the first walkthrough of docs/OPERATIONS.md: a caller was rejected.
#[tokio::test]
async fn a_rejected_request_is_traced_to_its_cause() {
    let fleet = Fleet::start(2, 1, TASK_DURATION).await;
    fleet.log.set_fault(LogFault::Busy);
    fleet.submit(0, JOB_ID, job_body(1)).await;
    fleet.log.set_fault(LogFault::None);

    let output = fleet.wait_for_trace(JOB_ID, "rejected without an effect").await;

    assert!(output.contains("503 Service Unavailable"), "{output}");
}

/// Follows the second walkthrough: a job is late because the worker of one of its tasks stopped
/// answering.
#[tokio::test]
async fn a_delayed_job_is_traced_to_its_lost_worker() {
    let fleet = Fleet::start(2, 2, Duration::from_millis(800)).await;
    fleet.submit(0, JOB_ID, job_body(1)).await;
    fleet.wait_for_runs(1).await;
    fleet.set_fault_of_worker_running(JOB_ID, WorkerFault::Unreachable);
    fleet.wait_for_state(0, JOB_ID, "completed").await;

    let output = fleet.wait_for_trace(JOB_ID, "ended as completed").await;

    assert!(output.contains("was lost with"), "{output}");
    assert!(output.contains("its worker is silent and its lease has run out"), "{output}");
}

/// Follows the walkthrough of a second run: the lines tell which owner gave the first run up, which
/// one it follows, and what shows that the first run was over.
#[tokio::test]
async fn a_second_run_is_traced_to_the_bound_that_was_over_for_the_first() {
    let mut fleet = Fleet::start(3, 5, Duration::from_secs(60)).await;
    fleet.submit(0, JOB_ID, job_body(1)).await;
    fleet.wait_for_runs(1).await;
    // The owner soon tells the log that the order was answered.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let owner = fleet.wait_for_owner().await;
    fleet.set_fault_of_worker_running(JOB_ID, WorkerFault::Unreachable);
    fleet.kill(owner);

    let output = fleet.wait_for_trace(JOB_ID, "run=2").await;

    let line = |name: &str| {
        let lines = output.lines().filter(|it| it.contains(&format!("event={name} ")));
        lines.map(str::to_owned).collect::<Vec<String>>()
    };
    let (starts, lost) = (line("start"), line("run_lost"));
    assert_eq!(lost.len(), 1, "{output}");
    assert!(starts.iter().all(|it| it.contains(" deadline_ms=") && it.contains(" token=")));
    assert!(starts.iter().all(|it| it.contains(" clock_ms=")), "{starts:?}");
    assert!(lost[0].contains(" bound=predecessor_lease over_ms="), "{lost:?}");
    assert!(lost[0].contains(" order=inherited open_start=false "), "{lost:?}");
    assert!(lost[0].contains(" predecessors_end=witnesses "), "{lost:?}");
    let other_logs: String =
        (0..3).filter(|vm| *vm != owner).map(|vm| fleet.log_text_of(vm)).collect();
    let followed =
        format!(" predecessors=last_may_run follows_epoch={} follows_vm=", epoch(&starts[0]));
    assert!(other_logs.contains(&followed), "{followed} in {other_logs}");
    assert!(other_logs.contains("event=predecessors_ended "), "{other_logs}");
    assert!(other_logs.contains(" is=fenced "), "{other_logs}");
}

/// Returns the owner's epoch, which is the token of calls to workers that have not restarted.
fn epoch(line: &str) -> &str {
    let (_, rest) = line.split_once(" token=").expect("a line with a token");
    rest.split(' ').next().unwrap_or_default()
}

/// Follows the third walkthrough: a caller was told that the outcome is unknown, and its job ran.
#[tokio::test]
async fn an_unknown_outcome_is_traced_to_the_log() {
    let fleet = Fleet::start(2, 2, TASK_DURATION).await;
    fleet.log.set_fault(LogFault::LosesAnswers);
    fleet.submit(0, JOB_ID, job_body(1)).await;
    fleet.log.set_fault(LogFault::None);

    let output = fleet.wait_for_trace(JOB_ID, "ended as completed").await;

    assert!(output.contains("the outcome is unknown: no answer"), "{output}");
}

/// Nobody reads the pipe that a process logs into. The pipe is full after some hundred lines; a
/// blocking write to it would stop the process and delay its callers.
#[tokio::test]
async fn log_output_that_nobody_reads_delays_no_caller() {
    let mut fleet = Fleet::start(1, 1, TASK_DURATION).await;
    fleet.kill(0);
    fleet.restart_with_unread_output(0).await;

    let started_at = std::time::Instant::now();
    let mut slowest = Duration::ZERO;
    while started_at.elapsed() < Duration::from_secs(8) {
        let sent_at = std::time::Instant::now();
        // Each submission logs a line of some 180 bytes. A pipe holds 64 KiB, the queue before it
        // 2,048 lines, and 500 lines of an event are written per second: the queue is full after
        // some five seconds.
        let status = fleet.submit(0, JOB_ID, "no job".to_owned()).await;
        assert_eq!(status, 400);
        slowest = slowest.max(sent_at.elapsed());
    }

    assert!(slowest < Duration::from_secs(2), "{slowest:?}");
}

/// Guards against a failure in which a claim by a newer build, whose owner may still renew leases,
/// was treated as no claim.
#[tokio::test]
async fn an_owner_whose_claim_cannot_be_read_is_not_assumed_to_have_ended() {
    let mut fleet = Fleet::start(1, 1, TASK_DURATION).await;
    let with_readable_claims = fleet.had_predecessors_expired(0);
    fleet.kill(0);
    fleet.log.write("keyed.progress", "owner", Bytes::from_static(&[200]));

    fleet.restart(0).await;
    fleet.wait_until(|it| it.owner_change_count() == 2).await;

    assert_eq!(
        (with_readable_claims, fleet.had_predecessors_expired(0)),
        (Some(true), Some(false))
    );
}

/// The most bytes of a record and of a call in tests of long records: a record has a few dozen
/// tasks.
const SHORT_RECORDS: (usize, usize) = (1_024, 16_384);

/// Guards against a job whose progress is longer than a record: its append was repeated for ever,
/// and no other start or end was recorded either.
#[tokio::test]
async fn a_job_whose_progress_is_longer_than_a_record_runs_beside_others() {
    let mut fleet = Fleet::start_with_longest(SHORT_RECORDS, 3, 4, TASK_DURATION).await;
    fleet.submit(0, JOB_ID, job_body(300)).await;
    fleet.submit(0, OTHER_JOB_ID, job_body(4)).await;
    fleet.wait_for_runs(100).await;

    let owner = fleet.wait_for_owner().await;
    fleet.kill(owner);
    let other = (owner + 1) % 3;
    fleet.wait_for_state(other, OTHER_JOB_ID, "completed").await;
    fleet.wait_for_state(other, JOB_ID, "completed").await;

    fleet.assert_each_task_ran_once(OTHER_JOB_ID, 4);
    fleet.assert_each_task_ran_once(JOB_ID, 300);
}

/// Guards against the same where the log stores less than its settings say.
#[tokio::test]
async fn a_record_that_the_log_refuses_keeps_back_no_other_job() {
    let fleet = Fleet::start(2, 4, TASK_DURATION).await;
    fleet.log.limit_records(SHORT_RECORDS.0, SHORT_RECORDS.1);
    fleet.submit(0, JOB_ID, job_body(2_000)).await;
    fleet.submit(0, OTHER_JOB_ID, job_body(4)).await;

    fleet.wait_for_state(1, OTHER_JOB_ID, "completed").await;

    fleet.assert_each_task_ran_once(OTHER_JOB_ID, 4);
    assert!(fleet.runs_of(JOB_ID).is_empty(), "no task runs without a record");
}

/// Guards against callers who return again and again with a job that can never be stored.
#[tokio::test]
async fn a_job_that_is_longer_than_a_record_is_refused_for_good() {
    let fleet = Fleet::start_with_longest(SHORT_RECORDS, 1, 1, TASK_DURATION).await;
    let steps: Vec<String> = (0..200).map(|_| r#"{"count":1,"cpu":500}"#.to_owned()).collect();
    let body = format!(r#"{{"spec":"text","steps":[{}]}}"#, steps.join(","));

    let status = fleet.submit(0, JOB_ID, body).await;

    assert_eq!(status, 413);
}

/// If a build skipped a job's progress that a newer build wrote, it would treat the job as not
/// begun.
#[tokio::test]
async fn a_build_that_cannot_read_the_progress_of_a_shard_does_not_claim_it() {
    let mut fleet = Fleet::start(1, 1, TASK_DURATION).await;
    fleet.kill(0);
    fleet.log.write("keyed.progress", &format!("progress-{JOB_ID}"), Bytes::from_static(&[200]));

    fleet.restart(0).await;
    fleet.wait_until(|it| it.log_text_of(0).contains("event=claim_withheld shard=0")).await;

    assert_eq!(fleet.owner_change_count(), 1);
}

/// Workers that are too many for one owner are divided into shards, each with an owner of its own,
/// and every VM accepts jobs of all shards and reports their states. One of the owners is killed
/// while tasks run; another process takes over its shard, no task runs twice and none is lost.
#[tokio::test]
async fn many_workers_are_divided_among_several_owners() {
    const JOB_COUNT: u64 = 12;
    let mut fleet = Fleet::start(3, 120, Duration::from_millis(2_500)).await;
    let usable_workers = fleet.wait_for_owners().await;
    for number in 0..JOB_COUNT {
        let id = format!("{number:016x}");
        assert_eq!(fleet.submit(number as usize % 3, &id, job_body(5)).await, 200);
    }
    fleet.wait_until(|it| it.total_run_count() as u64 >= JOB_COUNT * 5).await;

    let killed = usable_workers.iter().position(|it| *it > 0).expect("an owner of workers");
    fleet.kill(killed);
    for number in 0..JOB_COUNT {
        let id = format!("{number:016x}");
        fleet.wait_for_state((killed + 1) % 3, &id, "completed").await;
    }

    assert!(usable_workers.iter().filter(|it| **it > 0).count() == 2, "{usable_workers:?}");
    for number in 0..JOB_COUNT {
        fleet.assert_each_task_ran_once(&format!("{number:016x}"), 5);
    }
}

/// Returns `count` job ids that belong to this shard of a fleet with two shards.
fn job_ids_of_shard(shard: u16, count: usize) -> Vec<String> {
    let is_of_shard = |it: &u64| Layout { shards: 2 }.shard_of_job(JobId(*it)) == ShardId(shard);
    (0x1000..).filter(is_of_shard).take(count).map(|it| format!("{it:016x}")).collect()
}

/// Guards against a failure in which every submission was rejected while only the partition to
/// which VMs publish job states did not answer.
#[tokio::test]
async fn jobs_are_stored_and_run_while_their_states_cannot_be_published() {
    let fleet = Fleet::start(2, 2, TASK_DURATION).await;
    fleet.submit(0, JOB_ID, job_body(1)).await;
    fleet.wait_for_state(0, JOB_ID, "completed").await;
    fleet.log.set_unresponsive(&["keyed.states"]);

    let ids = job_ids_of_shard(0, 20);
    let answers = fleet.submit_all(0, &ids, Duration::from_millis(150)).await;
    fleet.wait_until(|it| ids.iter().all(|id| it.runs_of(id).len() == 1)).await;

    assert!(answers.iter().all(|it| *it == 200), "{answers:?}");
}

/// Guards against a failure in which submissions to one shard waited and were rejected because
/// those to another shard got no answer.
#[tokio::test]
async fn an_unresponsive_partition_delays_no_other_shard() {
    let fleet = Fleet::start(2, 120, TASK_DURATION).await;
    fleet.wait_for_owners().await;
    fleet.log.set_unresponsive(&["keyed.jobs/1"]);

    let (unresponsive, healthy) = (job_ids_of_shard(1, 40), job_ids_of_shard(0, 40));
    let gap = Duration::from_millis(80);
    let (unresponsive, healthy) =
        futures::join!(fleet.submit_all(0, &unresponsive, gap), fleet.submit_all(0, &healthy, gap));

    let unknown = unresponsive.iter().filter(|it| **it == 504).count();
    let rejected = unresponsive.iter().filter(|it| **it == 503).count();
    assert!(healthy.iter().all(|it| *it == 200), "{healthy:?}");
    assert!(unknown <= 3, "{unresponsive:?}");
    assert_eq!(unknown + rejected, unresponsive.len(), "{unresponsive:?}");
}

/// Jobs of a shard are accepted again once its partition answers, although nothing else has
/// changed.
#[tokio::test]
async fn jobs_are_accepted_again_once_their_partition_answers() {
    let fleet = Fleet::start(1, 120, TASK_DURATION).await;
    fleet.wait_for_owners().await;
    fleet.log.set_unresponsive(&["keyed.jobs/1"]);
    let ids = job_ids_of_shard(1, 50);
    fleet.submit_all(0, &ids[..25], Duration::from_millis(80)).await;

    fleet.log.set_unresponsive(&[]);
    fleet.submit(0, &ids[25], job_body(1)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let answers = fleet.submit_all(0, &ids[26..], Duration::from_millis(80)).await;

    assert!(answers.iter().all(|it| *it == 200), "{answers:?}");
}

/// Guards against a failure in which running owners were replaced because nobody could read their
/// heartbeats.
#[tokio::test]
async fn owners_are_not_replaced_while_their_heartbeats_cannot_be_read() {
    let fleet = Fleet::start(3, 120, TASK_DURATION).await;
    fleet.wait_for_owners().await;
    let before = fleet.owner_change_count();

    for millis in [1_600, 2_000, 2_400, 2_800, 4_000] {
        fleet.log.set_unresponsive(&["keyed.states"]);
        tokio::time::sleep(Duration::from_millis(millis)).await;
        fleet.log.set_unresponsive(&[]);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    fleet.submit(0, JOB_ID, job_body(4)).await;
    fleet.wait_for_state(1, JOB_ID, "completed").await;

    assert_eq!(fleet.owner_change_count(), before);
}

/// The log stops answering while callers submit a job every 60 ms. Submissions that were already
/// sent to the log have an unknown outcome, about which their callers can do nothing; all other
/// callers are told at once that nothing was done and when to retry, and their jobs never run.
#[tokio::test]
async fn few_outcomes_are_unknown_when_the_log_stops_answering() {
    let fleet = Fleet::start(1, 2, TASK_DURATION).await;
    fleet.submit(0, JOB_ID, job_body(1)).await;
    fleet.wait_for_state(0, JOB_ID, "completed").await;
    fleet.log.set_fault(LogFault::Unresponsive);

    let submit = async |at: u64| {
        tokio::time::sleep(Duration::from_millis(60 * at)).await;
        fleet.submit(0, &format!("{:016x}", 0xa000 + at), job_body(1)).await
    };
    let statuses = futures::future::join_all((0..16).map(submit)).await;

    let unknown = statuses.iter().filter(|it| **it == 504).count();
    let rejected = statuses.iter().filter(|it| **it == 503).count();
    assert!(unknown <= 3, "{statuses:?}");
    assert_eq!(unknown + rejected, 16, "{statuses:?}");
}

/// Guards against long-running jobs that take for good what finite jobs need: rejected before it is
/// stored, the job never runs, and is accepted when the finite jobs have ended.
#[tokio::test]
async fn a_long_running_job_is_rejected_while_finite_jobs_need_the_capacity() {
    let fleet = Fleet::start_with_policy(2, 2, TASK_DURATION).await;
    for number in 0..30 {
        fleet.submit(0, &format!("{number:016x}"), job_body(8)).await;
    }
    fleet
        .wait_until(|it| {
            it.log_text_of(0).contains("event=capacity")
                || it.log_text_of(1).contains("event=capacity")
        })
        .await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    let rejected = fleet.submit(1, JOB_ID, long_running_body(4)).await;
    let (state, _) = fleet.get_job(0, JOB_ID).await;
    let runs = fleet.runs_of(JOB_ID).len();
    tokio::time::sleep(Duration::from_secs(12)).await;
    let returned = fleet.submit(0, JOB_ID, long_running_body(4)).await;
    // The workers of these tests end every task.
    fleet.wait_for_state(1, JOB_ID, "completed").await;

    assert_eq!((rejected, state, runs, returned), (503, 410, 0, 200));
    fleet.wait_for_trace(JOB_ID, "event=admission").await;
}

/// Guards against a caller that asks when its last task has ended, is told that the job runs, and
/// learns of its end only when it asks again.
#[tokio::test]
async fn a_query_right_after_the_last_end_returns_the_end() {
    let fleet = Fleet::start_with_policy(2, 2, TASK_DURATION).await;
    let mut answers = Vec::new();
    for number in 0..4_u32 {
        let id = format!("{number:016x}");
        fleet.submit(0, &id, job_body(1)).await;
        fleet.wait_until(|it| it.runs_of(&id).iter().any(|it| it.ended.is_some())).await;
        answers.push(fleet.get_job(number as usize % 2, &id).await);
    }

    let completed = (200, r#"{"state":"completed"}"#.to_owned());
    assert!(answers.iter().all(|it| *it == completed), "{answers:?}");
}

/// The longest time until a configuration is in force at each VM.
const CONFIGURATION_TIME_MAX: Duration = Duration::from_secs(5);

/// VMs follow readers, which are killed and paused one after the other. Guards against followers
/// that keep the configuration of a source that is gone or stands still.
#[tokio::test]
async fn configurations_reach_all_vms_while_readers_are_lost() {
    const VMS: usize = 6;
    let mut fleet = Fleet::start_with_relays(VMS, 2, TASK_DURATION).await;
    fleet.wait_until(|it| it.readers().len() == 2).await;
    let [killed, paused] = fleet.readers()[..] else { panic!("two readers") };
    let others: Vec<_> = (0..VMS).filter(|it| *it != killed && *it != paused).collect();

    let first = fleet.time_until_configured(&others, 2).await;
    fleet.kill(killed);
    let after_kill = fleet.time_until_configured(&others, 3).await;
    fleet.signal(paused, Signal::SIGSTOP);
    let after_pause = fleet.time_until_configured(&others, 4).await;
    fleet.signal(paused, Signal::SIGCONT);
    fleet.restart(killed).await;
    let all: Vec<_> = (0..VMS).collect();
    let after_return = fleet.time_until_configured(&all, 5).await;

    let times = [first, after_kill, after_pause, after_return];
    assert!(times.iter().all(|it| *it < CONFIGURATION_TIME_MAX), "{times:?}");
}

/// Guards against followers that do not learn the states of jobs.
#[tokio::test]
async fn vms_that_follow_a_reader_know_the_states_of_jobs() {
    let fleet = Fleet::start_with_relays(6, 2, TASK_DURATION).await;
    fleet.wait_until(|it| it.readers().len() == 2).await;

    fleet.wait_until(|it| it.followers().len() == 4).await;
    fleet.submit(0, JOB_ID, job_body(2)).await;
    for vm in 0..6 {
        fleet.wait_for_state(vm, JOB_ID, "completed").await;
    }

    fleet.assert_each_task_ran_once(JOB_ID, 2);
}

/// The log is silent for three seconds and answers again. Guards against followers that hold old
/// states for recent.
#[tokio::test]
async fn followers_survive_a_silent_log() {
    let fleet = Fleet::start_with_relays(5, 2, TASK_DURATION).await;
    fleet.wait_until(|it| it.followers().len() == 3).await;

    fleet.log.set_fault(LogFault::Unresponsive);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let ready_while_silent = fleet.is_ready(fleet.followers()[0]).await;
    fleet.log.set_fault(LogFault::None);
    let configured = fleet.time_until_configured(&[0, 1, 2, 3, 4], 2).await;
    fleet.submit(0, JOB_ID, job_body(2)).await;
    fleet.wait_for_state(4, JOB_ID, "completed").await;

    assert!(!ready_while_silent);
    assert!(configured < CONFIGURATION_TIME_MAX, "{configured:?}");
    fleet.assert_each_task_ran_once(JOB_ID, 2);
}

/// Guards against an owner that places nothing, or on workers that have left, when the VM that reads
/// the list of workers for it is lost.
#[tokio::test]
async fn an_owner_goes_on_when_the_reader_of_its_workers_is_lost() {
    let mut fleet = Fleet::start_with_relays(6, 3, TASK_DURATION).await;
    fleet.wait_until(|it| it.readers().len() == 2).await;
    let owner = fleet.wait_for_owner().await;
    let readers = fleet.readers();
    // An owner that is a reader itself has no reader to lose.
    let lost = if readers.contains(&owner) {
        readers.into_iter().find(|it| *it != owner).expect("another reader")
    } else {
        fleet.wait_until(|it| !it.keepers_of_workers().is_empty()).await;
        fleet.keepers_of_workers()[0]
    };
    fleet.submit(owner, OTHER_JOB_ID, job_body(2)).await;
    fleet.wait_for_state(owner, OTHER_JOB_ID, "completed").await;

    fleet.kill(lost);
    fleet.submit(owner, JOB_ID, job_body(6)).await;
    fleet.wait_for_state(owner, JOB_ID, "completed").await;

    fleet.assert_each_task_ran_once(OTHER_JOB_ID, 2);
    fleet.assert_each_task_ran_once(JOB_ID, 6);
}

/// Guards against a reader that the log turns away, which reads in vain while its followers have
/// long gone to its successor.
#[tokio::test]
async fn a_reader_whose_joins_are_rejected_follows_another_one() {
    let fleet = Fleet::start_with_relays(4, 1, TASK_DURATION).await;
    fleet.wait_until(|it| it.readers().len() == 2).await;
    let turned_away = fleet.readers()[0];

    fleet.refuse_joins(turned_away);

    fleet.wait_until(|it| it.followers().contains(&turned_away)).await;
    fleet.wait_until(|it| it.readers().len() == 2).await;
    let all: Vec<_> = (0..4).collect();
    assert!(fleet.time_until_configured(&all, 2).await < CONFIGURATION_TIME_MAX);
    assert!(!fleet.is_ready(turned_away).await);
}
