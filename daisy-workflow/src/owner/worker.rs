//! A worker as its owner sees it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use daisy_model::{Instant, Key, Resources};

use super::{
    best_effort::{self, InterferenceLoad},
    interference::{ImageKey, Interference},
    message::StopCause,
};
use crate::{TaskId, WorkerId, WorkerListing};

/// A worker's clock may run this much slower than the owner's, in thousandths: the platform's
/// contract allows 2 %.
const MAX_CLOCK_DRIFT_PERMILLE: u64 = 20;
/// Answers of one incarnation that overtake each other differ by less than this: no call lasts as long.
const MAX_REORDERING_MS: u64 = 2_000;
/// How long after an answer a worker is taken not to have started anew since.
const ANSWER_VALIDITY: Duration = Duration::from_millis(150);
/// Added before a lease counts as over, for the time that the worker takes to end its tasks.
const EXPIRY_MARGIN_MS: u64 = 150;

/// A worker in an owner's arena.
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

/// How far an order to start has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartState {
    /// Its record is not in the log yet.
    Recording,
    /// On its way.
    InFlight,
    /// No answer came; it may be carried out late, and is sent again at this time.
    Unanswered(Instant),
    /// The worker has said at this time that it is there.
    Confirmed(Instant),
    /// An earlier owner recorded it; whether it is there is not known yet.
    Inherited,
}

/// How far an order to stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopState {
    /// Not asked for.
    NotRequested,
    /// To be sent at this time, and sent again until it is answered.
    Due(Instant),
    /// On its way.
    InFlight,
    /// Done at this time: the end is to come in the worker's list.
    Done(Instant),
}

/// A run that may be on a worker, with the room that it takes.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub task: TaskId,
    pub run: u32,
    /// What counts against the capacity.
    pub allocation: Resources,
    /// Processor time that a best-effort task can use, in thousandths of a core.
    pub best_effort_cpu: u32,
    /// The number of its image among those of serving or of best-effort tasks.
    pub image: Option<ImageKey>,
    /// Tail latency of a serving task that must not be exceeded; 0 for a task that serves nobody.
    pub target_ms: u32,
    /// Whether it runs until its job is cancelled.
    pub is_long_running: bool,
    pub start_state: StartState,
    /// Whether a list of the worker's present incarnation named it.
    pub listed: bool,
    /// Whether an order to start it went unanswered: it may be carried out late.
    pub may_be_delayed: bool,
    pub start_attempts: u32,
    pub stop_state: StopState,
    /// Why it is to be stopped, once it is.
    pub stop_cause: StopCause,
    /// Renewals in a row, sent after the start was answered, that list the run nowhere.
    pub missed_lists: u8,
    pub checkpoint: String,
    pub percent: u8,
    /// When `percent` last rose.
    pub progressed_at: Instant,
    pub began_at: Instant,
    pub load: u32,
    /// The share that was last ordered, in percent; `None` for a run that an earlier owner paced.
    pub pace: Option<u8>,
    pub pace_in_flight: bool,
    /// When the share was last ordered, and when it was last made small.
    pub paced_at: Instant,
    pub slowed_at: Instant,
    /// Of a serving task, the running mean of its headroom, and what it would be without
    /// best-effort tasks beside it.
    pub mean_headroom: Option<f64>,
    /// Of a serving task, since when it misses its target.
    pub target_missed_since: Option<Instant>,
    pub own_headroom: f64,
}

/// An order to start that went unanswered.
#[derive(Debug, Clone)]
pub(crate) struct DelayedStart {
    pub task: TaskId,
    pub run: u32,
    pub allocation: Resources,
    /// Until when it may still be carried out.
    pub until: Instant,
}

/// A worker of the owner.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// Where it takes calls.
    pub address: SocketAddr,
    pub(crate) service: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Resources,
    pub(crate) used: Resources,
    pub(crate) started_at_ms: u64,
    /// Whether the platform's list names it.
    pub(crate) listed: bool,
    pub(crate) ready: bool,
    /// When it was first seen to drain, and the least time that was left then.
    pub(crate) leaves_at: Option<Instant>,
    pub(crate) slow_start_until: Instant,
    pub(crate) tasks: Vec<Assignment>,
    /// The worker's clock in milliseconds, and when it was read.
    pub(crate) clock: Option<(u64, Instant)>,
    /// The latest end of a lease that it may ever have been granted, on the worker's clock.
    pub(crate) deadline_ms: u64,
    /// Whether it has answered under this owner's epoch, as the incarnation that is known: from then on
    /// it refuses older orders.
    pub(crate) fenced: bool,
    /// When it was noticed that it had started anew: orders for the incarnation before may still reach
    /// it.
    pub(crate) restarted_at: Option<Instant>,
    pub(crate) hold_in_flight: bool,
    pub(crate) hold_answered_at: Instant,
    pub(crate) hold_sent_at: Instant,
    /// When the renewal was sent that was last answered.
    pub(crate) answered_hold_sent_at: Instant,
    pub(crate) hold_failures: u32,
    /// The highest end that was taken in, and the highest whose record is in the log.
    pub(crate) cursor_seen: u64,
    pub(crate) cursor_durable: u64,
    /// Orders to start that went unanswered and may still be carried out, each run once.
    pub(crate) delayed_starts: Vec<DelayedStart>,
    pub(crate) failures: u32,
    /// When the last of them came.
    pub(crate) failed_at: Instant,
    /// Until when it takes no new tasks.
    pub(crate) excluded_until: Instant,
    /// Until when it is left to tasks that last and find no other place, as what ran on it failed or
    /// stood still.
    pub(crate) suspected_until: Instant,
    /// When its figures were last taken in, and the running means of what images use.
    pub(crate) reported_at: Instant,
    pub(crate) mean_used: Vec<(ImageKey, f64)>,
    /// Images of best-effort tasks that disturb no serving task here.
    pub(crate) harmless_images: u32,
    /// Its serving images; summed anew once `is_interference_current` is false.
    pub(crate) interference_loads: Vec<InterferenceLoad>,
    pub(crate) is_interference_current: bool,
}

impl Assignment {
    /// Has the run stopped at `at`.
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
            labels: listed.labels.clone(),
            capacity: listed.capacity,
            used: Resources::ZERO,
            started_at_ms: listed.started_at_ms,
            listed: true,
            ready: listed.ready,
            leaves_at: None,
            slow_start_until: now + Duration::from_millis(listed.cold_ms),
            tasks: Vec::new(),
            clock: None,
            deadline_ms: 0,
            fenced: false,
            restarted_at: None,
            hold_in_flight: false,
            hold_answered_at: Instant::default(),
            hold_sent_at: Instant::default(),
            answered_hold_sent_at: Instant::default(),
            hold_failures: 0,
            cursor_seen: 0,
            cursor_durable: 0,
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

    /// The least that the worker's clock can show now, in milliseconds.
    fn min_clock_ms(&self, now: Instant) -> Option<u64> {
        let (clock, at) = self.clock?;
        let passed = now.since(at).as_millis() as u64;
        Some(clock + passed - passed * MAX_CLOCK_DRIFT_PERMILLE / 1_000)
    }

    /// Whether an answer shows the clock of a later incarnation, which begins anew.
    pub(crate) fn is_clock_reset(&self, clock_ms: u64) -> bool {
        self.clock.is_some_and(|(known, _)| clock_ms + MAX_REORDERING_MS < known)
    }

    /// The end of a lease that begins now, on the worker's clock.
    pub(crate) fn lease_end(&mut self, now: Instant, lease: Duration) -> Option<u64> {
        let end = self.min_clock_ms(now)? + lease.as_millis() as u64;
        self.deadline_ms = self.deadline_ms.max(end);
        // Not the latest end that it may have been granted: the next owner allows for one lease.
        Some(end)
    }

    /// When every lease that was ever sent has surely run out on the worker's own clock, if that was
    /// ever read.
    pub(crate) fn leases_over_at(&self) -> Option<Instant> {
        let (clock, at) = self.clock?;
        let left = (self.deadline_ms + EXPIRY_MARGIN_MS + 1).saturating_sub(clock);
        Some(at + Duration::from_millis(left * 1_000 / (1_000 - MAX_CLOCK_DRIFT_PERMILLE) + 1))
    }

    pub(crate) fn free(&self) -> Resources {
        self.capacity.try_sub(self.used).unwrap_or(Resources::ZERO)
    }

    /// What late orders of runs that have ended would take, had the worker started anew since its last
    /// answer: it then carries them out once more.
    pub(crate) fn delayed_start_demand(&self, now: Instant) -> Resources {
        if self.clock.is_some_and(|(_, at)| now.since(at) <= ANSWER_VALIDITY) {
            return Resources::ZERO;
        }
        let here =
            |it: &DelayedStart| self.tasks.iter().any(|t| t.task == it.task && t.run == it.run);
        let delayed = self.delayed_starts.iter().filter(|it| it.until > now && !here(it));
        delayed.fold(Resources::ZERO, |sum, it| sum.try_add(it.allocation).unwrap_or(self.capacity))
    }

    /// What is free once all has ended that ends by itself.
    pub(crate) fn eventual_free(&self) -> Resources {
        let lasting = self.tasks.iter().filter(|it| it.is_long_running);
        let taken = lasting
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
        // Summed anew: with a capacity that shrank, a difference could go below zero.
        self.used = Resources::ZERO;
        for it in &self.tasks {
            self.used = self.used.try_add(it.allocation).unwrap_or(self.capacity);
        }
        Some(it)
    }

    /// The rack among the labels: the label with a dash, as in `r1-3`.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|it| &**it == label)
    }

    /// Sums up anew how its best-effort tasks press on those that serve.
    pub(crate) fn update_interference(&mut self, learnt: &Interference) {
        self.interference_loads = best_effort::interference_loads(learnt, self);
        self.is_interference_current = true;
    }

    /// Processor time that best-effort tasks here could use, in thousandths of a core.
    pub(crate) fn best_effort_cpu(&self) -> u32 {
        self.tasks.iter().map(|it| it.best_effort_cpu).sum()
    }

    pub(crate) fn serving(&self) -> usize {
        self.tasks.iter().filter(|it| it.target_ms > 0).count()
    }
}
