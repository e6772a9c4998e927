//! Answers `why vm` and `why request-class`.

use daisy_ledger::{HolderClaim, State, TaskState};
use daisy_model::{Command, DcId, Name, Vm, VmId, VmRole, VmStatus};

use crate::{
    Error, LiveView, Subject, Table, WorkerState, text,
    why::{COLUMNS, add_reasons},
};

/// Answers `why vm`.
pub(crate) fn vm(state: &State, live: &LiveView, name: &Name) -> Result<Table, Error> {
    let vm = live.vm_by_name(name).ok_or_else(|| Error::Vm(name.clone()))?;
    let mut table = Table::new(COLUMNS);
    add_platform_entry(&mut table, live, vm);
    if state.is_drained(name) {
        let drain = text::last_change(
            state,
            |command| matches!(command, Command::Drain { vm } if vm == name),
        );
        let change = drain.map(text::describe_change).unwrap_or_default();
        table.add_line("declared", format!("drained {change}"));
    }
    match vm.role {
        VmRole::Entry => add_held_data_centres(&mut table, state, live, vm.id),
        VmRole::Worker => add_worker_state(&mut table, state, live, vm),
    }
    add_reasons(&mut table, live, &Subject::Vm(vm.id));
    Ok(table)
}

fn add_platform_entry(table: &mut Table, live: &LiveView, vm: &Vm) {
    let role = match vm.role {
        VmRole::Entry => "entry VM",
        VmRole::Worker => "worker",
    };
    let status = match vm.status {
        VmStatus::Live => "live",
        VmStatus::Leaving => "leaving: nothing new goes there",
    };
    let (id, dc, rack, capacity) = (vm.id, live.dc(vm.dc), vm.rack, vm.capacity);
    let line = format!("{role} number {id} in {dc}, rack {rack}, with {capacity}; {status}");
    table.add_line("platform", line);
}

fn add_held_data_centres(table: &mut Table, state: &State, live: &LiveView, vm: VmId) {
    let held: Vec<(&DcId, &HolderClaim)> =
        state.holders.iter().filter(|(_, it)| it.holder == vm).collect();
    for (dc, holder_claim) in held {
        let (dc, epoch) = (live.dc(*dc), holder_claim.epoch);
        let verb = if holder_claim.released { "released" } else { "holds" };
        table.add_line("ledger", format!("{verb} {dc} under epoch {epoch}"));
    }
}

fn add_worker_state(table: &mut Table, state: &State, live: &LiveView, vm: &Vm) {
    let tasks = state.jobs.iter().flat_map(|(_, job)| &job.tasks);
    let recorded = tasks.filter(|task| {
        let is_checked_out = matches!(task.state, TaskState::CheckedOut(_));
        is_checked_out && task.vm == Some(vm.id) && task.incarnation > task.ended
    });
    table.add_line("ledger", format!("tasks recorded there: {}", recorded.count()));
    let Some(worker) = live.workers.get(&vm.id) else {
        table.add_line("live", "no report of it is known to this process");
        return;
    };
    let (tasks, free) = (worker.tasks, worker.free);
    table.add_line("live", format!("tasks running: {tasks}; free: {free}"));
    let line = match worker.state {
        WorkerState::Ready => "takes new tasks",
        WorkerState::Leaving => "takes nothing new, since it is leaving",
        WorkerState::Quarantined => "put aside, since it fails what it starts; tried again later",
        WorkerState::Unresponsive => "does not answer; what it may run is blocked until it does",
    };
    table.add_line("live", line);
}

/// Answers `why request-class`. The class name starts with the name of its service.
pub(crate) fn request_class(state: &State, live: &LiveView, class: &str) -> Table {
    let mut table = Table::new(COLUMNS);
    let service = class.split('/').next().unwrap_or_default();
    let job = Name::new(service).ok().and_then(|name| state.jobs.by_name(&name));
    match job {
        Some((_, job)) => table.add_line("declared", text::describe_job(job)),
        None => table.add_line("declared", format!("no service is called {service}")),
    }
    let (generation, policy) = &state.policy;
    let budget = policy.retry_budget;
    let window = text::duration(policy.retry_window);
    let line = format!("retries add at most {budget} thousandths; keys are stored for {window}");
    table.add_line("policy", line);
    if generation.0 > 0 {
        table.add_line(
            "policy",
            format!("published in {}", text::describe_generation(state, *generation)),
        );
    }
    add_reasons(&mut table, live, &Subject::RequestClass(class.into()));
    table
}
