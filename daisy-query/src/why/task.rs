//! Why a task or job is where it is.

use daisy_language::TaskRef;
use daisy_ledger::{Job, Owner, State, Subject as ChangeSubject, Task, TaskState};
use daisy_model::{Command, JobId, Name, TaskId, WorkClass};

use crate::{
    Error, Live, LiveTask, Subject, Table,
    show::work::{Tally, tally},
    why::{COLUMNS, say_reasons},
    words,
};

/// Answers `why task`.
pub(crate) fn task(state: &State, live: &Live, name: &TaskRef) -> Result<Table, Error> {
    let (id, job, task) = find(state, name).ok_or_else(|| Error::Task(name.clone()))?;
    let mut table = Table::new(COLUMNS);
    say_declared(&mut table, state, job);
    if id.index >= job.spec.tasks {
        let tasks = job.spec.tasks;
        table.say("declared", format!("the job was changed to {tasks} tasks: this one goes"));
    }
    say_ledger(&mut table, state, live, job, task);
    if task.state == TaskState::Pending {
        say_limits(&mut table, state, job);
    }
    say_live(&mut table, live, id, task);
    say_reasons(&mut table, live, &Subject::Job(id.job));
    say_reasons(&mut table, live, &Subject::Task(id));
    Ok(table)
}

fn find<'a>(state: &'a State, name: &TaskRef) -> Option<(TaskId, &'a Job, &'a Task)> {
    let (job, index) = match name {
        TaskRef::Named(name, index) => (state.jobs.by_name(name)?.0, *index),
        TaskRef::Numbered(job, index) => (JobId(*job), *index),
    };
    let id = TaskId { job, index };
    Some((id, state.jobs.get(job)?, state.task(id)?))
}

/// Answers `why job`.
pub(crate) fn job(state: &State, live: &Live, name: &Name) -> Result<Table, Error> {
    let (id, job) = state.jobs.by_name(name).ok_or_else(|| Error::Job(name.clone()))?;
    let mut table = Table::new(COLUMNS);
    say_declared(&mut table, state, job);
    let Tally { pending, out, ended } = tally(job);
    let words = format!("job number {id}; tasks: {pending} waiting, {out} out, {ended} ended");
    table.say("ledger", words);
    if pending > 0 {
        say_limits(&mut table, state, job);
    }
    say_reasons(&mut table, live, &Subject::Job(id));
    Ok(table)
}

fn say_declared(table: &mut Table, state: &State, job: &Job) {
    table.say("declared", words::declared(job));
    table.say("declared", format!("last changed in {}", words::author(state, job.generation)));
    if job.cancelled {
        table.say("declared", "cancelled: nothing of it starts any more");
    }
}

fn say_ledger(table: &mut Table, state: &State, live: &Live, job: &Job, task: &Task) {
    match task.state {
        TaskState::Pending => {
            table.say("ledger", "waits: no data centre has checked it out");
            say_resume(table, task);
        }
        TaskState::CheckedOut(owner) => say_owner(table, state, live, owner, task),
        TaskState::Ended(exit) => {
            let incarnation = task.ended;
            let meaning = words::exit_meaning(exit);
            let never = "never started and will not start";
            let words = match incarnation.0 {
                0 => never.to_owned(),
                _ => format!("incarnation {incarnation} was its last: {meaning}"),
            };
            table.say("ledger", words);
            let again = !job.cancelled && !job.spec.restartable && incarnation.0 > 0;
            if again && exit != daisy_model::Exit::Done {
                table.say("ledger", "not declared restartable, so it is not run again");
            }
        }
    }
}

fn say_resume(table: &mut Table, task: &Task) {
    let next = task.next_incarnation();
    if let Some(token) = task.checkpoint {
        table.say("ledger", format!("incarnation {next} will resume checkpoint {token}"));
    } else if task.ended.0 > 0 {
        let ended = task.ended;
        table.say("ledger", format!("incarnation {ended} ended; {next} will start afresh"));
    }
}

fn say_owner(table: &mut Table, state: &State, live: &Live, owner: Owner, task: &Task) {
    let (dc, epoch) = (live.dc(owner.dc), owner.epoch);
    table.say("ledger", format!("checked out by {dc} under epoch {epoch}"));
    match state.holders.get(&owner.dc) {
        Some(it) if it.released => table.say("ledger", format!("{dc} has no holder now")),
        Some(it) if it.epoch != epoch => {
            let (holder, epoch) = (live.vm(it.holder), it.epoch);
            table.say("ledger", format!("{holder} took {dc} over under epoch {epoch}"));
        }
        _ => {}
    }
    match task.vm {
        Some(vm) if task.incarnation > task.ended => {
            let (vm, incarnation) = (live.vm(vm), task.incarnation);
            table.say("ledger", format!("incarnation {incarnation} was placed on {vm}"));
        }
        _ => table.say("ledger", "no placement is recorded yet"),
    }
}

fn say_limits(table: &mut Table, state: &State, job: &Job) {
    let spec = &job.spec;
    if state.is_paused(spec.kind, spec.priority) {
        let pause = words::last_change(
            state,
            |command| matches!(command, Command::Pause(class) if covers(*class, job)),
        );
        let said = pause.map(words::said).unwrap_or_default();
        table.say("declared", format!("paused {said}"));
    }
    let Some(team) = state.teams.get(job.team) else { return };
    let (used, limit) = (team.used, team.limit);
    let room = state.quota_headroom(job.team, spec.kind);
    let effect = if spec.size.fits(room) { "one more fits" } else { "one more does not fit" };
    let subject = ChangeSubject::Team(&team.name);
    let kind = words::kind(spec.kind);
    let words = format!("{subject} uses {used} of {limit}, {room} left for {kind} work: {effect}");
    table.say("ledger", words);
}

fn covers(class: WorkClass, job: &Job) -> bool {
    match class {
        WorkClass::Batch => job.spec.kind == daisy_model::JobKind::Batch,
        WorkClass::Priority(priority) => job.spec.priority == priority,
    }
}

fn say_live(table: &mut Table, live: &Live, id: TaskId, task: &Task) {
    if !matches!(task.state, TaskState::CheckedOut(_)) {
        return;
    }
    let running = live.tasks.get(&id);
    match running {
        Some(running) => say_running(table, live, running),
        None => table.say("live", "no worker that this process knows reports it"),
    }
    let recorded = if task.incarnation > task.ended { task.vm } else { None };
    if let Some(vm) = running.map(|it| it.vm).or(recorded)
        && live.is_silent(vm)
    {
        let vm = live.vm(vm);
        let words = format!(
            "blocked: {vm} does not answer, so the task may still run there; it starts nowhere \
             else until {vm} answers, or is off the platform's list and its lease has run out"
        );
        table.say("live", words);
    }
}

fn say_running(table: &mut Table, live: &Live, running: &LiveTask) {
    let (vm, incarnation) = (live.vm(running.vm), running.incarnation);
    let since = words::duration(running.since);
    let mut words = format!("incarnation {incarnation} has run on {vm} for {since}");
    if running.share < 1_000 {
        words.push_str(&format!(", throttled to {} thousandths", running.share));
    }
    table.say("live", words);
}
