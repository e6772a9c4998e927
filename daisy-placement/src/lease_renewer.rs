//! Leases are kept up while a data centre has no holder that answers.

use std::time::Duration;

use daisy_model::{Epoch, Instant, SortedMap, Vm, VmId, VmRole, WorkerCall};

use crate::{holder::Action, options::Options};

/// What a caretaker learns.
#[derive(Debug)]
pub enum LeaseRenewerEvent<'a> {
    /// The platform's VM list, whole.
    Vms(&'a [Vm]),
    /// A worker answered the outstanding call.
    Report {
        /// The worker.
        vm: VmId,
        /// The highest epoch that it has seen.
        epoch: Epoch,
    },
    /// The outstanding call got no answer.
    CallFailed {
        /// The worker.
        vm: VmId,
    },
    /// Time has passed; at least every second.
    Tick,
}

/// A worker as a caretaker sees it.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    next_call_at: Instant,
    is_outstanding: bool,
}

/// Renews the leases of a data centre's workers under its last known epoch, and no more.
///
/// An entry VM runs one while the holder of its data centre is silent and nobody can claim
/// the data centre because the log is down. It sends calls without orders, so it decides
/// nothing: tasks run on that were running, and none is started, stopped or moved.
///
/// # Availability against "never in two places"
///
/// A lease ends work on a VM that nobody reaches, so that the work may start elsewhere. A
/// renewal therefore never endangers anything as long as nobody starts the work elsewhere
/// on the strength of time alone. Here nobody does: a new holder starts a task again only
/// if its worker has answered the new epoch, which shuts out every earlier one, or if the
/// platform's list has dropped the VM and a lease and a margin have passed since. So an old
/// holder, or a caretaker, may renew for as long as the log is out of reach: a shop that is
/// cut off from the platform for an hour keeps its checkout. Bounded renewals were weighed
/// and ruled out: after the bound all services of a data centre would end at once, in the
/// very hour in which nobody can start them again.
///
/// What remains is a VM that the list drops while it runs on, cut off together with
/// an old holder or caretaker that still renews it. That a VM missing from the list is gone
/// is the platform's word, and those who renew heed it too: a VM missing from their list is
/// not renewed. An old holder that sees neither the list nor the log while the VM in
/// question still runs would be needed, and it must outlast lease and margin; see
/// `docs/OPERATING.md`.
#[derive(Debug)]
pub struct LeaseRenewer {
    options: Options,
    workers: SortedMap<VmId, Renewal>,
    ended: bool,
}

impl LeaseRenewer {
    /// Renewals are made this many times in a lease.
    const CALLS_PER_LEASE: u32 = 3;

    /// A caretaker under the epoch that was last seen in the ledger.
    pub fn new(options: Options) -> LeaseRenewer {
        LeaseRenewer { options, workers: SortedMap::new(), ended: false }
    }

    /// Whether a worker has seen a higher epoch: a holder is back, and the caretaker's work done.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Takes `event` in at `now` and pushes the calls to make.
    pub fn step(&mut self, now: Instant, event: LeaseRenewerEvent<'_>, actions: &mut Vec<Action>) {
        match event {
            LeaseRenewerEvent::Vms(vms) => self.handle_vm_list(now, vms),
            LeaseRenewerEvent::Report { vm, epoch } => self.handle_report(now, vm, epoch),
            LeaseRenewerEvent::CallFailed { vm } => {
                self.answered(vm, now + self.options.limits.retry_interval)
            }
            LeaseRenewerEvent::Tick => {}
        }
        if !self.ended {
            self.renew(now, actions);
        }
    }

    fn handle_vm_list(&mut self, now: Instant, vms: &[Vm]) {
        let dc = self.options.dc;
        let ours = |vm: &&Vm| vm.role == VmRole::Worker && vm.dc == dc;
        let mut listed: Vec<VmId> = vms.iter().filter(ours).map(|vm| vm.id).collect();
        listed.sort_unstable();
        self.workers.retain(|vm, _| listed.binary_search(vm).is_ok());
        for vm in listed {
            self.workers
                .get_or_insert_with(vm, || Renewal { next_call_at: now, is_outstanding: false });
        }
    }

    fn handle_report(&mut self, now: Instant, vm: VmId, epoch: Epoch) {
        // A higher epoch is a newer holder's: it renews, and calls under the old epoch
        // would only be refused.
        self.ended |= epoch > self.options.epoch;
        self.answered(vm, now + self.period());
    }

    fn answered(&mut self, vm: VmId, next_call_at: Instant) {
        if let Some(renewal) = self.workers.get_mut(&vm) {
            *renewal = Renewal { next_call_at, is_outstanding: false };
        }
    }

    fn renew(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (epoch, lease) = (self.options.epoch, self.options.lease);
        for (vm, renewal) in self.workers.iter_mut() {
            if renewal.is_outstanding || now < renewal.next_call_at {
                continue;
            }
            renewal.is_outstanding = true;
            let call = WorkerCall { epoch, lease, orders: Vec::new() };
            actions.push(Action::Call { vm: *vm, call });
        }
    }

    fn period(&self) -> Duration {
        self.options.lease / LeaseRenewer::CALLS_PER_LEASE
    }
}
