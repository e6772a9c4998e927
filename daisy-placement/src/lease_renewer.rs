//! Renews leases while a data centre has no holder that answers.

use std::time::Duration;

use daisy_model::{Epoch, Instant, SortedMap, Vm, VmId, VmRole, WorkerCall};

use crate::{holder::Action, options::Options};

/// An input of a [`LeaseRenewer`].
#[derive(Debug)]
pub enum LeaseRenewerEvent<'a> {
    /// The platform's complete VM list.
    Vms(&'a [Vm]),
    /// A worker answered the outstanding call.
    Report {
        /// The worker.
        vm: VmId,
        /// The highest epoch that the worker has seen.
        epoch: Epoch,
    },
    /// The outstanding call got no answer.
    CallFailed {
        /// The worker.
        vm: VmId,
    },
    /// Time has passed; sent at least every second.
    Tick,
}

/// When a worker is called next, and whether a call is outstanding.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    next_call_at: Instant,
    is_outstanding: bool,
}

/// Renews the leases of a data centre's workers under its last known epoch, and does nothing
/// else.
///
/// An entry VM runs a lease renewer while the holder of its data centre does not answer and nobody
/// can claim the data centre because the log is down. Its calls carry no orders, so it decides
/// nothing: running tasks go on, and none is started, stopped or moved.
///
/// # Why renewals are not bounded in time
///
/// A lease ends the work on an unreachable VM so that the work may start elsewhere. A renewal is
/// therefore safe as long as nobody starts the work elsewhere only because time has passed. Nobody
/// does: a new holder starts a task again only if its worker has answered the new epoch, which
/// fences every earlier one, or if the platform's list has dropped the VM and a lease and a margin
/// have passed since. So an old holder or a lease renewer may renew for as long as the log is
/// unreachable: for example, a store that is cut off from the platform for an hour keeps its
/// point-of-sale service. Bounded renewals were considered and rejected: at the bound all services
/// of a data centre would end at once, at a time when nobody can start them again.
///
/// One case remains: a VM that the list drops while it still runs, cut off together with an old
/// holder or lease renewer that still renews its lease. The platform guarantees that a VM
/// missing from the list is lost, and renewers rely on it as well: a VM missing from their list
/// is not renewed. The case therefore needs an old holder that sees neither the list nor the log
/// while the VM still runs, for longer than the lease and the margin; see `docs/OPERATING.md`.
#[derive(Debug)]
pub struct LeaseRenewer {
    options: Options,
    workers: SortedMap<VmId, Renewal>,
    ended: bool,
}

impl LeaseRenewer {
    /// The number of renewals within one lease.
    const CALLS_PER_LEASE: u32 = 3;

    /// Creates a lease renewer under the last epoch that the ledger showed.
    pub fn new(options: Options) -> LeaseRenewer {
        LeaseRenewer { options, workers: SortedMap::new(), ended: false }
    }

    /// Whether a worker has seen a higher epoch: a holder is active again, and this renewer is
    /// done.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Handles `event` at time `now` and pushes the calls to make.
    pub fn step(&mut self, now: Instant, event: LeaseRenewerEvent<'_>, actions: &mut Vec<Action>) {
        match event {
            LeaseRenewerEvent::Vms(vms) => self.handle_vm_list(now, vms),
            LeaseRenewerEvent::Report { vm, epoch } => self.handle_report(now, vm, epoch),
            LeaseRenewerEvent::CallFailed { vm } => {
                self.end_call(vm, now + self.options.limits.retry_interval)
            }
            LeaseRenewerEvent::Tick => {}
        }
        if !self.ended {
            self.renew(now, actions);
        }
    }

    fn handle_vm_list(&mut self, now: Instant, vms: &[Vm]) {
        let dc = self.options.dc;
        let is_ours = |vm: &&Vm| vm.role == VmRole::Worker && vm.dc == dc;
        let mut listed: Vec<VmId> = vms.iter().filter(is_ours).map(|vm| vm.id).collect();
        listed.sort_unstable();
        self.workers.retain(|vm, _| listed.binary_search(vm).is_ok());
        for vm in listed {
            self.workers
                .get_or_insert_with(vm, || Renewal { next_call_at: now, is_outstanding: false });
        }
    }

    fn handle_report(&mut self, now: Instant, vm: VmId, epoch: Epoch) {
        // A higher epoch belongs to a newer holder, which renews the leases itself; calls under
        // the old epoch would only be rejected.
        self.ended |= epoch > self.options.epoch;
        self.end_call(vm, now + self.renewal_interval());
    }

    fn end_call(&mut self, vm: VmId, next_call_at: Instant) {
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

    fn renewal_interval(&self) -> Duration {
        self.options.lease / LeaseRenewer::CALLS_PER_LEASE
    }
}
