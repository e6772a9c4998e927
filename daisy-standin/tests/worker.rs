//! Tests the state of a worker stand-in.

use std::time::Duration;

use daisy_history::EventKind;
use daisy_model::{
    Epoch, Exit, Incarnation, Instant, JobId, Order, OrderResult, Resources, TaskId, WorkerCall,
};
use daisy_standin::worker::{Interference, JobBehaviour, WorkerFaults, WorkerOptions, WorkerState};

const TASK: TaskId = TaskId { job: JobId(3), index: 0 };
const OTHER: TaskId = TaskId { job: JobId(4), index: 0 };
const NO_FAULTS: WorkerFaults =
    WorkerFaults { fail_everything: false, overcommit: false, unfenced: false };
const FIRST: Incarnation = Incarnation(1);
const CORE: Resources = Resources { cpu_milli: 1000, memory_mib: 1024, accelerators: 0 };

fn worker(run_ms: u64) -> WorkerState {
    let run_time = Some(Duration::from_millis(run_ms));
    WorkerState::new(WorkerOptions { run_time, ..WorkerOptions::default() })
}

fn call(epoch: u64, orders: Vec<Order>) -> WorkerCall {
    WorkerCall { epoch: Epoch(epoch), lease: Duration::from_secs(10), orders }
}

fn start(task: TaskId, checkpoint: Option<u64>) -> Order {
    Order::Start { task, incarnation: FIRST, size: CORE, checkpoint }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn a_call_with_a_stale_epoch_is_refused_and_has_no_effect() {
    let mut worker = worker(100);
    worker.call(at(0), call(5, vec![]), NO_FAULTS);

    let report = worker.call(at(1), call(4, vec![start(TASK, None)]), NO_FAULTS);

    assert!(!report.accepted);
    assert_eq!(report.epoch, Epoch(5));
    assert!(report.results.is_empty() && report.running.is_empty());
}

#[test]
fn an_incarnation_is_not_started_again_after_it_ended() {
    let mut worker = worker(100);
    worker.call(at(0), call(1, vec![start(TASK, None)]), NO_FAULTS);
    worker.tick(at(200));

    let again = worker.call(at(201), call(1, vec![start(TASK, None)]), NO_FAULTS);

    assert_eq!(again.results, [OrderResult::Done]);
    assert!(again.running.is_empty());
    assert_eq!(again.ended.len(), 1);
}

/// A holder stops an incarnation without knowing whether its start order arrived, and then a delayed
/// copy of the start order arrives. If it were carried out, the task would run both here and where the
/// holder starts it next.
#[test]
fn an_incarnation_that_was_stopped_before_its_start_cannot_start() {
    let mut worker = worker(1000);
    let stop = Order::Stop { task: TASK, incarnation: FIRST };
    worker.call(at(0), call(1, vec![stop]), NO_FAULTS);

    let report = worker.call(at(1), call(1, vec![start(TASK, None)]), NO_FAULTS);

    assert!(report.running.is_empty() && report.ended.is_empty());
}

#[test]
fn a_task_that_exceeds_the_capacity_is_refused() {
    let mut worker = worker(100);
    let size = Resources { cpu_milli: 64_001, ..CORE };

    let order = Order::Start { task: TASK, incarnation: FIRST, size, checkpoint: None };
    let report = worker.call(at(0), call(1, vec![order]), NO_FAULTS);

    assert_eq!(report.results, [OrderResult::NoCapacity]);
    assert!(report.running.is_empty());
}

#[test]
fn an_expired_lease_ends_tasks_at_its_end_and_a_later_call_does_not_renew_it() {
    let mut worker = worker(60_000);
    worker.call(at(0), call(1, vec![start(TASK, None)]), NO_FAULTS);

    // The worker was frozen and wakes up long after the lease's end, when its holder calls.
    let report = worker.call(at(30_000), call(1, vec![]), NO_FAULTS);

    assert!(report.running.is_empty());
    assert_eq!(report.ended[0].exit, Exit::LeaseExpired);
    let events = worker.take_events();
    let ended =
        events.iter().find(|(_, kind)| matches!(kind, EventKind::TaskEnded { .. })).unwrap();
    assert_eq!(ended.0, at(10_000));
}

#[test]
fn an_exit_report_is_repeated_until_it_is_acknowledged() {
    let mut worker = worker(100);
    worker.call(at(0), call(1, vec![start(TASK, None)]), NO_FAULTS);
    let first = worker.call(at(150), call(1, vec![]), NO_FAULTS);
    let second = worker.call(at(160), call(2, vec![]), NO_FAULTS);

    let acknowledge = Order::Acknowledge { task: TASK, incarnation: FIRST };
    let third = worker.call(at(170), call(2, vec![acknowledge]), NO_FAULTS);

    assert_eq!(first.ended, second.ended);
    assert_eq!(first.ended[0].exit, Exit::Done);
    assert!(third.ended.is_empty());
}

#[test]
fn a_checkpoint_carries_the_work_done_to_another_worker() {
    let (mut here, mut there) = (worker(1_000), worker(1_000));
    here.call(at(0), call(1, vec![start(TASK, None)]), NO_FAULTS);
    let order = Order::Checkpoint { task: TASK, incarnation: FIRST };
    let report = here.call(at(800), call(1, vec![order]), NO_FAULTS);
    let Exit::Checkpointed(token) = report.ended[0].exit else { panic!("{report:?}") };

    there.call(at(0), call(1, vec![start(TASK, Some(token))]), NO_FAULTS);
    there.tick(at(150));
    let early = there.call(at(150), call(1, vec![]), NO_FAULTS);
    let late = there.call(at(250), call(1, vec![]), NO_FAULTS);

    assert_eq!(early.running.len(), 1);
    assert_eq!(late.ended[0].exit, Exit::Done);
}

#[test]
fn a_throttled_task_takes_longer() {
    let mut worker = worker(100);
    worker.call(at(0), call(1, vec![start(TASK, None)]), NO_FAULTS);
    let throttle = Order::Throttle { task: TASK, incarnation: FIRST, share: 500 };
    worker.call(at(0), call(1, vec![throttle]), NO_FAULTS);

    let early = worker.call(at(150), call(1, vec![]), NO_FAULTS);
    let late = worker.call(at(201), call(1, vec![]), NO_FAULTS);

    assert_eq!((early.running.len(), late.running.len()), (1, 0));
}

#[test]
fn a_task_under_interference_has_a_slowdown_that_is_reported_after_the_lag() {
    let interference = vec![Interference { victim: 3, aggressor: 4, per_core: 1_000 }];
    let usage_lag = Duration::from_secs(1);
    let options = WorkerOptions { interference, usage_lag, ..WorkerOptions::default() };
    let mut worker = WorkerState::new(options);
    worker.set_jobs(vec![
        JobBehaviour { job: 3, run_ms: None, fails: false, service: Some("shop".to_owned()) },
        JobBehaviour { job: 4, run_ms: None, fails: false, service: None },
    ]);
    worker.call(at(0), call(1, vec![start(TASK, None), start(OTHER, None)]), NO_FAULTS);
    worker.tick(at(200));

    let early = worker.call(at(900), call(1, vec![]), NO_FAULTS);
    let late = worker.call(at(1_300), call(1, vec![]), NO_FAULTS);

    assert!(early.usage.iter().all(|usage| usage.task != TASK));
    let usage = late.usage.iter().find(|usage| usage.task == TASK).unwrap();
    assert_eq!(usage.slowdown, 2_000);
    assert_eq!(worker.services()[0].slowdown, Some(2_000));
}

#[test]
fn fail_everything_makes_every_start_fail() {
    let mut worker = worker(100);

    let report = worker.call(
        at(0),
        call(1, vec![start(TASK, None)]),
        WorkerFaults { fail_everything: true, ..NO_FAULTS },
    );

    assert_eq!(report.results, [OrderResult::Failed]);
    assert!(report.running.is_empty());
}

#[test]
fn an_unfenced_worker_accepts_a_stale_epoch() {
    let mut worker = worker(100);
    worker.call(at(0), call(5, vec![]), NO_FAULTS);

    let faults = WorkerFaults { unfenced: true, ..NO_FAULTS };
    let report = worker.call(at(1), call(4, vec![start(TASK, None)]), faults);

    assert!(report.accepted);
    assert_eq!(report.running.len(), 1);
}

#[test]
fn an_overcommitted_worker_starts_a_task_that_exceeds_its_capacity() {
    let mut worker = worker(100);
    let size = Resources { cpu_milli: 64_001, ..CORE };
    let order = Order::Start { task: TASK, incarnation: FIRST, size, checkpoint: None };

    let faults = WorkerFaults { overcommit: true, ..NO_FAULTS };
    let report = worker.call(at(0), call(1, vec![order]), faults);

    assert_eq!(report.running.len(), 1);
}
