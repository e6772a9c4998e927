//! Owners that are alive at the same time, as links are cut and processes stand still. The cluster checks
//! at each step that no task runs in two places.

mod util;

use std::time::Duration;

use util::{Cluster, FakeWorker, Node, job, lasting, task};

/// A worker whose clock is as slow as any.
fn slow(name: String) -> FakeWorker {
    FakeWorker { slow_permille: 20, ..FakeWorker::new(&name, 8) }
}

/// VMs and workers, and tasks that last, as many as there are workers.
fn cluster(vms: usize, workers: usize) -> Cluster {
    let workers: Vec<_> = (0..workers).map(|it| slow(format!("w{it}"))).collect();
    let count = workers.len() as u32;
    let mut cluster = Cluster::new(vms, workers);
    cluster.submit(1, job(vec![lasting(count)]));
    assert!(cluster.run_until(2_000, Cluster::all_last), "they start");
    cluster
}

/// The worker on which the first task runs.
fn host(cluster: &Cluster) -> usize {
    let name = cluster.places(task(1, 0, 0))[0];
    cluster.workers.iter().position(|it| it.name == name).expect("one of the workers")
}

/// Guards against starting elsewhere what an owner without the log goes on renewing.
#[test]
fn an_old_owner_cut_off_with_a_worker_runs_nothing_twice() {
    let mut cluster = cluster(2, 4);
    let own = host(&cluster);
    cluster.cut_off(&[Node::Vm(0), Node::Worker(own)]);
    assert!(cluster.claim(1));

    cluster.run_ms(8_000);
    let kept = cluster.places(task(1, 0, 0)) == [cluster.workers[own].name.as_str()];
    let moved = cluster.run_until(10_000, |it| {
        let places = it.places(task(1, 0, 0));
        places.iter().any(|name| *name != it.workers[own].name)
    });
    cluster.heal_all();
    let over = cluster.run_until(1_000, |it| it.epoch(0).is_none() && it.all_last());

    assert!(kept && moved && over);
}

/// Guards against what a frozen owner does as it wakes, with orders from before.
#[test]
fn an_old_owner_that_wakes_runs_nothing_twice() {
    let mut cluster = cluster(2, 4);
    cluster.submit(2, job(vec![lasting(2)]));
    cluster.run_ms(30);
    cluster.freeze(0);
    cluster.run_ms(1_500);
    assert!(cluster.claim(1));
    cluster.run_ms(4_000);
    cluster.wake(0);
    cluster.run_ms(1_000);

    assert!(cluster.all_last());
    assert_eq!(cluster.epoch(0), None);
}

/// Guards against starting elsewhere what a worker that nobody reaches still runs.
#[test]
fn a_worker_cut_off_from_everybody_runs_nothing_twice() {
    let mut cluster = cluster(1, 4);
    let own = host(&cluster);
    cluster.cut_off(&[Node::Worker(own)]);

    let moved = cluster.run_until(7_000, |it| {
        let places = it.places(task(1, 0, 0));
        places.iter().any(|name| *name != it.workers[own].name)
    });

    assert!(moved);
    assert!(cluster.longest_away() < Duration::from_millis(1_000));
}
