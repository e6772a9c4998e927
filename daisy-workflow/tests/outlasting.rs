//! Schedules in which what an old owner granted, or ordered, might outlast what its successor allows for.

mod util;

use std::time::Duration;

use util::{Cluster, Fault, Node, job, long_running, task};

/// Milliseconds until an order carried out as late as any has run for the longest lease, and some.
const LATE_OVER_MS: u64 = 26_000;

/// Two VMs and four workers, one of which has started anew and runs tasks again; and that one.
fn with_a_restarted_worker() -> (Cluster, usize) {
    let mut cluster = Cluster::busy(2, 4);
    cluster.run_ms(2_000);
    let own = cluster.host();
    cluster.crash(own, Duration::from_millis(300), true);
    assert!(cluster.run_until(2_000, |it| !it.is_down(own)));
    cluster.run_ms(200);
    for id in 2..=9 {
        cluster.submit(id, job(vec![long_running(1)]));
        cluster.run_ms(100);
    }
    assert!(!cluster.workers[own].runs.is_empty(), "it has got tasks again");
    (cluster, own)
}

/// A worker that starts anew is granted the longest lease, which the next owner has to wait for.
#[test]
fn a_lease_of_a_reborn_worker_runs_nothing_twice() {
    let (mut cluster, own) = with_a_restarted_worker();
    cluster.cut_off(&[Node::Worker(own)]);
    assert!(cluster.claim(1));

    cluster.run_ms(20_000);

    assert!(cluster.all_last());
}

/// Has a start sent that gets no answer and is carried out some seconds later; its worker.
fn send_a_late_start(cluster: &mut Cluster) -> usize {
    cluster.submit(2, job(vec![long_running(1)]));
    assert!(cluster.run_until(200, |it| it.recorded(2).is_some()));
    let worker = cluster.recorded(2).expect("just recorded");
    cluster.workers[worker].fault = Fault::Late(6_000);
    cluster.run_ms(50);
    assert_eq!(cluster.workers[worker].late.len(), 1, "it is on its way");
    worker
}

/// An order carried out late by a worker that started anew, after its owner was replaced.
#[test]
fn a_late_start_on_a_reborn_worker_runs_nothing_twice_after_a_change_of_owner() {
    let mut cluster = Cluster::busy(2, 4);
    cluster.run_ms(2_000);
    let worker = send_a_late_start(&mut cluster);
    cluster.kill(0);
    cluster.crash(worker, Duration::from_millis(300), true);
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(worker)]);
    cluster.run_ms(1_500);
    assert!(cluster.claim(1));

    cluster.run_ms(LATE_OVER_MS);

    assert!(cluster.all_last());
}

/// An order carried out late by a worker that started anew and that its owner does not reach.
#[test]
fn a_late_start_on_a_reborn_worker_out_of_reach_runs_nothing_twice() {
    let mut cluster = Cluster::busy(1, 4);
    cluster.run_ms(2_000);
    let worker = send_a_late_start(&mut cluster);
    cluster.cut(&[Node::Vm(0)], &[Node::Worker(worker)]);
    cluster.crash(worker, Duration::from_millis(300), true);

    cluster.run_ms(LATE_OVER_MS);

    assert!(cluster.all_last());
}

/// The next owner, too, has to allow for the longest lease once it was answered.
#[test]
fn a_lease_of_a_reborn_worker_that_answers_once_runs_nothing_twice() {
    let (mut cluster, own) = with_a_restarted_worker();
    assert!(cluster.claim(1));
    cluster.run_ms(100);
    cluster.cut_off(&[Node::Worker(own)]);

    cluster.run_ms(20_000);

    assert!(cluster.all_last());
}

/// Half of the witnesses refuse the old owner, which can have no majority any more.
#[test]
fn an_owner_with_half_of_the_workers_waits_for_one_lease() {
    let mut cluster = Cluster::busy(2, 4);
    cluster.run_ms(2_000);
    let own = cluster.host();
    let another = (own + 1) % 4;
    cluster.cut_off(&[Node::Vm(0), Node::Worker(own), Node::Worker(another)]);
    assert!(cluster.claim(1));

    let places =
        |it: &Cluster| it.places(task(1, 0, 0)).iter().any(|name| *name != it.workers[own].name);
    assert!(cluster.run_until(7_000, places));
}

/// An owner of an earlier build renews without witnesses, though the log names some.
#[test]
fn an_owner_of_an_earlier_build_between_two_runs_nothing_twice() {
    let mut cluster = Cluster::busy(3, 4);
    cluster.run_ms(2_000);
    let own = cluster.host();
    cluster.kill(0);
    cluster.ignores_witnesses = true;
    assert!(cluster.claim(1));
    cluster.ignores_witnesses = false;
    cluster.run_ms(1_000);
    cluster.cut_off(&[Node::Vm(1), Node::Worker(own)]);
    cluster.run_ms(1_400);
    assert!(cluster.claim(2));

    cluster.run_ms(20_000);

    assert!(cluster.all_last());
}
