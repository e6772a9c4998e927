//! Drives the decisions of a holder: its events in, its actions out.

use daisy_membership::Role;
use daisy_model::{Epoch, Instant, Vm, VmId, WorkerReport};
use daisy_placement::{Action, DataCentre, Event, Holder, Options};
use daisy_routing::{KeyAnswer, KeyQuery};

use crate::{
    boundary::RequestSide,
    control::{Control, Identity},
    worker_calls::{self, Silence},
};

/// The holder, while this entry VM is one.
#[derive(Debug, Default)]
pub(super) struct Driver {
    holder: Option<Holder>,
    /// A holder that cannot show its lease decides nothing until it can again.
    suspended: bool,
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
        log::info!("event=role role={role:?} dc={}", self.identity.dc);
        match role {
            Role::Idle => self.driver = Driver::default(),
            Role::Caretaker(_) => self.driver.suspended = true,
            Role::Holder(epoch) => self.hold(now, epoch),
        }
    }

    fn hold(&mut self, now: Instant, epoch: Epoch) {
        let resumed = self.driver.holder.as_ref().is_some_and(|it| it.epoch() == epoch);
        self.driver.suspended = false;
        if !resumed {
            self.driver.holder = Some(Holder::new(options(&self.identity, epoch)));
        }
        let (state, vms) = (self.state.clone(), self.vms.clone());
        self.drive(now, Event::Ledger(&state));
        self.drive(now, Event::Vms(&vms));
    }

    /// Lets the holder decide, if there is one, and carries out what it wants.
    pub(super) fn drive(&mut self, now: Instant, event: Event<'_>) {
        let Some(holder) = self.driver.active() else { return };
        let mut actions = Vec::new();
        holder.step(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Append(record) => self.append(record),
                Action::Call { vm, call } => {
                    let address = self.worker(vm).map(|it| it.control);
                    let (http, control) = (self.out.http.clone(), self.out.control.clone());
                    worker_calls::spawn(http, vm, address, call, control);
                }
            }
        }
    }

    /// Takes a worker's answer in, if its epoch is still the own one.
    pub(super) fn worker_answered(
        &mut self,
        now: Instant,
        epoch: Epoch,
        vm: VmId,
        outcome: Result<WorkerReport, Silence>,
    ) {
        self.out.metrics.worker_call(outcome.is_ok());
        if self.driver.holder.as_ref().is_none_or(|it| it.epoch() != epoch) {
            return;
        }
        match &outcome {
            Ok(report) => {
                self.drive(now, Event::Report { vm, report });
            }
            Err(silence) => self.drive(now, Event::Silent { vm, sent: silence.sent }),
        }
    }

    fn worker(&self, vm: VmId) -> Option<&Vm> {
        self.vms.binary_search_by_key(&vm, |it| it.id).ok().map(|at| &self.vms[at])
    }
}

fn options(identity: &Identity, epoch: Epoch) -> Options {
    let mut options = Options::new(identity.dc, epoch, identity.worker_lease, identity.sender);
    let regions = identity.dcs.iter().zip(&identity.regions);
    options.data_centres =
        regions.map(|(name, region)| DataCentre { name: name.clone(), region: *region }).collect();
    options
}
