//! What becomes of a task whose incarnation ended.

use daisy_model::{Exit, JobKind};

use crate::{Job, Task, TaskState};

/// Errors of its own after which a restartable task is given up.
///
/// More than one, since a broken worker fails everything that it starts.
pub(crate) const MAX_FAILURES: u8 = 3;

/// Ends the open incarnation of `task`, which has the position `index` in `job`.
pub(crate) fn end(job: &Job, index: u32, task: &mut Task, exit: Exit) {
    if exit == Exit::Failed {
        task.failures = task.failures.saturating_add(1);
    }
    // A checkpoint is resumed by one incarnation only: whatever that one comes to, the token
    // is spent, or work after the checkpoint would be done twice.
    task.checkpoint = match exit {
        Exit::Checkpointed(token) => Some(token),
        _ => None,
    };
    let wanted = !job.cancelled && index < job.spec.tasks;
    let again = wanted && runs_again(job, task, exit);
    task.state = if again { TaskState::Pending } else { TaskState::Ended(exit) };
}

fn runs_again(job: &Job, task: &Task, exit: Exit) -> bool {
    let service = job.spec.kind == JobKind::Service;
    match exit {
        Exit::Checkpointed(_) => true,
        Exit::Done => service,
        Exit::Failed => service || (job.spec.restartable && task.failures < MAX_FAILURES),
        // Nothing runs any more, but a part of the work was done: only a service, which has
        // no end to reach, or work declared restartable may start afresh.
        Exit::Stopped | Exit::LeaseLapsed => service || job.spec.restartable,
        Exit::Refused => false,
        // The work may have been done whole: never run again what is not declared so.
        Exit::Unknown => job.spec.restartable,
    }
}
