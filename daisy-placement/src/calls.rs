//! Calls to workers: orders, renewals, silence.

use daisy_model::{Instant, Order, TaskId, VmId, WorkerCall};

use crate::{
    holder::{Action, Holder},
    reason::Reason,
    worker::{Hold, Outstanding, Standing, Worker, WorkerKey},
};

/// A worker is called this many times in a lease at least.
///
/// A lost call is known within seconds and said again after [`Limits::retry`], so the other half
/// of the lease holds several more tries and a change-over of holders; each renewal costs an
/// exchange of about 480 bytes, which is most of what a holder spends (`docs/CAPACITY.md`).
///
/// [`Limits::retry`]: crate::Limits::retry
const CALLS_PER_LEASE: u32 = 2;

impl Holder {
    /// Calls every worker that has orders or is due.
    pub(crate) fn call(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let poll_interval =
            self.options.limits.poll_interval.min(self.options.lease / CALLS_PER_LEASE);
        for key in self.roster.take_touched() {
            let Some(worker) = self.roster.get_mut(key) else { continue };
            if !is_due(worker, now) {
                continue;
            }
            let orders = take_orders(worker);
            worker.called_at = Some(now);
            worker.due = now + poll_interval;
            worker.outstanding = Some(Outstanding { orders: orders.clone() });
            let call = WorkerCall { epoch: self.options.epoch, lease: self.options.lease, orders };
            actions.push(Action::Call { vm: worker.id, call });
        }
    }

    /// Calls a worker that has something to report without waiting for its turn.
    pub(crate) fn take_news(&mut self, now: Instant, vm: VmId) {
        let Some(key) = self.roster.try_key(vm) else { return };
        let Some(worker) = self.roster.get_mut(key) else { return };
        worker.due = now;
        self.roster.touch(key);
    }

    /// Takes in that a call got no answer.
    pub(crate) fn take_silence(&mut self, now: Instant, vm: VmId, sent: bool) {
        let Some(key) = self.roster.try_key(vm) else { return };
        let retry = self.options.limits.retry;
        let Some(worker) = self.roster.get_mut(key) else { return };
        let Some(outstanding) = worker.outstanding.take() else { return };
        worker.answers = false;
        worker.notes.add(now, Reason::Silent);
        let label = worker.label.clone();
        worker.due = now + retry;
        let mut unsent = Vec::new();
        let mut doubted = Vec::new();
        let mut again = Vec::new();
        for order in outstanding.orders {
            match order {
                Order::Start { task, .. } if !sent && is_first(worker, task) => unsent.push(task),
                Order::Start { task, .. } => {
                    doubt(worker, task);
                    doubted.push(task);
                    again.push(order);
                }
                _ => again.push(order),
            }
        }
        // Every order is idempotent, and the worker starts an incarnation once: the whole
        // call is said again, before anything newer.
        again.append(&mut worker.orders);
        worker.orders = again;
        for task in doubted {
            self.note(now, task, Reason::StartLost { vm: label.clone() });
        }
        self.release_unsent(now, key, unsent);
        self.roster.reindex(key);
    }

    /// Puts tasks whose start never left this process back in line.
    fn release_unsent(&mut self, now: Instant, key: WorkerKey, tasks: Vec<TaskId>) {
        for task in tasks {
            if let Some(worker) = self.worker_mut(key) {
                worker.let_go(task);
            }
            self.wait_again(now, task);
        }
    }
}

fn is_due(worker: &Worker, now: Instant) -> bool {
    let is_gone = matches!(worker.standing, Standing::Unlisted { .. });
    // Orders go at once to a worker that answers; one that does not is retried in its time.
    let is_wanted = worker.answers && worker.orders.iter().any(is_pressing);
    !is_gone && worker.outstanding.is_none() && (is_wanted || now >= worker.due)
}

/// An acknowledgement can wait for the next call; all else goes at once.
fn is_pressing(order: &Order) -> bool {
    !matches!(order, Order::Acknowledge { .. })
}

/// Takes the orders for the next call; none go to a worker that has not yet answered under
/// this epoch, for what runs there decides what may be ordered.
fn take_orders(worker: &mut Worker) -> Vec<Order> {
    if !worker.heard {
        return Vec::new();
    }
    for (_, held) in worker.held.iter_mut() {
        if held.hold == Hold::Queued {
            held.hold = Hold::Sent;
        }
    }
    std::mem::take(&mut worker.orders)
}

/// Whether the lost call was the first to carry the start.
fn is_first(worker: &Worker, task: TaskId) -> bool {
    worker.held.get(&task).is_some_and(|held| held.hold == Hold::Sent)
}

/// The start may have taken effect: its room stays taken until the worker answers.
///
/// Without this the room would be given twice, once to the task that runs after all, and
/// the task would be started a second time elsewhere.
fn doubt(worker: &mut Worker, task: TaskId) {
    if let Some(held) = worker.held.get_mut(&task) {
        held.hold = Hold::Maybe;
    }
}
