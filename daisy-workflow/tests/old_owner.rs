//! Old owners, and delayed orders, on a worker that the newest owner does not reach: all that they
//! run there must have ended before that owner starts the tasks elsewhere. The cluster checks that
//! at each step.

mod util;

use std::time::Duration;

use util::{Cluster, Fault, Node, job, long_running_step, task};

/// Records a start whose confirmation the owner on the first VM has not received, and returns the
/// worker that it names.
fn record_unconfirmed_start(cluster: &mut Cluster) -> usize {
    cluster.submit(2, job(vec![long_running_step(1)]));
    assert!(cluster.run_until(200, |it| it.recorded_worker(2).is_some()));
    cluster.recorded_worker(2).expect("a start was just recorded")
}

/// Lets another VM, which does not reach a worker, claim the shard, and waits until it starts
/// elsewhere the task that was recorded on that worker.
fn claim_and_move(cluster: &mut Cluster, worker: usize) {
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    assert!(cluster.claim(1));
    let moved = cluster.run_until(20_000, |it| {
        let places = it.workers_running(task(2, 0, 0));
        places.iter().any(|name| *name != it.workers[worker].name)
    });
    assert!(moved);
}

/// Guards against an old owner that learns long afterwards that the record of a start was stored.
#[test]
fn no_task_runs_twice_when_an_old_owner_freezes_after_recording_a_start() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    let worker = record_unconfirmed_start(&mut cluster);
    cluster.freeze(0);
    claim_and_move(&mut cluster, worker);
    cluster.wake(0);

    cluster.run_ms(2_000);

    assert!(cluster.all_long_running_active());
}

/// Guards against a start that an old owner sends again long after it was recorded.
#[test]
fn no_task_runs_twice_when_an_old_owner_resends_a_start_after_a_freeze() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    let worker = record_unconfirmed_start(&mut cluster);
    cluster.workers[worker].fault = Fault::DelaysStarts(6_000);
    cluster.run_ms(50);
    cluster.freeze(0);
    claim_and_move(&mut cluster, worker);
    cluster.isolate(&[Node::Vm(0), Node::Worker(worker)]);
    cluster.workers[worker].fault = Fault::None;
    cluster.wake(0);

    cluster.run_ms(2_000);

    assert!(cluster.all_long_running_active());
}

/// Guards against a start that an old owner without the log sends repeatedly.
#[test]
fn no_task_runs_twice_when_an_old_owner_without_the_log_resends_a_start() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    let worker = record_unconfirmed_start(&mut cluster);
    cluster.workers[worker].fault = Fault::DelaysStarts(6_000);
    cluster.run_ms(50);
    cluster.isolate(&[Node::Vm(0), Node::Worker(worker)]);
    claim_and_move(&mut cluster, worker);
    cluster.workers[worker].fault = Fault::None;

    cluster.run_ms(2_000);

    assert!(cluster.all_long_running_active());
}

/// Guards against an old owner that treats an answer of the log as newer than it is.
#[test]
fn a_heartbeat_stored_before_a_freeze_does_not_extend_leases() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    let worker = cluster.first_task_worker();
    assert!(cluster.run_until(500, |it| it.has_log_answer_in_flight(0)));
    cluster.freeze(0);
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    cluster.run_ms(1_500);
    assert!(cluster.claim(1));
    cluster.run_ms(2_500);
    cluster.isolate(&[Node::Vm(0), Node::Worker(worker)]);
    cluster.wake(0);

    cluster.run_ms(20_000);

    assert!(cluster.all_long_running_active());
}

/// Guards against heartbeats of an old owner that are stored until the new owner sends its first.
#[test]
fn heartbeats_stored_after_a_claim_do_not_extend_leases() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    let worker = cluster.first_task_worker();
    let others: Vec<Node> = (0..4).filter(|it| *it != worker).map(Node::Worker).collect();
    cluster.cut(&[Node::Vm(0)], &others);
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    assert!(cluster.claim(1));
    cluster.cut(&[Node::Vm(1)], &[Node::Store]);
    cluster.run_ms(500);
    cluster.isolate(&[Node::Vm(0), Node::Worker(worker)]);
    cluster.heal(&[Node::Vm(1)], &[Node::Store]);

    cluster.run_ms(20_000);

    assert!(cluster.all_long_running_active());
}

/// Guards against a lease that an old owner granted, after a worker's restart, for longer than
/// owners usually do.
#[test]
fn no_task_runs_twice_after_a_longer_lease_of_a_restarted_worker() {
    let mut cluster = Cluster::with_long_running_tasks(2, 2);
    let worker = cluster.first_task_worker();
    cluster.crash(worker, Duration::ZERO, true);
    cluster.run_ms(800);
    cluster.crash(1 - worker, Duration::ZERO, true);
    let runs_on_same_worker = cluster
        .run_until(1_000, |it| it.all_long_running_active() && it.first_task_worker() == worker);
    cluster.kill(0);
    assert!(runs_on_same_worker && cluster.claim(1));
    cluster.run_ms(200);
    cluster.isolate(&[Node::Worker(worker)]);

    cluster.run_ms(12_000);

    assert!(cluster.all_long_running_active());
}

/// Sends an order that is carried out after the delay `delay`, by the next incarnation of its
/// worker; returns that worker.
fn send_delayed_order(cluster: &mut Cluster, delay: Duration) -> usize {
    cluster.run_ms(6_000);
    let worker = record_unconfirmed_start(cluster);
    cluster.call_latency = delay;
    cluster.run_ms(20);
    cluster.call_latency = Duration::ZERO;
    cluster.crash(worker, Duration::ZERO, true);
    worker
}

/// Guards against giving up a run on an unreachable worker whose next incarnation may still start
/// it.
#[test]
fn no_task_runs_twice_when_a_delayed_order_reaches_a_restarted_worker() {
    let mut cluster = Cluster::with_long_running_tasks(1, 4);
    let worker = send_delayed_order(&mut cluster, Duration::from_secs(3));
    cluster.cut(&[Node::Vm(0)], &[Node::Worker(worker)]);

    cluster.run_ms(30_000);

    assert!(cluster.all_long_running_active());
}

/// Guards against the same when the order is from a previous owner.
#[test]
fn no_task_runs_twice_when_a_delayed_order_of_an_old_owner_reaches_a_restarted_worker() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    let worker = send_delayed_order(&mut cluster, Duration::from_secs(11));
    cluster.kill(0);
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    assert!(cluster.claim(1));

    cluster.run_ms(30_000);

    assert!(cluster.all_long_running_active());
}

/// Guards against the same when no list shows the new owner that the worker restarted.
#[test]
fn a_late_order_to_a_worker_that_restarted_unseen_runs_nothing_twice() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    let worker = send_delayed_order(&mut cluster, Duration::from_secs(2));
    cluster.kill(0);
    cluster.isolate(&[Node::Worker(worker)]);
    assert!(cluster.claim(1));

    cluster.run_ms(30_000);

    assert!(cluster.all_long_running_active());
}
