//! Rows of the fleet: workers, VMs, holders.

use daisy_ledger::State;
use daisy_model::{Vm, VmRole, VmStatus};

use crate::{Live, LiveWorker, Subject, WorkerState, show::Sink, table::NONE, words};

pub(crate) fn workers(state: &State, live: &Live, sink: Sink<'_>) {
    for (&id, vm) in live.vms.iter().filter(|(_, vm)| vm.role == VmRole::Worker) {
        let reason = live.reasons_of(&Subject::Vm(id)).next_back();
        let reason = reason.map_or_else(none, |it| it.text.to_string());
        sink(worker_row(state, live, vm, live.workers.get(&id), reason));
    }
}

fn worker_row(
    state: &State,
    live: &Live,
    vm: &Vm,
    worker: Option<&LiveWorker>,
    reason: String,
) -> Vec<String> {
    let capacity = worker.map_or(vm.capacity, |it| it.capacity);
    let free = worker.map(|it| it.free);
    vec![
        vm.name.to_string(),
        live.dc(vm.dc),
        vm.rack.to_string(),
        worker_state(state, vm, worker).to_owned(),
        worker.map_or_else(none, |it| it.tasks.to_string()),
        words::cpu(capacity),
        free.map_or_else(none, words::cpu),
        words::memory(capacity),
        free.map_or_else(none, words::memory),
        capacity.accelerators.to_string(),
        free.map_or_else(none, |it| it.accelerators.to_string()),
        reason,
    ]
}

/// A worker's state in one word.
pub(crate) fn worker_state(state: &State, vm: &Vm, worker: Option<&LiveWorker>) -> &'static str {
    if state.is_drained(&vm.name) {
        return "drained";
    }
    if vm.status == VmStatus::Leaving {
        return "leaving";
    }
    match worker.map(|it| it.state) {
        Some(WorkerState::Ready) => "ready",
        Some(WorkerState::Leaving) => "leaving",
        Some(WorkerState::PutAside) => "put-aside",
        Some(WorkerState::Silent) => "silent",
        None => "not-seen",
    }
}

pub(crate) fn vms(state: &State, live: &Live, sink: Sink<'_>) {
    for (&id, vm) in live.vms.iter() {
        let state = match vm.role {
            VmRole::Worker => worker_state(state, vm, live.workers.get(&id)).to_owned(),
            VmRole::Entry => entry_state(state, live, vm),
        };
        sink(vec![
            vm.name.to_string(),
            id.to_string(),
            live.dc(vm.dc),
            vm.rack.to_string(),
            match vm.role {
                VmRole::Entry => "entry".to_owned(),
                VmRole::Worker => "worker".to_owned(),
            },
            match vm.status {
                VmStatus::Live => "live".to_owned(),
                VmStatus::Leaving => "leaving".to_owned(),
            },
            state,
        ]);
    }
}

fn entry_state(state: &State, live: &Live, vm: &Vm) -> String {
    let held = state.holders.iter().find(|(_, it)| it.holder == vm.id && !it.released);
    match held {
        Some((&dc, _)) => format!("holds {}", live.dc(dc)),
        None if state.is_drained(&vm.name) => "drained".to_owned(),
        None => none(),
    }
}

pub(crate) fn holders(state: &State, live: &Live, sink: Sink<'_>) {
    for (&dc, holding) in state.holders.iter() {
        sink(vec![
            live.dc(dc),
            live.vm(holding.holder),
            holding.epoch.to_string(),
            if holding.released { "released".to_owned() } else { "held".to_owned() },
        ]);
    }
}

fn none() -> String {
    NONE.to_owned()
}
