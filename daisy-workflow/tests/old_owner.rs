//! What old owners, and orders that are carried out late, do on a worker that the newest owner does not
//! reach: it must be over before that owner starts its tasks elsewhere. The cluster checks that at each
//! step.

mod util;

use std::time::Duration;

use util::{Cluster, Fault, Node, job, long_running, task};

/// Has a start recorded of which the owner on the first VM has not heard; the worker that it is for.
fn record_start(cluster: &mut Cluster) -> usize {
    cluster.submit(2, job(vec![long_running(1)]));
    assert!(cluster.run_until(200, |it| it.recorded(2).is_some()));
    cluster.recorded(2).expect("just recorded")
}

/// Another VM, which does not reach a worker, claims and waits until it starts elsewhere what was
/// recorded there.
fn claim_and_move(cluster: &mut Cluster, worker: usize) {
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    assert!(cluster.claim(1));
    let moved = cluster.run_until(20_000, |it| {
        let places = it.places(task(2, 0, 0));
        places.iter().any(|name| *name != it.workers[worker].name)
    });
    assert!(moved);
}

/// Guards against a start whose record an old owner hears of long after it was taken.
#[test]
fn a_start_recorded_before_a_freeze_runs_nothing_twice() {
    let mut cluster = Cluster::busy(2, 4);
    let worker = record_start(&mut cluster);
    cluster.freeze(0);
    claim_and_move(&mut cluster, worker);
    cluster.wake(0);

    cluster.run_ms(2_000);

    assert!(cluster.all_last());
}

/// Guards against a start that an old owner sends again long after it was recorded.
#[test]
fn a_start_sent_again_after_a_freeze_runs_nothing_twice() {
    let mut cluster = Cluster::busy(2, 4);
    let worker = record_start(&mut cluster);
    cluster.workers[worker].fault = Fault::Late(6_000);
    cluster.run_ms(50);
    cluster.freeze(0);
    claim_and_move(&mut cluster, worker);
    cluster.cut_off(&[Node::Vm(0), Node::Worker(worker)]);
    cluster.workers[worker].fault = Fault::None;
    cluster.wake(0);

    cluster.run_ms(2_000);

    assert!(cluster.all_last());
}

/// Guards against a start that an old owner without the log sends again and again.
#[test]
fn a_start_sent_again_without_the_log_runs_nothing_twice() {
    let mut cluster = Cluster::busy(2, 4);
    let worker = record_start(&mut cluster);
    cluster.workers[worker].fault = Fault::Late(6_000);
    cluster.run_ms(50);
    cluster.cut_off(&[Node::Vm(0), Node::Worker(worker)]);
    claim_and_move(&mut cluster, worker);
    cluster.workers[worker].fault = Fault::None;

    cluster.run_ms(2_000);

    assert!(cluster.all_last());
}

/// Guards against an old owner that takes an answer of the log for a younger one than it is.
#[test]
fn a_sign_taken_before_a_freeze_renews_no_longer() {
    let mut cluster = Cluster::busy(2, 4);
    let worker = cluster.host();
    assert!(cluster.run_until(500, |it| it.is_answered(0)));
    cluster.freeze(0);
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    cluster.run_ms(1_500);
    assert!(cluster.claim(1));
    cluster.run_ms(2_500);
    cluster.cut_off(&[Node::Vm(0), Node::Worker(worker)]);
    cluster.wake(0);

    cluster.run_ms(20_000);

    assert!(cluster.all_last());
}

/// Guards against signs of an old owner that are taken until the new one gives its first.
#[test]
fn signs_taken_after_a_claim_renew_no_longer() {
    let mut cluster = Cluster::busy(2, 4);
    let worker = cluster.host();
    let others: Vec<Node> = (0..4).filter(|it| *it != worker).map(Node::Worker).collect();
    cluster.cut(&[Node::Vm(0)], &others);
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    assert!(cluster.claim(1));
    cluster.cut(&[Node::Vm(1)], &[Node::Store]);
    cluster.run_ms(500);
    cluster.cut_off(&[Node::Vm(0), Node::Worker(worker)]);
    cluster.heal(&[Node::Vm(1)], &[Node::Store]);

    cluster.run_ms(20_000);

    assert!(cluster.all_last());
}

/// Guards against a lease that an old owner granted for longer than owners do, after a restart.
#[test]
fn a_longer_lease_after_a_restart_runs_nothing_twice() {
    let mut cluster = Cluster::busy(2, 2);
    let worker = cluster.host();
    cluster.crash(worker, Duration::ZERO, true);
    cluster.run_ms(800);
    cluster.crash(1 - worker, Duration::ZERO, true);
    let back = cluster.run_until(1_000, |it| it.all_last() && it.host() == worker);
    cluster.kill(0);
    assert!(back && cluster.claim(1));
    cluster.run_ms(200);
    cluster.cut_off(&[Node::Worker(worker)]);

    cluster.run_ms(12_000);

    assert!(cluster.all_last());
}

/// Has an order under way that is carried out late, by the next incarnation of its worker.
fn order_late(cluster: &mut Cluster, late: Duration) -> usize {
    cluster.run_ms(6_000);
    let worker = record_start(cluster);
    cluster.calls_take = late;
    cluster.run_ms(20);
    cluster.calls_take = Duration::ZERO;
    cluster.crash(worker, Duration::ZERO, true);
    worker
}

/// Guards against giving up a run on a silent worker whose next incarnation may yet begin it.
#[test]
fn a_late_order_to_a_restarted_worker_runs_nothing_twice() {
    let mut cluster = Cluster::busy(1, 4);
    let worker = order_late(&mut cluster, Duration::from_secs(3));
    cluster.cut(&[Node::Vm(0)], &[Node::Worker(worker)]);

    cluster.run_ms(30_000);

    assert!(cluster.all_last());
}

/// Guards against the same, where the order is that of an owner before.
#[test]
fn a_late_order_of_an_old_owner_to_a_restarted_worker_runs_nothing_twice() {
    let mut cluster = Cluster::busy(2, 4);
    let worker = order_late(&mut cluster, Duration::from_secs(11));
    cluster.kill(0);
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    assert!(cluster.claim(1));

    cluster.run_ms(30_000);

    assert!(cluster.all_last());
}

/// Guards against the same, where no list tells the new owner of the restart.
#[test]
fn a_late_order_to_a_worker_that_restarted_unseen_runs_nothing_twice() {
    let mut cluster = Cluster::busy(2, 4);
    let worker = order_late(&mut cluster, Duration::from_secs(2));
    cluster.kill(0);
    cluster.cut_off(&[Node::Worker(worker)]);
    assert!(cluster.claim(1));

    cluster.run_ms(30_000);

    assert!(cluster.all_last());
}
