//! Calls to workers: orders, lease renewals and failed calls.

use daisy_model::{Instant, Order, TaskId, VmId, WorkerCall};

use crate::{
    holder::{Action, Holder},
    reason::Reason,
    worker::{AllocationState, Availability, Outstanding, Worker, WorkerKey},
};

/// The least number of calls to each worker within one lease.
///
/// A lost call is detected within seconds and repeated after [`Limits::retry_interval`], so the
/// other half of the lease leaves time for several more attempts and a change of holders. Each
/// renewal is an exchange of about 480 bytes, which is most of a holder's traffic
/// (`docs/CAPACITY.md`).
///
/// [`Limits::retry_interval`]: crate::Limits::retry_interval
const CALLS_PER_LEASE: u32 = 2;

impl Holder {
    /// Calls every worker that has orders for a prompt call or whose next call is due.
    pub(crate) fn call_due_workers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let poll_interval =
            self.options.limits.poll_interval.min(self.options.lease / CALLS_PER_LEASE);
        for key in self.roster.take_marked_for_call() {
            let Some(worker) = self.roster.get_mut(key) else { continue };
            if !is_due(worker, now) {
                continue;
            }
            let orders = take_sendable_orders(worker);
            worker.called_at = Some(now);
            worker.next_call_at = now + poll_interval;
            worker.outstanding = Some(Outstanding { orders: orders.clone() });
            let call = WorkerCall { epoch: self.options.epoch, lease: self.options.lease, orders };
            actions.push(Action::Call { vm: worker.id, call });
        }
    }

    /// Makes the next call of a worker due now, because the worker has something to report.
    pub(crate) fn handle_worker_update(&mut self, now: Instant, vm: VmId) {
        let Some(key) = self.roster.try_key(vm) else { return };
        let Some(worker) = self.roster.get_mut(key) else { return };
        worker.next_call_at = now;
        self.roster.mark_for_call(key);
    }

    /// Handles a call that got no answer; `sent` tells whether it may have reached the worker.
    pub(crate) fn handle_failed_call(&mut self, now: Instant, vm: VmId, sent: bool) {
        let Some(key) = self.roster.try_key(vm) else { return };
        let retry_interval = self.options.limits.retry_interval;
        let Some(worker) = self.roster.get_mut(key) else { return };
        let Some(outstanding) = worker.outstanding.take() else { return };
        worker.is_responsive = false;
        worker.notes.add(now, Reason::CallFailed);
        let label = worker.label.clone();
        worker.next_call_at = now + retry_interval;
        let mut unsent = Vec::new();
        let mut unconfirmed = Vec::new();
        let mut to_resend = Vec::new();
        for order in outstanding.orders {
            match order {
                Order::Start { task, .. } if !sent && is_first_attempt(worker, task) => {
                    unsent.push(task)
                }
                Order::Start { task, .. } => {
                    mark_unconfirmed(worker, task);
                    unconfirmed.push(task);
                    to_resend.push(order);
                }
                _ => to_resend.push(order),
            }
        }
        // Every order is idempotent, and a worker starts an incarnation only once, so the whole
        // call is repeated before any newer order.
        to_resend.append(&mut worker.orders);
        worker.orders = to_resend;
        for task in unconfirmed {
            self.note(now, task, Reason::StartUnconfirmed { vm: label.clone() });
        }
        self.requeue_unsent(now, key, unsent);
        self.roster.reindex(key);
    }

    /// Returns tasks whose start never left this process to the queue.
    fn requeue_unsent(&mut self, now: Instant, key: WorkerKey, tasks: Vec<TaskId>) {
        for task in tasks {
            if let Some(worker) = self.worker_mut(key) {
                worker.release(task);
            }
            self.requeue_or_cancel(now, task);
        }
    }
}

fn is_due(worker: &Worker, now: Instant) -> bool {
    let is_unlisted = matches!(worker.availability, Availability::Unlisted { .. });
    // A responsive worker gets its orders at once; an unresponsive one is retried at its time.
    let has_prompt_orders = worker.is_responsive && worker.orders.iter().any(needs_prompt_call);
    !is_unlisted
        && worker.outstanding.is_none()
        && (has_prompt_orders || now >= worker.next_call_at)
}

/// Whether an order must go out at once. Only acknowledgements can wait for the next call.
fn needs_prompt_call(order: &Order) -> bool {
    !matches!(order, Order::Acknowledge { .. })
}

/// Takes the orders for the next call. A worker that has not yet answered under this epoch gets
/// none: it may run tasks that this holder does not know.
fn take_sendable_orders(worker: &mut Worker) -> Vec<Order> {
    if !worker.has_answered {
        return Vec::new();
    }
    for (_, allocation) in worker.allocations.iter_mut() {
        if allocation.state == AllocationState::Queued {
            allocation.state = AllocationState::Sent;
        }
    }
    std::mem::take(&mut worker.orders)
}

/// Whether the failed call was the first one to carry the start.
fn is_first_attempt(worker: &Worker, task: TaskId) -> bool {
    worker
        .allocations
        .get(&task)
        .is_some_and(|allocation| allocation.state == AllocationState::Sent)
}

/// Marks a start that may have taken effect: its capacity stays allocated until the worker
/// answers.
///
/// Otherwise the capacity would be given to a second task while the first one runs after all,
/// and the first one would be started again elsewhere.
fn mark_unconfirmed(worker: &mut Worker, task: TaskId) {
    if let Some(allocation) = worker.allocations.get_mut(&task) {
        allocation.state = AllocationState::Unconfirmed;
    }
}
