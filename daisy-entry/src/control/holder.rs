//! Drives the holder or the lease renewer: passes events in and executes the actions.

use daisy_membership::Role;
use daisy_model::{Epoch, Instant, SortedMap, Vm, VmId, WorkerReport};
use daisy_placement::{
    Action, DataCentre, Event, Holder, LeaseRenewer, LeaseRenewerEvent, Options,
};
use daisy_routing::{KeyAnswer, KeyQuery};
use daisy_wire::report_merger::ReportMerger;

use crate::{
    boundary::RequestSide,
    control::{Control, Identity},
    worker_calls::{self, CallFailure, CallIssuer, CallTarget, WorkerAnswer, WorkerUpdate},
};

/// The holder or lease renewer, while this entry VM is one.
#[derive(Debug, Default)]
pub(super) struct HolderDriver {
    holder: Option<Holder>,
    /// Whether the holder is suspended: without a proven lease it decides nothing.
    suspended: bool,
    /// Workers whose answers arrived while the holder was suspended.
    answered_while_suspended: Vec<VmId>,
    lease_renewer: Option<(Epoch, LeaseRenewer)>,
    /// The last known report of each worker, so that workers send changes only.
    report_mergers: SortedMap<VmId, ReportMerger>,
    /// Workers with a pending wait for an update; at most one wait per worker.
    pending_update_waits: SortedMap<VmId, ()>,
}

impl HolderDriver {
    /// Returns the holder, unless there is none or it is suspended.
    pub(super) fn active_holder(&mut self) -> Option<&mut Holder> {
        self.holder.as_mut().filter(|_| !self.suspended)
    }
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Takes the role that the membership has decided for this entry VM.
    pub(super) fn become_role(&mut self, now: Instant, role: Role) {
        let (name, epoch) = match role {
            Role::Idle => ("idle", None),
            Role::Holder(epoch) => ("holder", Some(epoch)),
            Role::LeaseRenewer(epoch) => ("caretaker", Some(epoch)),
        };
        let epoch = epoch.map_or("none".to_owned(), |it| it.to_string());
        log::info!("event=role dc={} role={name} epoch={epoch}", self.identity.dc);
        match role {
            Role::Idle => self.holder_driver = HolderDriver::default(),
            Role::LeaseRenewer(epoch) => self.start_lease_renewer(now, epoch),
            Role::Holder(epoch) => self.start_or_resume_holder(now, epoch),
        }
    }

    fn start_or_resume_holder(&mut self, now: Instant, epoch: Epoch) {
        self.holder_driver.lease_renewer = None;
        let resumed = self.holder_driver.holder.as_ref().is_some_and(|it| it.epoch() == epoch);
        if !resumed {
            self.holder_driver = HolderDriver::default();
            self.holder_driver.holder = Some(Holder::new(options(&self.identity, epoch)));
        }
        self.holder_driver.suspended = false;
        let reachable = self.appends.is_reachable();
        self.drive_holder(now, Event::Log { reachable });
        let (state, vms) = (self.state.clone(), self.vms.clone());
        self.drive_holder(now, Event::Ledger(&state));
        if !resumed {
            // A resumed holder waits for the next read: the list at hand may be out of date.
            self.drive_holder(now, Event::Vms(&vms));
        }
        // The answers of those workers are out of date; the holder treats the calls as failed.
        for vm in std::mem::take(&mut self.holder_driver.answered_while_suspended) {
            self.drive_holder(now, Event::CallFailed { vm, sent: true });
        }
    }

    fn start_lease_renewer(&mut self, now: Instant, epoch: Epoch) {
        self.holder_driver.suspended = true;
        let lease_renewer = LeaseRenewer::new(options(&self.identity, epoch));
        self.holder_driver.lease_renewer = Some((epoch, lease_renewer));
        let vms = self.vms.clone();
        self.drive_lease_renewer(now, LeaseRenewerEvent::Vms(&vms));
    }

    /// Passes an event to the holder, if there is one, and executes the resulting actions.
    pub(super) fn drive_holder(&mut self, now: Instant, event: Event<'_>) {
        let Some(holder) = self.holder_driver.active_holder() else { return };
        let mut actions = Vec::new();
        holder.step(now, event, &mut actions);
        self.execute_for(CallIssuer::Holder, actions);
    }

    /// Passes an event to the lease renewer, if there is one, and executes the resulting actions.
    pub(super) fn drive_lease_renewer(&mut self, now: Instant, event: LeaseRenewerEvent<'_>) {
        let Some((_, lease_renewer)) = &mut self.holder_driver.lease_renewer else { return };
        let mut actions = Vec::new();
        lease_renewer.step(now, event, &mut actions);
        self.execute_for(CallIssuer::LeaseRenewer, actions);
    }

    fn execute_for(&mut self, issuer: CallIssuer, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => self.append(record),
                Action::Call { vm, call } => {
                    let seen =
                        self.holder_driver.report_mergers.get(&vm).and_then(ReportMerger::seen);
                    worker_calls::spawn(self.call_target(vm), issuer, call, seen);
                }
            }
        }
    }

    /// Handles the outcome of a worker call, if its issuer is still in charge.
    pub(super) fn handle_worker_answer(
        &mut self,
        now: Instant,
        (issuer, epoch): (CallIssuer, Epoch),
        vm: VmId,
        outcome: Result<WorkerAnswer, CallFailure>,
    ) {
        self.out.metrics.worker_call(outcome.is_ok());
        let outcome = outcome.and_then(|answer| self.complete_report(vm, answer));
        match issuer {
            CallIssuer::LeaseRenewer
                if self.holder_driver.lease_renewer.as_ref().is_some_and(|it| it.0 == epoch) =>
            {
                let event = match outcome {
                    Ok(report) => LeaseRenewerEvent::Report { vm, epoch: report.epoch },
                    Err(_) => LeaseRenewerEvent::CallFailed { vm },
                };
                self.drive_lease_renewer(now, event);
            }
            CallIssuer::Holder
                if self.holder_driver.holder.as_ref().is_some_and(|it| it.epoch() == epoch) =>
            {
                if self.holder_driver.suspended {
                    self.holder_driver.answered_while_suspended.push(vm);
                }
                match &outcome {
                    Ok(report) => {
                        self.drive_holder(now, Event::Report { vm, report });
                        self.wait_for_update(vm, epoch);
                    }
                    Err(failure) => {
                        self.drive_holder(now, Event::CallFailed { vm, sent: failure.sent })
                    }
                }
            }
            // The issuer of the call is no longer in charge.
            CallIssuer::LeaseRenewer | CallIssuer::Holder => {}
        }
    }

    /// Combines a worker's earlier reports and its newest changes into a complete report.
    fn complete_report(
        &mut self,
        vm: VmId,
        answer: WorkerAnswer,
    ) -> Result<WorkerReport, CallFailure> {
        let report_merger =
            self.holder_driver.report_mergers.get_or_insert_with(vm, ReportMerger::new);
        report_merger.merge(&answer.orders, answer.report).ok_or(CallFailure { sent: true })
    }

    /// Starts a wait for a worker's next update, unless one is pending.
    fn wait_for_update(&mut self, vm: VmId, epoch: Epoch) {
        let Some(seen) = self.holder_driver.report_mergers.get(&vm).and_then(ReportMerger::seen)
        else {
            return;
        };
        if !self.holder_driver.pending_update_waits.contains_key(&vm) {
            self.holder_driver.pending_update_waits.insert(vm, ());
            worker_calls::wait_for_update(self.call_target(vm), epoch, seen);
        }
    }

    /// Handles the end of a wait for a worker's update: the holder calls a worker that has one. A
    /// worker that did not answer is waited for again only after its next report.
    pub(super) fn handle_worker_update(
        &mut self,
        now: Instant,
        epoch: Epoch,
        vm: VmId,
        update: WorkerUpdate,
    ) {
        if self.holder_driver.holder.as_ref().is_none_or(|it| it.epoch() != epoch) {
            return;
        }
        self.holder_driver.pending_update_waits.remove(&vm);
        match update {
            WorkerUpdate::Available => self.drive_holder(now, Event::WorkerUpdate { vm }),
            WorkerUpdate::Unchanged => self.wait_for_update(vm, epoch),
            WorkerUpdate::Unreachable => {}
        }
    }

    fn call_target(&self, vm: VmId) -> CallTarget {
        CallTarget {
            http: self.out.http.clone(),
            vm,
            address: self.worker(vm).map(|it| it.control),
            control: self.out.control.clone(),
        }
    }

    fn worker(&self, vm: VmId) -> Option<&Vm> {
        self.vms.binary_search_by_key(&vm, |it| it.id).ok().map(|at| &self.vms[at])
    }
}

fn options(identity: &Identity, epoch: Epoch) -> Options {
    let mut options = Options::new(identity.dc, epoch, identity.worker_lease, identity.sender);
    // Workers announce their updates; periodic calls only renew the lease.
    options.limits.poll_interval = identity.worker_lease;
    let regions = identity.dcs.iter().zip(&identity.regions);
    options.data_centres =
        regions.map(|(name, region)| DataCentre { name: name.clone(), region: *region }).collect();
    options
}
