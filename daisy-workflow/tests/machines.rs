//! Late orders to workers that neither the owner nor the list of workers reaches, where the platform
//! lists its machines. The cluster checks at each step that no task runs on two workers.

mod util;

use std::time::Duration;

use util::{Cluster, Node, job, long_running_step, task};

/// Maximum time in milliseconds until a task of an ended worker runs elsewhere, as in
/// `ended_recovery`.
const MAX_RECOVERY_MS: u64 = 7_000;
/// Milliseconds until an order with the longest delay has been carried out, and its run has ended
/// with the longest lease, with some margin.
const DELAYED_RUN_OVER_MS: u64 = 26_000;

/// Sends a start that is carried out after `delay`, and returns its worker.
fn send_late_start(cluster: &mut Cluster, delay: Duration) -> usize {
    cluster.lists_machines = true;
    cluster.run_ms(6_000);
    cluster.submit(2, job(vec![long_running_step(1)]));
    assert!(cluster.run_until(200, |it| it.recorded_worker(2).is_some()));
    cluster.call_latency = delay;
    cluster.run_ms(20);
    cluster.call_latency = Duration::ZERO;
    cluster.recorded_worker(2).expect("a start was just recorded")
}

/// Restarts a worker under its id, where nobody sees it.
fn restart_unseen(cluster: &mut Cluster, worker: usize) {
    cluster.crash(worker, Duration::ZERO, true);
    cluster.isolate(&[Node::Worker(worker)]);
}

/// Guards against a late order that a worker carries out after it restarted unseen, while a new
/// owner starts the task elsewhere.
#[test]
fn a_new_owner_waits_for_late_orders_to_a_worker_that_the_list_of_machines_names() {
    for delay_ms in [2_000, 7_000, 12_000] {
        let mut cluster = Cluster::with_long_running_tasks(2, 4);
        let worker = send_late_start(&mut cluster, Duration::from_millis(delay_ms));
        cluster.kill(0);
        restart_unseen(&mut cluster, worker);
        assert!(cluster.claim(1));

        cluster.run_ms(DELAYED_RUN_OVER_MS);

        assert!(cluster.all_long_running_active());
    }
}

/// Guards against the same by the owner that sent the order.
#[test]
fn an_owner_waits_for_its_late_orders_to_a_worker_that_the_list_of_machines_names() {
    for delay_ms in [2_000, 7_000, 12_000] {
        let mut cluster = Cluster::with_long_running_tasks(1, 4);
        let worker = send_late_start(&mut cluster, Duration::from_millis(delay_ms));
        restart_unseen(&mut cluster, worker);

        cluster.run_ms(DELAYED_RUN_OVER_MS);

        assert!(cluster.all_long_running_active());
    }
}

/// Guards against waiting for late orders to workers that have ended.
#[test]
fn no_owner_waits_for_late_orders_to_a_worker_that_the_list_of_machines_does_not_name() {
    for is_replaced in [false, true] {
        let mut cluster = Cluster::with_long_running_tasks(2, 4);
        let worker = send_late_start(&mut cluster, Duration::from_secs(12));
        cluster.end_worker(worker);
        if is_replaced {
            cluster.kill(0);
            assert!(cluster.claim(1));
        }

        let runs =
            cluster.run_until(MAX_RECOVERY_MS, |it| !it.workers_running(task(2, 0, 0)).is_empty());

        assert!(runs, "is_replaced={is_replaced}");
    }
}
