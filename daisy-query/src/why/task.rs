//! Answers `why task` and `why job`.

use daisy_language::TaskRef;
use daisy_ledger::{Job, Owner, State, Subject as ChangeSubject, Task, TaskState};
use daisy_model::{Command, JobId, Name, TaskId, WorkClass};

use crate::{
    Error, LiveTask, LiveView, Subject, Table,
    show::work::{TaskCounts, count_tasks},
    text,
    why::{COLUMNS, add_reasons},
};

/// Answers `why task`.
pub(crate) fn task(state: &State, live: &LiveView, name: &TaskRef) -> Result<Table, Error> {
    let (id, job, task) = find_task(state, name).ok_or_else(|| Error::Task(name.clone()))?;
    let mut table = Table::new(COLUMNS);
    add_declaration(&mut table, state, job);
    if id.index >= job.spec.tasks {
        let tasks = job.spec.tasks;
        table.add_line("declared", format!("the job was changed to {tasks} tasks: this one ends"));
    }
    add_ledger_state(&mut table, state, live, job, task);
    if task.state == TaskState::Pending {
        add_limits(&mut table, state, job);
    }
    add_live_state(&mut table, live, id, task);
    add_reasons(&mut table, live, &Subject::Job(id.job));
    add_reasons(&mut table, live, &Subject::Task(id));
    Ok(table)
}

fn find_task<'a>(state: &'a State, name: &TaskRef) -> Option<(TaskId, &'a Job, &'a Task)> {
    let (job, index) = match name {
        TaskRef::Named(name, index) => (state.jobs.by_name(name)?.0, *index),
        TaskRef::Numbered(job, index) => (JobId(*job), *index),
    };
    let id = TaskId { job, index };
    Some((id, state.jobs.get(job)?, state.task(id)?))
}

/// Answers `why job`.
pub(crate) fn job(state: &State, live: &LiveView, name: &Name) -> Result<Table, Error> {
    let (id, job) = state.jobs.by_name(name).ok_or_else(|| Error::Job(name.clone()))?;
    let mut table = Table::new(COLUMNS);
    add_declaration(&mut table, state, job);
    let TaskCounts { pending, checked_out, ended } = count_tasks(job);
    let line =
        format!("job number {id}; tasks: {pending} waiting, {checked_out} out, {ended} ended");
    table.add_line("ledger", line);
    if pending > 0 {
        add_limits(&mut table, state, job);
    }
    add_reasons(&mut table, live, &Subject::Job(id));
    Ok(table)
}

fn add_declaration(table: &mut Table, state: &State, job: &Job) {
    table.add_line("declared", text::describe_job(job));
    table.add_line(
        "declared",
        format!("last changed in {}", text::describe_generation(state, job.generation)),
    );
    if job.cancelled {
        table.add_line("declared", "cancelled: nothing of it starts any more");
    }
}

fn add_ledger_state(table: &mut Table, state: &State, live: &LiveView, job: &Job, task: &Task) {
    match task.state {
        TaskState::Pending => {
            table.add_line("ledger", "waits: no data centre has checked it out");
            add_next_start(table, task);
        }
        TaskState::CheckedOut(owner) => add_owner(table, state, live, owner, task),
        TaskState::Ended(exit) => {
            let incarnation = task.ended;
            let meaning = text::exit_meaning(exit);
            let never_started = "never started and will not start";
            let line = match incarnation.0 {
                0 => never_started.to_owned(),
                _ => format!("incarnation {incarnation} was its last: {meaning}"),
            };
            table.add_line("ledger", line);
            let needs_restartable = !job.cancelled && !job.spec.restartable && incarnation.0 > 0;
            if needs_restartable && exit != daisy_model::Exit::Done {
                table.add_line("ledger", "not declared restartable, so it is not run again");
            }
        }
    }
}

fn add_next_start(table: &mut Table, task: &Task) {
    let next = task.next_incarnation();
    if let Some(token) = task.checkpoint {
        table.add_line("ledger", format!("incarnation {next} will resume checkpoint {token}"));
    } else if task.ended.0 > 0 {
        let ended = task.ended;
        table.add_line("ledger", format!("incarnation {ended} ended; {next} will start afresh"));
    }
}

fn add_owner(table: &mut Table, state: &State, live: &LiveView, owner: Owner, task: &Task) {
    let (dc, epoch) = (live.dc(owner.dc), owner.epoch);
    table.add_line("ledger", format!("checked out by {dc} under epoch {epoch}"));
    match state.holders.get(&owner.dc) {
        Some(it) if it.released => table.add_line("ledger", format!("{dc} has no holder now")),
        Some(it) if it.epoch != epoch => {
            let (holder, epoch) = (live.vm(it.holder), it.epoch);
            table.add_line("ledger", format!("{holder} took {dc} over under epoch {epoch}"));
        }
        _ => {}
    }
    match task.vm {
        Some(vm) if task.incarnation > task.ended => {
            let (vm, incarnation) = (live.vm(vm), task.incarnation);
            table.add_line("ledger", format!("incarnation {incarnation} was placed on {vm}"));
        }
        _ => table.add_line("ledger", "no placement is recorded yet"),
    }
}

fn add_limits(table: &mut Table, state: &State, job: &Job) {
    let spec = &job.spec;
    if state.is_paused(spec.kind, spec.priority) {
        let pause = text::last_change(
            state,
            |command| matches!(command, Command::Pause(class) if contains_job(*class, job)),
        );
        let change = pause.map(text::describe_change).unwrap_or_default();
        table.add_line("declared", format!("paused {change}"));
    }
    let Some(team) = state.teams.get(job.team) else { return };
    let (used, limit) = (team.used, team.limit);
    let free = state.quota_headroom(job.team, spec.kind);
    let effect = if spec.size.fits(free) { "one more fits" } else { "one more does not fit" };
    let subject = ChangeSubject::Team(&team.name);
    let kind = text::kind(spec.kind);
    let line = format!("{subject} uses {used} of {limit}, {free} left for {kind} work: {effect}");
    table.add_line("ledger", line);
}

fn contains_job(class: WorkClass, job: &Job) -> bool {
    match class {
        WorkClass::Batch => job.spec.kind == daisy_model::JobKind::Batch,
        WorkClass::Priority(priority) => job.spec.priority == priority,
    }
}

fn add_live_state(table: &mut Table, live: &LiveView, id: TaskId, task: &Task) {
    if !matches!(task.state, TaskState::CheckedOut(_)) {
        return;
    }
    let running = live.tasks.get(&id);
    match running {
        Some(running) => add_running_task(table, live, running),
        None => table.add_line("live", "no worker that this process knows reports it"),
    }
    let recorded = if task.incarnation > task.ended { task.vm } else { None };
    if let Some(vm) = running.map(|it| it.vm).or(recorded)
        && live.is_unresponsive(vm)
    {
        let vm = live.vm(vm);
        let line = format!(
            "blocked: {vm} does not answer, so the task may still run there; it starts nowhere \
             else until {vm} answers, or is off the platform's list and its lease has run out"
        );
        table.add_line("live", line);
    }
}

fn add_running_task(table: &mut Table, live: &LiveView, running: &LiveTask) {
    let (vm, incarnation) = (live.vm(running.vm), running.incarnation);
    let run_time = text::duration(running.run_time);
    let mut line = format!("incarnation {incarnation} has run on {vm} for {run_time}");
    if running.share < 1_000 {
        line.push_str(&format!(", throttled to {} thousandths", running.share));
    }
    table.add_line("live", line);
}
