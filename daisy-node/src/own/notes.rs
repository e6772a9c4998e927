//! Logs the owner's decisions and counts them in the metrics.

use std::{fmt, time::Duration};

use daisy_workflow::{LossEvidence, Note, Outcome, ShardId, WorkerView};

use crate::metrics::Metrics;

/// Logs a decision of the owner of `shard`, and counts it in the metrics.
pub(super) fn log_note(note: &Note, shard: ShardId, metrics: &Metrics) {
    match note {
        Note::JobEnded { job, outcome, kind, age, objective } => {
            log::info!(
                "event=job_ended id={job} outcome={outcome} kind={} age_ms={} objective_ms={}",
                kind.label(),
                age.as_millis(),
                objective.as_millis()
            );
        }
        Note::StepWaiting { job, step, tasks, cause, backlog } => {
            let cause = cause.description();
            log::info!(
                "event=waits id={job} step={step} tasks={tasks} backlog={backlog} cause=\"{cause}\""
            );
        }
        Note::JobsRemoved { jobs, remaining } => {
            metrics.count_removed_jobs(*jobs);
            let shard = shard.0;
            log::info!("event=jobs_removed shard={shard} jobs={jobs} remaining={remaining}");
        }
        Note::JobDelegated { job, to } => {
            let from = shard.0;
            log::info!("event=delegated id={job} shard={from} to={}", to.0);
        }
        Note::TaskTransferred { task, number, to } => {
            let (id, from) = (task.job, shard.0);
            log::info!(
                "event=handed_over id={id} task={task} hop={number} shard={from} to={} \
                 cause=\"no worker of the shard has enough free capacity\"",
                to.0
            );
        }
        Note::TaskMoving { task, worker, free_cpu, needed_cpu } => {
            let id = task.job;
            log::info!(
                "event=moves id={id} task={task} worker={worker} room={free_cpu} need={needed_cpu}"
            );
        }
        Note::RunEnded { task, run, worker, outcome, saved } => {
            let outcome = outcome_label(*outcome);
            metrics.count_run_end(outcome);
            let id = task.job;
            log::info!(
                "event=run_ended id={id} task={task} run={run} worker={worker} outcome={outcome} \
                 saved={saved}"
            );
        }
        Note::FailureCounted { task, run, failures, attempts } => {
            let id = task.job;
            log::info!(
                "event=failure_counted id={id} task={task} run={run} failures={failures} \
                 attempts={attempts}"
            );
        }
        Note::RunLost { task, run, worker, cause, evidence } => {
            metrics.count_lost_run();
            let id = task.job;
            log::warn!(
                "event=run_lost id={id} task={task} run={run} worker={worker} cause=\"{cause}\" {}",
                LossKeys(evidence)
            );
        }
        Note::EndSuperseded { task, run, worker } => {
            let (id, cause) = (task.job, "its task was started again before this end was known");
            log::info!(
                "event=end_superseded id={id} task={task} run={run} worker={worker} \
                 cause=\"{cause}\""
            );
        }
        Note::PredecessorsEnded {
            epoch,
            end,
            held_for,
            confirmed_for,
            witnesses,
            answered,
            ended,
        } => {
            let (shard, end, ended_ms) = (shard.0, end.label(), held_for.as_millis());
            log::info!(
                "event=predecessors_ended shard={shard} epoch={epoch} predecessors_end={end} \
                 predecessors_ended_ms={ended_ms} witnesses={witnesses} answered={answered} \
                 ended={ended}{}",
                ConfirmedKey(*confirmed_for)
            );
        }
        Note::WorkerChanged { worker, state, cause, view } => {
            let view = WorkerKeys(*view);
            log::info!("event=worker worker={worker} is={state} cause=\"{cause}\" {view}");
        }
    }
}

/// Displays the keys of a log line that tell what an owner knew when it gave a run up; those of which
/// it knew nothing are left out.
struct LossKeys<'a>(&'a LossEvidence);

impl fmt::Display for LossKeys<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LossKeys(it) = self;
        let (bound, over_ms) = (it.bound.label(), it.held_for.as_millis());
        write!(f, "bound={bound} over_ms={over_ms} order={}", it.order)?;
        write!(f, " open_start={}", it.has_open_start)?;
        if let Some(worker) = it.worker {
            write!(f, " {}", WorkerKeys(worker))?;
        }
        if let Some((end, held_for)) = it.predecessors_ended {
            let ended_ms = held_for.as_millis();
            write!(f, " predecessors_end={} predecessors_ended_ms={ended_ms}", end.label())?;
        }
        Ok(())
    }
}

/// Displays the key for the time since the log's confirmation, if there was one.
struct ConfirmedKey(Option<Duration>);

impl fmt::Display for ConfirmedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfirmedKey(Some(it)) = self else { return Ok(()) };
        write!(f, " confirmed_ms={}", it.as_millis())
    }
}

/// Displays the keys of a log line that tell what an owner knows of a worker's incarnation.
struct WorkerKeys(WorkerView);

impl fmt::Display for WorkerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let WorkerView { clock, lease_end_ms, started_at_ms, token } = self.0;
        if let Some((clock_ms, age)) = clock {
            let age_ms = age.as_millis();
            write!(f, "clock_ms={clock_ms} clock_age_ms={age_ms} lease_end_ms={lease_end_ms} ")?;
        }
        write!(f, "started_at_ms={started_at_ms} token={token}")
    }
}

fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::Stopped => "stopped",
        Outcome::LeaseExpired => "lapsed",
        Outcome::GangMemberEnded => "broken",
        Outcome::GangIncomplete => "alone",
    }
}
