//! Why a VM or a class of requests is treated as it is.

use daisy_ledger::{HolderClaim, State, TaskState};
use daisy_model::{Command, DcId, Name, Vm, VmId, VmRole, VmStatus};

use crate::{
    Error, Live, Subject, Table, WorkerState,
    why::{COLUMNS, say_reasons},
    words,
};

/// Answers `why vm`.
pub(crate) fn vm(state: &State, live: &Live, name: &Name) -> Result<Table, Error> {
    let vm = live.vm_by_name(name).ok_or_else(|| Error::Vm(name.clone()))?;
    let mut table = Table::new(COLUMNS);
    say_platform(&mut table, live, vm);
    if state.is_drained(name) {
        let drain = words::last_change(
            state,
            |command| matches!(command, Command::Drain { vm } if vm == name),
        );
        let said = drain.map(words::said).unwrap_or_default();
        table.say("declared", format!("drained {said}"));
    }
    match vm.role {
        VmRole::Entry => say_holdings(&mut table, state, live, vm.id),
        VmRole::Worker => say_worker(&mut table, state, live, vm),
    }
    say_reasons(&mut table, live, &Subject::Vm(vm.id));
    Ok(table)
}

fn say_platform(table: &mut Table, live: &Live, vm: &Vm) {
    let role = match vm.role {
        VmRole::Entry => "entry VM",
        VmRole::Worker => "worker",
    };
    let status = match vm.status {
        VmStatus::Live => "live",
        VmStatus::Leaving => "leaving: nothing new goes there",
    };
    let (id, dc, rack, capacity) = (vm.id, live.dc(vm.dc), vm.rack, vm.capacity);
    let words = format!("{role} number {id} in {dc}, rack {rack}, with {capacity}; {status}");
    table.say("platform", words);
}

fn say_holdings(table: &mut Table, state: &State, live: &Live, vm: VmId) {
    let held: Vec<(&DcId, &HolderClaim)> =
        state.holders.iter().filter(|(_, it)| it.holder == vm).collect();
    for (dc, holding) in held {
        let (dc, epoch) = (live.dc(*dc), holding.epoch);
        let verb = if holding.released { "gave up" } else { "holds" };
        table.say("ledger", format!("{verb} {dc} under epoch {epoch}"));
    }
}

fn say_worker(table: &mut Table, state: &State, live: &Live, vm: &Vm) {
    let tasks = state.jobs.iter().flat_map(|(_, job)| &job.tasks);
    let placed = tasks.filter(|task| {
        let out = matches!(task.state, TaskState::CheckedOut(_));
        out && task.vm == Some(vm.id) && task.incarnation > task.ended
    });
    table.say("ledger", format!("tasks recorded there: {}", placed.count()));
    let Some(worker) = live.workers.get(&vm.id) else {
        table.say("live", "no report of it is known to this process");
        return;
    };
    let (tasks, free) = (worker.tasks, worker.free);
    table.say("live", format!("tasks running: {tasks}; free: {free}"));
    let words = match worker.state {
        WorkerState::Ready => "takes new tasks",
        WorkerState::Leaving => "takes nothing new, since it is leaving",
        WorkerState::PutAside => "put aside, since it fails what it starts; tried again later",
        WorkerState::Silent => "does not answer; what it may run is blocked until it does",
    };
    table.say("live", words);
}

/// Answers `why request-class`; the class begins with the name of its service.
pub(crate) fn request_class(state: &State, live: &Live, class: &str) -> Table {
    let mut table = Table::new(COLUMNS);
    let service = class.split('/').next().unwrap_or_default();
    let job = Name::new(service).ok().and_then(|name| state.jobs.by_name(&name));
    match job {
        Some((_, job)) => table.say("declared", words::declared(job)),
        None => table.say("declared", format!("no service is called {service}")),
    }
    let (generation, policy) = &state.policy;
    let budget = policy.retry_budget;
    let window = words::duration(policy.retry_window);
    let words = format!("retries add at most {budget} thousandths; keys are kept for {window}");
    table.say("policy", words);
    if generation.0 > 0 {
        table.say("policy", format!("published in {}", words::author(state, *generation)));
    }
    say_reasons(&mut table, live, &Subject::RequestClass(class.into()));
    table
}
