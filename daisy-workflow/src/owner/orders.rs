//! Orders to workers: starts and stops, and the answers to them.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    InFlight, Owner,
    message::{Action, OrderReply, Refusal, Start, StopCause},
    worker::{LateOrder, Sent, Stop, WorkerKey},
};
use crate::{JobState, TaskId};

/// Before an unanswered start is sent again: it is idempotent, and a worker that lost one order
/// mostly takes the next.
const RESEND_START: Duration = Duration::from_millis(100);
/// Before an unanswered stop is sent again.
const RESEND_STOP: Duration = Duration::from_millis(200);
/// How long after it was sent an order may still be carried out: the platform's contract names
/// 12 s.
pub(super) const LATE_MAX: Duration = Duration::from_secs(13);
/// How long a worker gets no new work after an order went unanswered.
const SHUN_SILENT: Duration = Duration::from_millis(700);
/// How long a worker gets no new work after it refused some.
const SHUN_REFUSING: Duration = Duration::from_millis(500);
/// The same, where it says that it is unhealthy.
const SHUN_UNHEALTHY: Duration = Duration::from_secs(2);

impl Owner {
    /// The batch under way is in the log: its starts may go out, its ends are acknowledged.
    pub(super) fn appended(&mut self, now: Instant) {
        let Some(it) = self.in_flight.take() else { return };
        self.succession.taken(it.began);
        self.succession.recorded();
        let InFlight { began: _, starts, cursors, states, delegated, handed } = it;
        self.states.extend(states);
        delegated.into_iter().for_each(|id| self.forward(id));
        handed.into_iter().for_each(|task| self.forward_task(task));
        for (key, started_at_ms, number) in cursors {
            if let Some(worker) = self.workers.get_mut(key)
                && worker.started_at_ms == started_at_ms
            {
                worker.cursor_durable = worker.cursor_durable.max(number);
            }
            self.renew(now, key);
        }
        for (key, task, run) in starts {
            self.start(now, key, task, run);
        }
    }

    fn start(&mut self, now: Instant, key: WorkerKey, task: TaskId, run: u32) {
        let lease = self.settings.lease;
        // A record that took long to be told of may stand behind those of another owner.
        let wanted = self.is_wanted(task) && self.may_renew(now);
        let Some(job) = self.ledger.job(task.job) else { return };
        let text = job.spec.text.clone();
        let steps = &job.progress.occurrences;
        let state = &steps[task.occurrence as usize][usize::from(task.step)][task.index as usize];
        let checkpoint = state.checkpoint.clone();
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(sent) = worker.find(task, run).map(|it| it.sent) else { return };
        // Its worker may have changed while the record was under way.
        let answers = worker.fenced && worker.hold_failures == 0;
        let takes = answers && worker.used.fits(worker.capacity);
        let can = takes || sent != Sent::Recording;
        let lease_end = if wanted && can { worker.lease_end(now, lease) } else { None };
        let Some(it) = worker.find(task, run) else { return };
        let Some(deadline_ms) = lease_end else {
            // Not wanted any more, no room, or its worker is silent or has just started anew: nothing
            // was sent.
            self.unassign(key, task, run);
            return;
        };
        it.sent = Sent::InFlight;
        it.tries += 1;
        it.began_at = now;
        it.moved_at = now;
        it.checkpoint.clone_from(&checkpoint);
        let start = Start { task, run, text, deadline_ms, checkpoint };
        self.actions.push(Action::Start(key, start));
    }

    /// Whether a task is still to be run.
    fn is_wanted(&self, task: TaskId) -> bool {
        let Some(job) = self.ledger.job(task.job) else { return false };
        let active = matches!(job.state(), JobState::Queued | JobState::Running);
        let steps = job.progress.occurrences.get(task.occurrence as usize);
        let tasks = steps.and_then(|it| it.get(usize::from(task.step)));
        active && tasks.and_then(|it| it.get(task.index as usize)).is_some_and(|it| !it.done)
    }

    /// Takes a start back that has surely had no effect and never will.
    fn unassign(&mut self, key: WorkerKey, task: TaskId, run: u32) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.remove(task, run);
        }
        self.drop_copy(task, run, "");
    }

    pub(super) fn started(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        reply: OrderReply,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if let OrderReply::Done { clock_ms } = reply
            && worker.fenced
        {
            match worker.is_clock_reset(clock_ms) {
                // Its next list names the incarnation; until then it gets nothing new.
                true => worker.fenced = false,
                false => worker.clock = Some((clock_ms, now)),
            }
        }
        let Some(it) = worker.find(task, run) else { return };
        match reply {
            OrderReply::Done { .. } => {
                it.sent = Sent::There(now);
                if it.best_effort_cpu > 0 {
                    self.pace(now, key);
                }
            }
            OrderReply::Unknown => {
                it.maybe_late = true;
                it.sent = Sent::Unanswered(now + RESEND_START * it.tries.min(8));
                let (counted, until) = (it.counted, now + LATE_MAX);
                worker.late_orders.retain(|it| it.until > now && (it.task, it.run) != (task, run));
                worker.late_orders.push(LateOrder { task, run, counted, until });
                self.shun(now, key, SHUN_SILENT);
            }
            OrderReply::NotSent if it.maybe_late => {
                it.sent = Sent::Unanswered(now + RESEND_START * it.tries.min(8));
                self.shun(now, key, SHUN_SILENT);
            }
            OrderReply::NotSent => {
                self.shun(now, key, SHUN_SILENT);
                self.unassign(key, task, run);
            }
            OrderReply::Refused(Refusal::Fenced) => self.actions.push(Action::StepDown),
            // An earlier sending was carried out and has ended by now: the list will say how.
            OrderReply::Refused(Refusal::StaleRun) if it.maybe_late => it.sent = Sent::There(now),
            OrderReply::Refused(cause) => self.refused(now, key, task, run, cause),
        }
    }

    fn refused(&mut self, now: Instant, key: WorkerKey, task: TaskId, run: u32, cause: Refusal) {
        let pause = match cause {
            Refusal::Unhealthy => SHUN_UNHEALTHY,
            _ => SHUN_REFUSING,
        };
        self.shun(now, key, pause);
        self.note_worker(key, "shunned", refusal_words(cause));
        let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) else { return };
        // An earlier sending may still be carried out: a stop that is answered shuts it out.
        match it.maybe_late {
            true => {
                it.sent = Sent::Unanswered(now + RESEND_START);
                it.stop_at(now, StopCause::MaybeLate);
                self.send_stops(now);
            }
            false => self.unassign(key, task, run),
        }
    }

    pub(super) fn shun(&mut self, now: Instant, key: WorkerKey, pause: Duration) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.shunned_until = worker.shunned_until.max(now + pause);
        }
    }

    /// Sends all stops that are due.
    pub(super) fn send_stops(&mut self, now: Instant) {
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            let Some(worker) = self.workers.get_mut(key) else { continue };
            for it in &mut worker.tasks {
                if let Stop::Due(at) = it.stop
                    && at <= now
                {
                    it.stop = Stop::InFlight;
                    self.actions.push(Action::Stop(key, it.task, it.run, it.stop_cause));
                }
            }
        }
    }

    pub(super) fn stopped(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        reply: OrderReply,
    ) {
        let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) else { return };
        it.stop = match reply {
            OrderReply::Done { .. } => Stop::Done(now),
            OrderReply::Refused(Refusal::StaleRun | Refusal::Late) => Stop::Done(now),
            OrderReply::Refused(Refusal::Fenced) => {
                self.actions.push(Action::StepDown);
                return;
            }
            OrderReply::Refused(_) | OrderReply::NotSent | OrderReply::Unknown => {
                Stop::Due(now + RESEND_STOP)
            }
        };
    }

    /// Sends unanswered starts again.
    pub(super) fn resend_starts(&mut self, now: Instant) {
        if !self.may_renew(now) {
            return;
        }
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            let Some(worker) = self.workers.get(key) else { continue };
            let due = |sent: Sent| matches!(sent, Sent::Unanswered(at) if at <= now);
            let due: Vec<_> = worker
                .tasks
                .iter()
                .filter(|it| it.stop == Stop::No && due(it.sent))
                .map(|it| (it.task, it.run))
                .collect();
            // While a worker is silent nothing is granted, so that its leases run out.
            if worker.hold_failures > 0 || worker.clock.is_none() {
                continue;
            }
            for (task, run) in due {
                self.start(now, key, task, run);
            }
        }
    }
}

fn refusal_words(cause: Refusal) -> &'static str {
    match cause {
        Refusal::Fenced => "it has seen a higher epoch",
        Refusal::StaleRun => "it has ended a later run of a task",
        Refusal::Late => "a start came after its lease",
        Refusal::DoesNotFit => "a start did not fit",
        Refusal::Ticket => "a start had no valid ticket",
        Refusal::Unhealthy => "it says that it is unhealthy",
        Refusal::OtherIncarnation => "another incarnation answered",
        Refusal::Malformed => "it does not understand a start",
    }
}
