//! Leases and orders of an old owner that could last longer than its successor waits for.

mod util;

use std::time::Duration;

use daisy_workflow::{Event, OrderReply, RejectReason, WorkerKey};
use util::{Cluster, FakeWorker, Fault, Node, Simulation, job, long_running_step, task};

/// Milliseconds until an order with the longest delay has been carried out, and its run has ended
/// with the longest lease, with some margin.
const DELAYED_RUN_OVER_MS: u64 = 26_000;

/// Returns two VMs and four workers, one of which has restarted and runs tasks again; and the index
/// of that worker.
fn with_a_restarted_worker() -> (Cluster, usize) {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    cluster.run_ms(2_000);
    let host = cluster.first_task_worker();
    restart(&mut cluster, host);
    (cluster, host)
}

/// Restarts a worker, and returns once it runs tasks again.
fn restart(cluster: &mut Cluster, worker: usize) {
    cluster.crash(worker, Duration::from_millis(300), true);
    assert!(cluster.run_until(2_000, |it| !it.is_down(worker)));
    cluster.run_ms(200);
    for number in 0..8 {
        cluster.submit(cluster.now.0 + number, job(vec![long_running_step(1)]));
        cluster.run_ms(100);
    }
    assert!(!cluster.workers[worker].runs.is_empty(), "the restarted worker runs tasks again");
}

/// A restarted worker is granted the longest lease, for which the next owner has to wait.
#[test]
fn no_task_runs_twice_after_a_lease_of_a_restarted_worker() {
    let (mut cluster, host) = with_a_restarted_worker();
    cluster.isolate(&[Node::Worker(host)]);
    assert!(cluster.claim(1));

    cluster.run_ms(20_000);

    assert!(cluster.all_long_running_active());
}

/// Sends a start that gets no answer and is carried out `delay_ms` later; returns its worker.
fn send_delayed_start(cluster: &mut Cluster, delay_ms: u64) -> usize {
    cluster.submit(2, job(vec![long_running_step(1)]));
    assert!(cluster.run_until(200, |it| it.recorded_worker(2).is_some()));
    let worker = cluster.recorded_worker(2).expect("a start was just recorded");
    cluster.workers[worker].fault = Fault::DelaysStarts(delay_ms);
    cluster.run_ms(50);
    assert_eq!(cluster.workers[worker].delayed_orders.len(), 1, "the order is delayed");
    worker
}

/// A restarted worker carries out a delayed order after its owner was replaced.
#[test]
fn no_task_runs_twice_when_a_restarted_worker_gets_a_delayed_start_after_an_owner_change() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    cluster.run_ms(2_000);
    let worker = send_delayed_start(&mut cluster, 6_000);
    cluster.kill(0);
    cluster.crash(worker, Duration::from_millis(300), true);
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    cluster.run_ms(1_500);
    assert!(cluster.claim(1));

    cluster.run_ms(DELAYED_RUN_OVER_MS);

    assert!(cluster.all_long_running_active());
}

/// A restarted worker that its owner does not reach carries out a delayed order.
#[test]
fn no_task_runs_twice_when_an_unreachable_restarted_worker_gets_a_delayed_start() {
    let mut cluster = Cluster::with_long_running_tasks(1, 4);
    cluster.run_ms(2_000);
    let worker = send_delayed_start(&mut cluster, 6_000);
    cluster.cut(&[Node::Vm(0)], &[Node::Worker(worker)]);
    cluster.crash(worker, Duration::from_millis(300), true);

    cluster.run_ms(DELAYED_RUN_OVER_MS);

    assert!(cluster.all_long_running_active());
}

/// The next owner, too, has to wait for the longest lease when the worker has answered it.
#[test]
fn no_task_runs_twice_after_a_lease_of_a_restarted_worker_that_answers_once() {
    let (mut cluster, host) = with_a_restarted_worker();
    assert!(cluster.claim(1));
    cluster.run_ms(100);
    cluster.isolate(&[Node::Worker(host)]);

    cluster.run_ms(20_000);

    assert!(cluster.all_long_running_active());
}

/// A late order for the incarnation before has extended the lease of the present one, and the next
/// owner, which never reaches the worker, waited for a shorter lease.
#[test]
fn no_task_runs_twice_after_a_late_order_has_extended_a_lease_of_a_restarted_worker() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    cluster.run_ms(2_000);
    let worker = send_delayed_start(&mut cluster, 1_500);
    restart(&mut cluster, worker);
    cluster.run_ms(1_500);
    assert!(cluster.workers[worker].delayed_orders.is_empty(), "the order was carried out");
    cluster.isolate(&[Node::Worker(worker)]);
    assert!(cluster.claim(1));

    cluster.run_ms(20_000);

    assert!(cluster.all_long_running_active());
}

/// A late order for the incarnation before was carried out, or extended the lease, after the restarted
/// worker had been called again.
#[test]
fn a_restarted_worker_that_was_called_again_rejects_a_late_order() {
    let mut cluster = Cluster::with_long_running_tasks(1, 4);
    cluster.run_ms(2_000);
    let worker = send_delayed_start(&mut cluster, 4_000);
    restart(&mut cluster, worker);
    cluster.cut(&[Node::Vm(0)], &[Node::Worker(worker)]);
    let deadline = cluster.workers[worker].deadline;

    let carried_out = cluster.run_until(4_000, |it| it.workers[worker].delayed_orders.is_empty());

    assert!(carried_out);
    assert_eq!(cluster.workers[worker].deadline, deadline);
}

/// The owner stepped down when a restarted worker rejected calls that it had sent before it raised its
/// fencing token.
#[test]
fn an_owner_steps_down_for_rejected_calls_with_its_present_token_alone() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w0", 4)]);
    sim.run_ms(100);
    let (key, now) = (WorkerKey(0), sim.now);
    let before = sim.owner.worker(key).expect("the only worker").token;
    sim.worker("w0").restart(now);
    sim.run_ms(200);
    let present = sim.owner.worker(key).expect("the only worker").token;

    let stepped_down = [before, present].map(|token| {
        let reply = OrderReply::Rejected(RejectReason::Fenced { token });
        sim.owner.handle_event(sim.now, Event::RenewalFenced(key, token));
        sim.owner.handle_event(sim.now, Event::StopAnswered(key, task(1, 0, 0), 1, reply));
        sim.run_ms(10);
        sim.stepped_down
    });

    assert!(before < present, "the token was raised");
    assert_eq!(stepped_down, [false, true]);
}

/// Half of the witnesses reject the old owner, which can have no majority any more: the new owner
/// waits for one lease only.
#[test]
fn a_task_moves_within_7_s_when_the_old_owner_reaches_half_of_the_workers() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    cluster.run_ms(2_000);
    let host = cluster.first_task_worker();
    let another = (host + 1) % 4;
    cluster.isolate(&[Node::Vm(0), Node::Worker(host), Node::Worker(another)]);
    assert!(cluster.claim(1));

    let runs_elsewhere = |it: &Cluster| {
        it.workers_running(task(1, 0, 0)).iter().any(|name| *name != it.workers[host].name)
    };
    assert!(cluster.run_until(7_000, runs_elsewhere));
}

/// An owner of an earlier build renews leases without witnesses, though the log names some.
#[test]
fn no_task_runs_twice_with_an_owner_of_an_earlier_build_between_two() {
    let mut cluster = Cluster::with_long_running_tasks(3, 4);
    cluster.run_ms(2_000);
    let host = cluster.first_task_worker();
    cluster.kill(0);
    cluster.ignores_witnesses = true;
    assert!(cluster.claim(1));
    cluster.ignores_witnesses = false;
    cluster.run_ms(1_000);
    cluster.isolate(&[Node::Vm(1), Node::Worker(host)]);
    cluster.run_ms(1_400);
    assert!(cluster.claim(2));

    cluster.run_ms(20_000);

    assert!(cluster.all_long_running_active());
}
