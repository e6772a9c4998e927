//! The state of a task after an incarnation of it has ended.

use daisy_model::{Exit, JobKind};

use crate::{Job, Task, TaskState};

/// The number of failures after which a restartable task is not run again.
///
/// It is more than one, because a broken worker fails every task that it starts.
pub(crate) const MAX_FAILURES: u8 = 3;

/// Ends the current incarnation of `task`, which has the index `index` in `job`.
pub(crate) fn end_incarnation(job: &Job, index: u32, task: &mut Task, exit: Exit) {
    if exit == Exit::Failed {
        task.failures = task.failures.saturating_add(1);
    }
    // Only one incarnation resumes a checkpoint. The token is used up however that incarnation
    // ends; otherwise the work after the checkpoint would be done twice.
    task.checkpoint = match exit {
        Exit::Checkpointed(token) => Some(token),
        _ => None,
    };
    let is_declared = !job.cancelled && index < job.spec.tasks;
    let will_run_again = is_declared && runs_again(job, task, exit);
    task.state = if will_run_again { TaskState::Pending } else { TaskState::Ended(exit) };
}

fn runs_again(job: &Job, task: &Task, exit: Exit) -> bool {
    let service = job.spec.kind == JobKind::Service;
    match exit {
        Exit::Checkpointed(_) => true,
        Exit::Done => service,
        Exit::Failed => service || (job.spec.restartable && task.failures < MAX_FAILURES),
        // The task no longer runs, but part of its work was done. Only a service, whose work
        // never ends, or a job declared restartable may start again from the beginning.
        Exit::Stopped | Exit::LeaseExpired => service || job.spec.restartable,
        Exit::Refused => false,
        // The work may have been completed: only a job declared restartable runs again.
        Exit::Unknown => job.spec.restartable,
    }
}
