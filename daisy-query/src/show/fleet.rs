//! Rows of the tables `workers`, `vms` and `holders`.

use daisy_ledger::State;
use daisy_model::{Vm, VmRole, VmStatus};

use crate::{LiveView, LiveWorker, Subject, WorkerState, show::Sink, table::NONE, text};

pub(crate) fn workers(state: &State, live: &LiveView, sink: Sink<'_>) {
    for (&id, vm) in live.vms.iter().filter(|(_, vm)| vm.role == VmRole::Worker) {
        let worker = live.workers.get(&id);
        sink(&|column| worker_cell(state, live, vm, worker, column));
    }
}

fn worker_cell(
    state: &State,
    live: &LiveView,
    vm: &Vm,
    worker: Option<&LiveWorker>,
    column: &str,
) -> String {
    let capacity = worker.map_or(vm.capacity, |it| it.capacity);
    let free = worker.map(|it| it.free);
    let reason = || live.reasons_of(&Subject::Vm(vm.id)).next_back();
    match column {
        "vm" => vm.name.to_string(),
        "dc" => live.dc(vm.dc),
        "rack" => vm.rack.to_string(),
        "state" => worker_state(state, vm, worker).to_owned(),
        "tasks" => worker.map_or_else(none, |it| it.tasks.to_string()),
        "cpu" => text::cpu(capacity),
        "cpu-free" => free.map_or_else(none, text::cpu),
        "memory" => text::memory(capacity),
        "memory-free" => free.map_or_else(none, text::memory),
        "accelerators" => capacity.accelerators.to_string(),
        "accelerators-free" => free.map_or_else(none, |it| it.accelerators.to_string()),
        "reason" => reason().map_or_else(none, |it| it.text.to_string()),
        _ => none(),
    }
}

/// Returns a worker's state in one word.
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
        Some(WorkerState::Quarantined) => "put-aside",
        Some(WorkerState::Unresponsive) => "silent",
        None => "not-seen",
    }
}

pub(crate) fn vms(state: &State, live: &LiveView, sink: Sink<'_>) {
    for (&id, vm) in live.vms.iter() {
        sink(&|column| match column {
            "vm" => vm.name.to_string(),
            "number" => id.to_string(),
            "dc" => live.dc(vm.dc),
            "rack" => vm.rack.to_string(),
            "role" => role(vm.role).to_owned(),
            "status" => status(vm.status).to_owned(),
            "state" => vm_state(state, live, vm),
            _ => none(),
        });
    }
}

fn role(it: VmRole) -> &'static str {
    match it {
        VmRole::Entry => "entry",
        VmRole::Worker => "worker",
    }
}

fn status(it: VmStatus) -> &'static str {
    match it {
        VmStatus::Live => "live",
        VmStatus::Leaving => "leaving",
    }
}

fn vm_state(state: &State, live: &LiveView, vm: &Vm) -> String {
    match vm.role {
        VmRole::Worker => worker_state(state, vm, live.workers.get(&vm.id)).to_owned(),
        VmRole::Entry => entry_state(state, live, vm),
    }
}

fn entry_state(state: &State, live: &LiveView, vm: &Vm) -> String {
    let held_dc = state.holders.iter().find(|(_, it)| it.holder == vm.id && !it.released);
    match held_dc {
        Some((&dc, _)) => format!("holds {}", live.dc(dc)),
        None if state.is_drained(&vm.name) => "drained".to_owned(),
        None => none(),
    }
}

pub(crate) fn holders(state: &State, live: &LiveView, sink: Sink<'_>) {
    for (&dc, holder_claim) in state.holders.iter() {
        sink(&|column| match column {
            "dc" => live.dc(dc),
            "holder" => live.vm(holder_claim.holder),
            "epoch" => holder_claim.epoch.to_string(),
            "state" if holder_claim.released => "released".to_owned(),
            "state" => "held".to_owned(),
            _ => none(),
        });
    }
}

fn none() -> String {
    NONE.to_owned()
}
