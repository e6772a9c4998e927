//! Renewals without a holder.

mod util;

use std::time::Duration;

use daisy_model::{DcId, Epoch, Instant, VmId};
use daisy_placement::{Action, LeaseRenewer, LeaseRenewerEvent, Options};
use util::{FakeWorker, LEASE, size, vm};

fn caretaker(epoch: u64) -> LeaseRenewer {
    LeaseRenewer::new(Options::new(DcId(0), Epoch(epoch), LEASE, 7))
}

/// The holder's VM dies while the log is down, so nobody can become the holder.
/// Callers would see every service of the data centre end when the leases lapse.
#[test]
fn services_go_on_without_holder_and_log() {
    let mut worker = FakeWorker::new(size(8, 32));
    worker.call(Instant(0), &util::empty_call(Epoch(4)));
    worker.running = vec![daisy_model::Running {
        task: util::task(0, 0),
        incarnation: daisy_model::Incarnation(1),
        size: size(1, 1),
        share: 1000,
    }];
    let mut caretaker = caretaker(4);
    let vms = [vm(1, size(8, 32))];
    let mut actions = Vec::new();

    for seconds in 0..600 {
        let now = Instant::from_millis(seconds * 1_000);
        worker.lapse(now);
        caretaker.step(now, LeaseRenewerEvent::Vms(&vms), &mut actions);
        caretaker.step(now, LeaseRenewerEvent::Tick, &mut actions);
        for action in std::mem::take(&mut actions) {
            let Action::Call { vm, call } = action else { panic!("a caretaker only calls") };
            assert!(call.orders.is_empty(), "a caretaker orders nothing");
            let epoch = worker.call(now, &call).epoch;
            caretaker.step(now, LeaseRenewerEvent::Report { vm, epoch }, &mut actions);
        }
    }

    assert_eq!((worker.lapsed, worker.running.len()), (0, 1));
}

#[test]
fn a_caretaker_ends_when_a_worker_has_seen_a_holder() {
    let mut caretaker = caretaker(4);
    let vms = [vm(1, size(8, 32))];
    let mut actions = Vec::new();
    caretaker.step(Instant(0), LeaseRenewerEvent::Vms(&vms), &mut actions);
    actions.clear();

    let report = LeaseRenewerEvent::Report { vm: VmId(1), epoch: Epoch(5) };
    caretaker.step(Instant(0), report, &mut actions);
    caretaker.step(Instant(0) + Duration::from_secs(60), LeaseRenewerEvent::Tick, &mut actions);

    assert!(caretaker.is_ended());
    assert_eq!(actions, []);
}

#[test]
fn a_vm_missing_from_the_list_is_not_renewed() {
    let mut caretaker = caretaker(4);
    let mut actions = Vec::new();
    caretaker.step(Instant(0), LeaseRenewerEvent::Vms(&[vm(1, size(8, 32))]), &mut actions);
    let report = LeaseRenewerEvent::Report { vm: VmId(1), epoch: Epoch(4) };
    caretaker.step(Instant(0), report, &mut actions);
    actions.clear();

    caretaker.step(Instant(0), LeaseRenewerEvent::Vms(&[]), &mut actions);
    caretaker.step(Instant(0) + LEASE, LeaseRenewerEvent::Tick, &mut actions);

    assert_eq!(actions, []);
}
