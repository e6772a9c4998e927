//! Lease renewal without a holder.

mod util;

use std::time::Duration;

use daisy_model::{DcId, Epoch, Instant, VmId};
use daisy_placement::{Action, LeaseRenewer, LeaseRenewerEvent, Options};
use util::{FakeWorker, LEASE, size, vm};

fn renewer(epoch: u64) -> LeaseRenewer {
    LeaseRenewer::new(Options::new(DcId(0), Epoch(epoch), LEASE, 7))
}

/// The holder's VM fails while the log is down, so nobody can become the holder. Without
/// renewals every service of the data centre would end when the leases lapse.
#[test]
fn services_keep_running_without_a_holder_and_the_log() {
    let mut worker = FakeWorker::new(size(8, 32));
    worker.call(Instant(0), &util::empty_call(Epoch(4)));
    worker.running = vec![daisy_model::RunningTask {
        task: util::task(0, 0),
        incarnation: daisy_model::Incarnation(1),
        size: size(1, 1),
        share: 1000,
    }];
    let mut renewer = renewer(4);
    let vms = [vm(1, size(8, 32))];
    let mut actions = Vec::new();

    for seconds in 0..600 {
        let now = Instant::from_millis(seconds * 1_000);
        worker.lapse(now);
        renewer.step(now, LeaseRenewerEvent::Vms(&vms), &mut actions);
        renewer.step(now, LeaseRenewerEvent::Tick, &mut actions);
        for action in std::mem::take(&mut actions) {
            let Action::Call { vm, call } = action else {
                panic!("a lease renewer only calls workers")
            };
            assert!(call.orders.is_empty(), "calls of a lease renewer carry no orders");
            let epoch = worker.call(now, &call).epoch;
            renewer.step(now, LeaseRenewerEvent::Report { vm, epoch }, &mut actions);
        }
    }

    assert_eq!((worker.lapsed_tasks, worker.running.len()), (0, 1));
}

#[test]
fn a_lease_renewer_ends_when_a_worker_has_seen_a_newer_holder() {
    let mut renewer = renewer(4);
    let vms = [vm(1, size(8, 32))];
    let mut actions = Vec::new();
    renewer.step(Instant(0), LeaseRenewerEvent::Vms(&vms), &mut actions);
    actions.clear();

    let report = LeaseRenewerEvent::Report { vm: VmId(1), epoch: Epoch(5) };
    renewer.step(Instant(0), report, &mut actions);
    renewer.step(Instant(0) + Duration::from_secs(60), LeaseRenewerEvent::Tick, &mut actions);

    assert!(renewer.is_ended());
    assert_eq!(actions, []);
}

#[test]
fn the_lease_of_a_vm_missing_from_the_list_is_not_renewed() {
    let mut renewer = renewer(4);
    let mut actions = Vec::new();
    renewer.step(Instant(0), LeaseRenewerEvent::Vms(&[vm(1, size(8, 32))]), &mut actions);
    let report = LeaseRenewerEvent::Report { vm: VmId(1), epoch: Epoch(4) };
    renewer.step(Instant(0), report, &mut actions);
    actions.clear();

    renewer.step(Instant(0), LeaseRenewerEvent::Vms(&[]), &mut actions);
    renewer.step(Instant(0) + LEASE, LeaseRenewerEvent::Tick, &mut actions);

    assert_eq!(actions, []);
}
