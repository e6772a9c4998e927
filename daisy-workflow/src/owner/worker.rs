//! A worker's state as its owner sees it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use daisy_model::{Instant, Key, Resources};

use super::{
    best_effort::{self, InterferenceLoad},
    interference::{ImageKey, Interference},
    message::StopCause,
    succession::Witness,
};
use crate::{StepSpec, TaskId, WorkerId, WorkerListing};

/// How much slower a worker's clock may run than the owner's, in thousandths: the platform
/// specifies up to 2 %.
const MAX_CLOCK_DRIFT_PERMILLE: u64 = 20;
/// Clock values in answers of one incarnation that arrive out of order differ by less than this, in
/// milliseconds: no call takes as long.
const MAX_REORDERING_MS: u64 = 2_000;
/// How long after an answer a worker is assumed not to have restarted.
const ANSWER_VALIDITY: Duration = Duration::from_millis(150);
/// Time after a lease's end until its runs are treated as ended, in milliseconds: the worker needs
/// it to end its tasks.
const EXPIRY_MARGIN_MS: u64 = 150;

/// Index of a worker in its owner's arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u32);

impl Key for WorkerKey {
    fn from_index(index: usize) -> WorkerKey {
        WorkerKey(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// State of an order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartState {
    /// The record of the start is not in the log yet.
    Recording,
    /// The order was sent and is not answered yet.
    InFlight,
    /// The order was not answered and may be carried out late; it is sent again at this time.
    Unanswered(Instant),
    /// The worker confirmed the run at this time.
    Confirmed(Instant),
    /// An earlier owner recorded the start; whether the run exists is not known yet.
    Inherited,
}

/// State of an order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopState {
    /// No stop was requested.
    NotRequested,
    /// The order is to be sent at this time, and again until it is answered.
    Due(Instant),
    /// The order was sent and is not answered yet.
    InFlight,
    /// The worker confirmed the stop at this time; the worker's list of ended runs will contain the
    /// run.
    Done(Instant),
}

/// A run that may be on a worker, and the capacity that it takes.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub task: TaskId,
    pub run: u32,
    /// Resources that the run takes from the worker's capacity.
    pub allocation: Resources,
    /// Processor time that a best-effort task can use, in thousandths of a core; 0 for other tasks.
    pub best_effort_cpu: u32,
    /// Key of the image, among those of serving tasks or those of best-effort tasks.
    pub image: Option<ImageKey>,
    /// Tail latency in milliseconds that a serving task must not exceed; 0 for other tasks.
    pub target_ms: u32,
    /// Whether the task runs until its job is cancelled.
    pub is_long_running: bool,
    pub start_state: StartState,
    /// Whether a list of the worker's current incarnation contained the run.
    pub listed: bool,
    /// Whether a start order went unanswered and may be carried out late.
    pub may_be_delayed: bool,
    pub start_attempts: u32,
    pub stop_state: StopState,
    /// Why the run is stopped, once a stop was requested.
    pub stop_cause: StopCause,
    /// Number of consecutive lists, requested after the start was confirmed, that did not contain
    /// the run.
    pub missed_lists: u8,
    pub checkpoint: String,
    pub percent: u8,
    /// When `percent` last increased.
    pub progressed_at: Instant,
    pub began_at: Instant,
    pub load: u32,
    /// The last confirmed pace (share of processor time), in percent; `None` for a run that this
    /// owner did not start.
    pub pace: Option<u8>,
    pub pace_in_flight: bool,
    /// When a pace was last ordered, and when the ordered pace last fell below that of starved
    /// tasks.
    pub paced_at: Instant,
    pub slowed_at: Instant,
    /// Running mean of a serving task's headroom, once it was reported.
    pub mean_headroom: Option<f64>,
    /// Since when a serving task has missed its target.
    pub target_missed_since: Option<Instant>,
    /// Headroom that a serving task would have without best-effort tasks beside it.
    pub own_headroom: f64,
}

/// An end as done that is not acknowledged: of a task of which another start order might still be
/// carried out, as an end that the worker loses in a crash before it is acknowledged does not count;
/// or of a run that was superseded by a later one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldEnd {
    /// The number of the end on its worker.
    pub number: u64,
    pub task: TaskId,
    pub is_superseded: bool,
}

/// A start order that went unanswered.
#[derive(Debug, Clone)]
pub(crate) struct DelayedStart {
    pub task: TaskId,
    pub run: u32,
    pub allocation: Resources,
    /// Until when the order may still be carried out.
    pub until: Instant,
}

/// A worker of a shard.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Id of the worker.
    pub id: WorkerId,
    /// Address at which the worker accepts calls.
    pub address: SocketAddr,
    pub(crate) service: Arc<str>,
    pub(crate) data_centre: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Resources,
    pub(crate) used: Resources,
    /// When its incarnation started, in milliseconds since 1970.
    pub started_at_ms: u64,
    /// The start of the incarnation that the list last described: its service, labels and capacity may
    /// be those of no other.
    pub(crate) described_start_ms: u64,
    /// Whether the platform's list contains the worker.
    pub(crate) listed: bool,
    pub(crate) ready: bool,
    /// The earliest time at which a draining worker exits.
    pub(crate) leaves_at: Option<Instant>,
    /// The remaining slow time that the list last told, in milliseconds, and when it is over.
    pub(crate) listed_cold_ms: u64,
    pub(crate) slow_start_until: Instant,
    pub(crate) tasks: Vec<Assignment>,
    /// The worker's clock in milliseconds, and when it was read.
    pub(crate) clock: Option<(u64, Instant)>,
    /// The latest lease end that the worker may ever have been granted, on its own clock.
    pub(crate) max_lease_end_ms: u64,
    /// The latest end of a lease that may have been granted before the worker first answered, and
    /// whether it may be the longest lease.
    pub(crate) inherited_lease_end_ms: u64,
    pub(crate) is_inherited_lease_longest: bool,
    /// The fencing token of calls to the worker: the owner's epoch, or a later offset of the log if
    /// the worker has restarted since.
    pub token: u64,
    /// Whether calls for an earlier incarnation may carry the same token.
    pub(crate) needs_token: bool,
    /// Whether the known incarnation has answered a call with the present token, and so rejects
    /// those with a lower one.
    pub(crate) fenced: bool,
    /// When a restart of the worker was noticed: orders for the previous incarnation may still
    /// reach it.
    pub(crate) restarted_at: Option<Instant>,
    /// Whether another incarnation has answered at the worker's address, so that the known one has
    /// ended.
    pub(crate) replaced: bool,
    /// When the last list of the platform's machines was requested, if it names the worker.
    pub(crate) named_at: Option<Instant>,
    pub(crate) renewal_in_flight: bool,
    /// The token of the last renewal that was sent.
    pub(crate) renewal_token: u64,
    pub(crate) renewal_sent_at: Instant,
    /// When the last renewal that was answered was sent.
    pub(crate) answered_renewal_sent_at: Instant,
    pub(crate) renewal_failures: u32,
    /// Numbers of ended runs: the highest that was processed, and the highest whose record is in
    /// the log.
    pub(crate) cursor_seen: u64,
    pub(crate) cursor_durable: u64,
    /// The cursor that the last renewal carried, and the highest that the known incarnation has
    /// taken.
    pub(crate) cursor_sent: u64,
    pub(crate) cursor_taken: u64,
    /// Ends as done that are not acknowledged.
    pub(crate) held_ends: Vec<HeldEnd>,
    /// Start orders that went unanswered and may still be carried out, one per run.
    pub(crate) delayed_starts: Vec<DelayedStart>,
    pub(crate) failures: u32,
    /// When the last failure was counted.
    pub(crate) failed_at: Instant,
    /// Until when the worker gets no new tasks.
    pub(crate) excluded_until: Instant,
    /// Until when only long-running tasks that fit nowhere else are placed on the worker, because
    /// runs on it failed or made no progress.
    pub(crate) suspected_until: Instant,
    /// When the worker's usage was last processed, and the running means of the share that each
    /// image uses.
    pub(crate) reported_at: Instant,
    pub(crate) mean_used: Vec<(ImageKey, f64)>,
    /// Number of best-effort images that interfere little with every serving task on this worker.
    pub(crate) harmless_images: u32,
    /// Interference by serving image; recomputed when `is_interference_current` is false.
    pub(crate) interference_loads: Vec<InterferenceLoad>,
    pub(crate) is_interference_current: bool,
}

impl Assignment {
    /// Requests that the run be stopped at `at`.
    pub(crate) fn request_stop(&mut self, at: Instant, cause: StopCause) {
        self.stop_state = StopState::Due(at);
        self.stop_cause = cause;
    }
}

impl Worker {
    pub(crate) fn new(now: Instant, listed: &WorkerListing) -> Worker {
        Worker {
            id: listed.id.clone(),
            address: listed.address,
            service: listed.service.clone(),
            data_centre: listed.data_centre.clone(),
            labels: listed.labels.clone(),
            capacity: listed.capacity,
            used: Resources::ZERO,
            started_at_ms: listed.started_at_ms,
            described_start_ms: listed.started_at_ms,
            listed: true,
            ready: listed.ready,
            leaves_at: None,
            listed_cold_ms: listed.cold_ms,
            slow_start_until: now + Duration::from_millis(listed.cold_ms),
            tasks: Vec::new(),
            clock: None,
            max_lease_end_ms: 0,
            inherited_lease_end_ms: 0,
            is_inherited_lease_longest: false,
            token: 0,
            needs_token: false,
            fenced: false,
            restarted_at: None,
            replaced: false,
            named_at: None,
            renewal_in_flight: false,
            renewal_token: 0,
            renewal_sent_at: Instant::default(),
            answered_renewal_sent_at: Instant::default(),
            renewal_failures: 0,
            cursor_seen: 0,
            cursor_durable: 0,
            cursor_sent: 0,
            cursor_taken: 0,
            held_ends: Vec::new(),
            delayed_starts: Vec::new(),
            failures: 0,
            failed_at: Instant::default(),
            excluded_until: Instant::default(),
            suspected_until: Instant::default(),
            reported_at: Instant::default(),
            mean_used: Vec::new(),
            harmless_images: 0,
            interference_loads: Vec::new(),
            is_interference_current: true,
        }
    }

    /// Creates a witness that the platform's list does not name.
    pub(crate) fn from_witness(now: Instant, witness: &Witness, address: SocketAddr) -> Worker {
        let listing = WorkerListing {
            id: witness.worker.clone(),
            address,
            service: "".into(),
            data_centre: "".into(),
            ready: false,
            capacity: Resources::ZERO,
            labels: Vec::new(),
            started_at_ms: witness.started_at_ms,
            cold_ms: 0,
            min_remaining_ms: None,
        };
        Worker { listed: false, ..Worker::new(now, &listing) }
    }

    /// Returns the least value that the worker's clock can have now, in milliseconds.
    fn min_clock_ms(&self, now: Instant) -> Option<u64> {
        let (clock, at) = self.clock?;
        let passed = now.since(at).as_millis() as u64;
        Some(clock + passed - passed * MAX_CLOCK_DRIFT_PERMILLE / 1_000)
    }

    /// Whether an answer's clock belongs to a later incarnation, whose clock starts again.
    pub(crate) fn is_clock_reset(&self, clock_ms: u64) -> bool {
        self.clock.is_some_and(|(known, _)| clock_ms + MAX_REORDERING_MS < known)
    }

    /// Returns the cursor for a renewal where the ends up to `acknowledged` may be forgotten; 0 for
    /// none.
    ///
    /// A renewal names a worker by its id, and a later incarnation that takes it would forget as
    /// many ends of its own. So a cursor is sent only right after an answer of the known
    /// incarnation, and not again once that has taken it.
    pub(crate) fn cursor_to_send(&self, acknowledged: u64) -> u64 {
        let is_known = self.fenced && self.renewal_failures == 0;
        if is_known && acknowledged > self.cursor_taken { acknowledged } else { 0 }
    }

    /// Returns the end of a lease that starts now, on the worker's clock, and remembers it.
    pub(crate) fn lease_end(&mut self, now: Instant, lease: Duration) -> Option<u64> {
        let end = self.min_clock_ms(now)? + lease.as_millis() as u64;
        self.max_lease_end_ms = self.max_lease_end_ms.max(end);
        // Returns this lease's end, not the latest one granted: the next owner allows for one lease
        // only.
        Some(end)
    }

    /// Returns when every lease that this owner or an earlier one granted has expired by the
    /// worker's own clock, or `None` if that clock was never read.
    pub(crate) fn leases_over_at(&self) -> Option<Instant> {
        let (clock, at) = self.clock?;
        let left = (self.max_lease_end_ms + EXPIRY_MARGIN_MS + 1).saturating_sub(clock);
        Some(at + Duration::from_millis(left * 1_000 / (1_000 - MAX_CLOCK_DRIFT_PERMILLE) + 1))
    }

    pub(crate) fn free(&self) -> Resources {
        self.capacity.try_sub(self.used).unwrap_or(Resources::ZERO)
    }

    /// Returns the resources that delayed starts of runs which have ended would take if the worker
    /// had restarted since its last answer: the new incarnation would carry them out again.
    pub(crate) fn delayed_start_demand(&self, now: Instant) -> Resources {
        if self.clock.is_some_and(|(_, at)| now.since(at) <= ANSWER_VALIDITY) {
            return Resources::ZERO;
        }
        let here =
            |it: &DelayedStart| self.tasks.iter().any(|t| t.task == it.task && t.run == it.run);
        let delayed = self.delayed_starts.iter().filter(|it| it.until > now && !here(it));
        delayed.fold(Resources::ZERO, |sum, it| sum.try_add(it.allocation).unwrap_or(self.capacity))
    }

    /// Returns the capacity that is free once all finite tasks have ended.
    pub(crate) fn eventual_free(&self) -> Resources {
        let long_running = self.tasks.iter().filter(|it| it.is_long_running);
        let taken = long_running
            .fold(Resources::ZERO, |sum, it| sum.try_add(it.allocation).unwrap_or(self.capacity));
        self.capacity.try_sub(taken).unwrap_or(Resources::ZERO)
    }

    pub(crate) fn find(&mut self, task: TaskId, run: u32) -> Option<&mut Assignment> {
        self.tasks.iter_mut().find(|it| it.task == task && it.run == run)
    }

    pub(crate) fn add(&mut self, it: Assignment) {
        self.used = self.used.try_add(it.allocation).unwrap_or(self.capacity);
        self.tasks.push(it);
        self.is_interference_current = false;
    }

    pub(crate) fn remove(&mut self, task: TaskId, run: u32) -> Option<Assignment> {
        let at = self.tasks.iter().position(|it| it.task == task && it.run == run)?;
        let it = self.tasks.swap_remove(at);
        self.is_interference_current = false;
        // The sum is recomputed: after the capacity has shrunk, a subtraction could go below zero.
        self.used = Resources::ZERO;
        for it in &self.tasks {
            self.used = self.used.try_add(it.allocation).unwrap_or(self.capacity);
        }
        Some(it)
    }

    /// Whether the worker does not answer, or the platform's list no longer names it.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.renewal_failures > 0 || !self.listed
    }

    /// Whether the list has described the known incarnation, which may be of another kind than the
    /// one before.
    pub(crate) fn is_described(&self) -> bool {
        self.described_start_ms == self.started_at_ms
    }

    /// Whether tasks of `step` may run on the worker, as a worker of `service` and by its labels.
    pub(crate) fn suits(&self, service: &str, step: &StepSpec) -> bool {
        &*self.service == service
            && step.required_label.as_ref().is_none_or(|label| self.has_label(label))
    }

    /// Whether the worker has `label`, such as its rack `r1-3`.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|it| &**it == label)
    }

    /// Recomputes how much the best-effort tasks interfere with each serving image.
    pub(crate) fn update_interference(&mut self, interference: &Interference) {
        self.interference_loads = best_effort::interference_loads(interference, self);
        self.is_interference_current = true;
    }

    /// Returns the processor time that best-effort tasks here could use, in thousandths of a core.
    pub(crate) fn best_effort_cpu(&self) -> u32 {
        self.tasks.iter().map(|it| it.best_effort_cpu).sum()
    }

    pub(crate) fn serving_tasks(&self) -> usize {
        self.tasks.iter().filter(|it| it.target_ms > 0).count()
    }
}
