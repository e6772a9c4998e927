//! Drives the decisions of a holder or a caretaker: events in, actions out.

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
    worker_calls::{self, Answered, By, Line, Silence, WorkerUpdate},
};

/// The holder or caretaker, while this entry VM is one.
#[derive(Debug, Default)]
pub(super) struct Driver {
    holder: Option<Holder>,
    /// A holder that cannot show its lease decides nothing until it can again.
    suspended: bool,
    /// Workers whose answers came while the holder was suspended.
    unheard: Vec<VmId>,
    caretaker: Option<(Epoch, LeaseRenewer)>,
    /// What each worker has told, so that it tells changes only.
    report_mergers: SortedMap<VmId, ReportMerger>,
    /// Workers whose news are waited for; one wait a worker.
    watched: SortedMap<VmId, ()>,
}

impl Driver {
    /// The holder, unless there is none or it must not act.
    pub(super) fn active(&mut self) -> Option<&mut Holder> {
        self.holder.as_mut().filter(|_| !self.suspended)
    }
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Takes up what the membership has decided this entry VM to do.
    pub(super) fn become_role(&mut self, now: Instant, role: Role) {
        let (name, epoch) = match role {
            Role::Idle => ("idle", None),
            Role::Holder(epoch) => ("holder", Some(epoch)),
            Role::LeaseRenewer(epoch) => ("caretaker", Some(epoch)),
        };
        let epoch = epoch.map_or("none".to_owned(), |it| it.to_string());
        log::info!("event=role dc={} role={name} epoch={epoch}", self.identity.dc);
        match role {
            Role::Idle => self.driver = Driver::default(),
            Role::LeaseRenewer(epoch) => self.take_care(now, epoch),
            Role::Holder(epoch) => self.hold(now, epoch),
        }
    }

    fn hold(&mut self, now: Instant, epoch: Epoch) {
        self.driver.caretaker = None;
        let resumed = self.driver.holder.as_ref().is_some_and(|it| it.epoch() == epoch);
        if !resumed {
            self.driver = Driver::default();
            self.driver.holder = Some(Holder::new(options(&self.identity, epoch)));
        }
        self.driver.suspended = false;
        let reachable = self.appends.reachable();
        self.drive(now, Event::Log { reachable });
        let (state, vms) = (self.state.clone(), self.vms.clone());
        self.drive(now, Event::Ledger(&state));
        if !resumed {
            // One that goes on waits for the next read: the list at hand may be old by now.
            self.drive(now, Event::Vms(&vms));
        }
        // What those workers said is old by now: to the holder their answers are lost.
        for vm in std::mem::take(&mut self.driver.unheard) {
            self.drive(now, Event::CallFailed { vm, sent: true });
        }
    }

    fn take_care(&mut self, now: Instant, epoch: Epoch) {
        self.driver.suspended = true;
        let caretaker = LeaseRenewer::new(options(&self.identity, epoch));
        self.driver.caretaker = Some((epoch, caretaker));
        let vms = self.vms.clone();
        self.care(now, LeaseRenewerEvent::Vms(&vms));
    }

    /// Lets the holder decide, if there is one, and carries out what it wants.
    pub(super) fn drive(&mut self, now: Instant, event: Event<'_>) {
        let Some(holder) = self.driver.active() else { return };
        let mut actions = Vec::new();
        holder.step(now, event, &mut actions);
        self.carry_out_for(By::Holder, actions);
    }

    /// Lets the caretaker decide, if there is one, and carries out what it wants.
    pub(super) fn care(&mut self, now: Instant, event: LeaseRenewerEvent<'_>) {
        let Some((_, caretaker)) = &mut self.driver.caretaker else { return };
        let mut actions = Vec::new();
        caretaker.step(now, event, &mut actions);
        self.carry_out_for(By::LeaseRenewer, actions);
    }

    fn carry_out_for(&mut self, by: By, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => self.append(record),
                Action::Call { vm, call } => {
                    let seen = self.driver.report_mergers.get(&vm).and_then(ReportMerger::seen);
                    worker_calls::spawn(self.line(vm), by, call, seen);
                }
            }
        }
    }

    /// Takes a worker's answer in, if it is for who decides now.
    pub(super) fn worker_answered(
        &mut self,
        now: Instant,
        (by, epoch): (By, Epoch),
        vm: VmId,
        outcome: Result<Answered, Silence>,
    ) {
        self.out.metrics.worker_call(outcome.is_ok());
        let outcome = outcome.and_then(|answered| self.complete(vm, answered));
        match by {
            By::LeaseRenewer if self.driver.caretaker.as_ref().is_some_and(|it| it.0 == epoch) => {
                let event = match outcome {
                    Ok(report) => LeaseRenewerEvent::Report { vm, epoch: report.epoch },
                    Err(_) => LeaseRenewerEvent::CallFailed { vm },
                };
                self.care(now, event);
            }
            By::Holder if self.driver.holder.as_ref().is_some_and(|it| it.epoch() == epoch) => {
                if self.driver.suspended {
                    self.driver.unheard.push(vm);
                }
                match &outcome {
                    Ok(report) => {
                        self.drive(now, Event::Report { vm, report });
                        self.watch(vm, epoch);
                    }
                    Err(silence) => self.drive(now, Event::CallFailed { vm, sent: silence.sent }),
                }
            }
            // Of a holding that has ended.
            By::LeaseRenewer | By::Holder => {}
        }
    }

    /// Makes a worker's whole report of what it has told before and what it tells now.
    fn complete(&mut self, vm: VmId, answered: Answered) -> Result<WorkerReport, Silence> {
        let report_merger = self.driver.report_mergers.get_or_insert_with(vm, ReportMerger::new);
        report_merger.take(&answered.orders, answered.report).ok_or(Silence { sent: true })
    }

    /// Waits for a worker's news, unless somebody does already.
    fn watch(&mut self, vm: VmId, epoch: Epoch) {
        let Some(seen) = self.driver.report_mergers.get(&vm).and_then(ReportMerger::seen) else {
            return;
        };
        if !self.driver.watched.contains_key(&vm) {
            self.driver.watched.insert(vm, ());
            worker_calls::watch(self.line(vm), epoch, seen);
        }
    }

    /// Has a worker called that has news; one that did not answer is asked again only after
    /// its next report.
    pub(super) fn worker_news(&mut self, now: Instant, epoch: Epoch, vm: VmId, news: WorkerUpdate) {
        if self.driver.holder.as_ref().is_none_or(|it| it.epoch() != epoch) {
            return;
        }
        self.driver.watched.remove(&vm);
        match news {
            WorkerUpdate::Some => self.drive(now, Event::WorkerUpdate { vm }),
            WorkerUpdate::None => self.watch(vm, epoch),
            WorkerUpdate::Unreachable => {}
        }
    }

    fn line(&self, vm: VmId) -> Line {
        Line {
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
    // A worker's news come by themselves; calls on time only renew the lease.
    options.limits.poll_interval = identity.worker_lease;
    let regions = identity.dcs.iter().zip(&identity.regions);
    options.data_centres =
        regions.map(|(name, region)| DataCentre { name: name.clone(), region: *region }).collect();
    options
}
