//! Runs the owner of a shard: passes events to it and carries out its actions. The decisions are
//! made in `daisy-workflow`.

mod append;
mod calls;
mod follow;
mod notes;
mod records;

use std::time::Duration;

use daisy_http::Http;
use daisy_model::{Instant, SortedMap};
use daisy_platform::{Guard, MachineList, Topic, WorkerCalls};
use daisy_workflow::{
    Action, Claim, Event, JobId, Layout, Ledger, Owner, OwnershipStart, PartCounts, PlacementRules,
    PublishedState, Record, RecordWriter, Settings, ShardId, StatePublisher, TickDelay,
    UnconfirmedRun, WorkerKey, WrittenRecord,
};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};

use self::{
    append::{APPEND_TIMEOUT, Appended, append},
    calls::Calls,
    follow::{follow_measurements, follow_workers},
};
use crate::{clock, elect::ElectionContext, follow::TopicReader, jobs::follow_jobs};

/// The lease of a worker: how long its tasks go on without a renewal.
///
/// It must cover a change of the owner (1.4 s without a heartbeat, a claim, and a call to every
/// worker) after a renewal that was 1.5 s ago. It should be short, as the tasks of a lost worker
/// are started again only after this time.
const LEASE: Duration = Duration::from_millis(5_000);
/// The interval at which the list of machines is read while a decision depends on it.
const MACHINES_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a page of the list of machines may take.
const MACHINES_TIMEOUT: Duration = Duration::from_millis(900);
/// The interval of the owner's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest time between two appends of progress, so that one append carries several records:
/// each call costs money.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(24);
/// How long the records of an ended job are retained longer than its state is owed: a request whose
/// answer was lost may be sent again, also by a VM that stood still, and must remain the same job.
const REPEATED_REQUESTS_MAX: Duration = Duration::from_secs(120);
/// The interval at which the owner is told which jobs have ended by their published states.
const ENDED_STATES_INTERVAL: Duration = Duration::from_secs(30);
/// The interval at which owners append their interference measurements and read those of other
/// shards: twice the time that a worker's report covers.
const MEASUREMENTS_INTERVAL: Duration = Duration::from_millis(1_000);

/// The ownership of a shard in one epoch.
pub(crate) struct Ownership {
    pub context: ElectionContext,
    pub shard: ShardId,
    pub epoch: u64,
    pub claim: Claim,
    /// A time before the claim was sent.
    pub claimed_at: Instant,
    /// The states of jobs that are already published.
    pub published_states: SortedMap<JobId, PublishedState>,
    /// The records that the log has in several parts.
    pub stored_parts: PartCounts,
}

/// Why an ownership ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndCause {
    /// The log has accepted an append with a higher epoch.
    FencedByLog,
    /// A worker has received a call with a higher epoch.
    FencedByWorker,
    /// The process has begun its planned stop.
    Stopping,
    /// The process's ticks are delayed so much that another VM should own the shard.
    TooSlow,
}

impl EndCause {
    pub fn description(self) -> &'static str {
        match self {
            EndCause::FencedByLog => "the log has seen a higher epoch",
            EndCause::FencedByWorker => "a worker has seen a higher epoch",
            EndCause::Stopping => "the process stops",
            EndCause::TooSlow => "this VM is too slow",
        }
    }

    /// Returns whether this process should leave the shard to other VMs for a while.
    pub fn is_too_slow(self) -> bool {
        self == EndCause::TooSlow
    }
}

/// The result of an append.
enum AppendOutcome {
    /// Progress was appended.
    Progress(Appended),
    /// States or a heartbeat were appended; they were first sent at this time.
    States(Instant, Appended),
    /// The log has accepted an append with a higher epoch.
    Fenced,
}

impl Ownership {
    /// Runs the owner until another owner takes over or this process releases the shard.
    pub async fn run(self, ledger: Ledger, jobs: TopicReader) -> EndCause {
        let (events, rx) = mpsc::unbounded_channel();
        let now = clock::now();
        let owner = self.start_owner(now, ledger, &events);
        let log_client = self.context.log_client.clone();
        let (jobs_read_tx, jobs_read_at) = watch::channel(now);
        let readers = [
            tokio::spawn(follow_workers(
                log_client,
                self.context.relay.clone(),
                self.context.shared.clone(),
                self.shard,
                events.clone(),
            )),
            tokio::spawn(follow_jobs(jobs, events.clone(), jobs_read_tx)),
            tokio::spawn(follow_measurements(
                self.context.log_client.clone(),
                self.context.shared.clone(),
                self.shard,
                events.clone(),
            )),
        ];
        let (append_outcomes, outcomes) = mpsc::channel(2);
        let mut running = RunningOwner {
            calls: Calls {
                client: WorkerCalls::new(Http::new(None), self.epoch),
                events,
                metrics: self.context.metrics.clone(),
            },
            owner,
            append_outcomes,
            is_appending_progress: false,
            progress_append_began: now,
            record_writer: RecordWriter::new(
                self.context.settings.record_limits,
                self.stored_parts.clone(),
            ),
            next_progress_guard: self.guard(1),
            state_publisher: StatePublisher::new(now, self.shard, self.published_states.clone()),
            is_appending_states: false,
            next_states_guard: self.guard(0),
            jobs_read_at,
            measurements_shared_at: now,
            ended_states_told_at: now,
            tick_delay: TickDelay::new(now, TICK_INTERVAL),
            summary_logged_at: now,
            machine_list: self
                .context
                .settings
                .machines_address
                .map(|it| MachineList::new(Http::new(None), it)),
            machines_requested_at: now - MACHINES_INTERVAL,
            logged_unconfirmed_runs: Vec::new(),
            ownership: self,
        };
        let cause = running.run(rx, outcomes).await;
        readers.iter().for_each(|it| it.abort());
        let Ownership { context, shard, .. } = &running.ownership;
        context.shared.lock().unregister_owner(*shard);
        context.metrics.set_shard_gauges(*shard, 0, 0);
        cause
    }

    /// Returns the condition of the append with this number in the epoch.
    fn guard(&self, seq: u64) -> Guard {
        Guard::Sequence { shard: self.shard.0, epoch: self.epoch, seq }
    }

    /// Creates the owner from the fold of its shard's log, and registers its event channel for
    /// later records.
    fn start_owner(
        &self,
        now: Instant,
        ledger: Ledger,
        events: &mpsc::UnboundedSender<Event>,
    ) -> Owner {
        let lease = LEASE.min(self.context.settings.max_lease);
        let mut node = self.context.shared.lock();
        let layout = node.directory.layout().unwrap_or(Layout { shards: 1 });
        let lease_max = self.context.settings.max_lease;
        let protected_priority = self.context.protected_priority;
        let rules = PlacementRules { protected_priority, ..PlacementRules::default() };
        let record_retention = self.context.settings.state_retention + REPEATED_REQUESTS_MAX;
        let shard = self.shard;
        let settings = Settings { lease, lease_max, shard, layout, rules, record_retention };
        let ownership_start = OwnershipStart {
            claim_sent_at: self.claimed_at,
            predecessors_ended: self.claim.predecessors_expired,
            epoch: self.epoch,
            vouched_epoch: ledger.vouched_epoch(),
        };
        node.register_owner(self.shard, events.clone());
        let queues = node.queues.clone().unwrap_or_default();
        Owner::new(now, clock::wall_ms(), settings, ledger, queues, ownership_start)
    }
}

/// A running owner with the state of its appends and reports.
struct RunningOwner {
    ownership: Ownership,
    calls: Calls,
    owner: Owner,
    append_outcomes: mpsc::Sender<AppendOutcome>,
    /// Whether an append of progress is under way.
    is_appending_progress: bool,
    /// When the last append of progress began.
    progress_append_began: Instant,
    record_writer: RecordWriter,
    /// The condition of the next append of progress.
    next_progress_guard: Guard,
    state_publisher: StatePublisher,
    /// Whether an append of states is under way.
    is_appending_states: bool,
    /// The condition of the next append of states.
    next_states_guard: Guard,
    /// When the submissions were last read to their end.
    jobs_read_at: watch::Receiver<Instant>,
    /// When interference measurements were last shared with other owners.
    measurements_shared_at: Instant,
    /// When the owner was last told which published states say that their jobs have ended.
    ended_states_told_at: Instant,
    tick_delay: TickDelay,
    machine_list: Option<MachineList>,
    /// When the list of machines was last requested.
    machines_requested_at: Instant,
    /// When a summary was last logged.
    summary_logged_at: Instant,
    /// The runs whose outcome was unconfirmed when a summary was last logged.
    logged_unconfirmed_runs: Vec<UnconfirmedRun>,
}

impl RunningOwner {
    /// Handles events and the outcomes of appends until the ownership ends; returns the cause.
    async fn run(
        &mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut outcomes: mpsc::Receiver<AppendOutcome>,
    ) -> EndCause {
        /// The most events that are handled before the resulting actions are carried out.
        const MAX_EVENTS: usize = 64;
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut append_interval = interval(MIN_APPEND_INTERVAL);
        append_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop = self.ownership.context.stop.clone();
        let mut batch = Vec::new();
        loop {
            let has_pending_records = !self.is_appending_progress && self.owner.has_batch()
                || !self.is_appending_states && self.state_publisher.has_pending_states();
            tokio::select! {
                it = outcomes.recv() => {
                    if !self.handle_append_outcome(it) {
                        return EndCause::FencedByLog;
                    }
                }
                _ = events.recv_many(&mut batch, MAX_EVENTS) => {
                    let now = clock::now();
                    for event in batch.drain(..) {
                        self.owner.handle_event(now, event);
                    }
                }
                _ = tick.tick() => {
                    let now = clock::now();
                    let loads =
                        self.ownership.context.shared.lock().directory.loads(self.ownership.shard);
                    self.owner.handle_event(now, Event::Loads(loads));
                    self.owner.handle_event(now, Event::Tick);
                    self.tell_ended_states(now);
                    self.read_machines(now);
                    if self.tick_delay.record_tick(now) {
                        return self.release(outcomes, EndCause::TooSlow).await;
                    }
                }
                _ = append_interval.tick(), if has_pending_records => {}
                () = wait_for_stop(&mut stop) => {
                    return self.release(outcomes, EndCause::Stopping).await;
                }
            }
            self.log_summary();
            if self.carry_out_actions() {
                return EndCause::FencedByWorker;
            }
            self.append_progress();
            self.publish_states();
            self.share_measurements();
        }
    }

    /// Carries out the owner's actions; returns whether the owner must step down.
    fn carry_out_actions(&mut self) -> bool {
        let now = clock::now();
        let mut step_down = false;
        for action in self.owner.take_actions(now) {
            match action {
                Action::StepDown => step_down = true,
                Action::Note(note) => {
                    notes::log_note(&note, self.ownership.shard, &self.ownership.context.metrics);
                }
                Action::Forward(shard, record) => self.forward(shard, record),
                Action::RemoveSubmissions(records) => self.remove_submissions(&records),
                Action::Renew { worker, .. }
                | Action::Start(worker, _)
                | Action::Stop(worker, ..)
                | Action::Pace(worker, ..) => self.call_worker(now, worker, action),
            }
        }
        step_down
    }

    /// Logs a summary of the shard's jobs and workers once a second.
    fn log_summary(&mut self) {
        const INTERVAL: Duration = Duration::from_secs(1);
        let now = clock::now();
        if now.since(self.summary_logged_at) < INTERVAL {
            return;
        }
        self.summary_logged_at = now;
        let summary = self.owner.summary(now);
        log::info!(
            "event=owner_state shard={} epoch={} jobs={} waiting={} waiting_lasting={} \
             waiting_best_effort={} runs={} workers={} usable={} silent={} free_cpu={} \
             unusable_cpu={} largest_room={} largest_room_in_time={} least_lasting={} longest_wait_ms={} \
             uncertain={} uncertain_for_ms={} open_starts={} long_leases={} held_ends={} idle_jobs={} \
             longest_idle_ms={}",
            self.ownership.shard.0,
            self.ownership.epoch,
            summary.jobs,
            summary.waiting,
            summary.waiting_long_running,
            summary.waiting_best_effort,
            summary.runs,
            summary.workers,
            summary.usable,
            summary.unresponsive,
            summary.free_cpu,
            summary.unusable_cpu,
            summary.largest_free_cpu,
            summary.largest_future_free_cpu,
            summary.smallest_waiting_cpu,
            summary.longest_wait.as_millis(),
            summary.unconfirmed_runs,
            summary.unconfirmed_for.as_millis(),
            summary.open_starts,
            summary.long_leases,
            summary.held_ends,
            summary.idle_jobs,
            summary.longest_idle.as_millis()
        );
        self.log_capacity(now);
        if let Some(it) = self.owner.try_inherited_leases(now) {
            log::info!(
                "event=inherited_leases shard={} epoch={} witnesses={} answered={} ended={} \
                 settled={} over_in_ms={}",
                self.ownership.shard.0,
                self.ownership.epoch,
                it.witnesses,
                it.answered,
                it.ended,
                it.predecessors_ended,
                it.time_left.as_millis()
            );
        }
        self.log_unconfirmed_runs(now);
        if let Some(it) = self.owner.longest_waiting_task(now) {
            log::info!(
                "event=longest_wait id={} task={} shard={} waited_ms={} cpu={} memory_mib={} \
                 unusable={} lack_processors={} lack_memory={} crowded={} kept={} lack_nothing={}",
                it.task.job,
                it.task,
                self.ownership.shard.0,
                it.waited.as_millis(),
                it.need.cpu_milli,
                it.need.memory_mib,
                it.ineligible,
                it.short_of_cpu,
                it.short_of_memory,
                it.at_step_limit,
                it.reserved,
                it.suitable
            );
        }
        self.ownership.context.metrics.set_shard_gauges(
            self.ownership.shard,
            summary.jobs,
            summary.usable,
        );
    }

    /// Logs what the workers can still take besides finite work, if the owner reports it.
    fn log_capacity(&mut self, now: Instant) {
        let shard = self.ownership.shard;
        let reports = self.owner.capacity_reports(now);
        for it in &reports {
            log::info!(
                "event=capacity shard={} service={} offered_cpu={} offered_variance={} \
                 spare_cpu={} short_cpu={} freed_cpu_per_s={}",
                shard.0,
                it.service,
                it.offered.cpu_milli,
                it.offered.variance,
                it.plan.spare_cpu,
                it.plan.short_cpu,
                it.freed_cpu_per_s
            );
        }
        if !reports.is_empty() {
            self.ownership.context.metrics.set_capacity(shard, &reports);
        }
    }

    /// Logs each run of a long-running task whose outcome is unconfirmed, once for each cause.
    fn log_unconfirmed_runs(&mut self, now: Instant) {
        let unconfirmed_runs = self.owner.unconfirmed_runs(now);
        for it in &unconfirmed_runs {
            let is_logged = |earlier: &UnconfirmedRun| {
                (earlier.task, earlier.run, earlier.cause) == (it.task, it.run, it.cause)
            };
            if self.logged_unconfirmed_runs.iter().any(is_logged) {
                continue;
            }
            log::info!(
                "event=uncertain id={} task={} run={} shard={} worker={} over_in_ms={} cause=\"{}\"",
                it.task.job,
                it.task,
                it.run,
                self.ownership.shard.0,
                it.worker,
                it.time_left.as_millis(),
                it.cause.description()
            );
        }
        self.logged_unconfirmed_runs = unconfirmed_runs;
    }

    /// Reads the platform's list of machines if a decision depends on it.
    fn read_machines(&mut self, now: Instant) {
        let Some(list) = &self.machine_list else { return };
        if now.since(self.machines_requested_at) < MACHINES_INTERVAL
            || !self.owner.awaits_machines(now)
        {
            return;
        }
        self.machines_requested_at = now;
        let (list, events) = (list.clone(), self.calls.events.clone());
        tokio::spawn(async move {
            match list.workers(MACHINES_TIMEOUT).await {
                Ok(workers) => {
                    log::info!("event=machines_read workers={}", workers.len());
                    // Sending fails once the owner has stepped down, and the event no longer
                    // matters.
                    let _ = events.send(Event::MachinesListed { requested_at: now, workers });
                }
                Err(e) => log::warn!("event=machines_unreadable cause=\"{e}\""),
            }
        });
    }

    fn call_worker(&self, now: Instant, key: WorkerKey, action: Action) {
        if let Some(worker) = self.owner.worker(key) {
            self.calls.begin(now, key, worker, action);
        }
    }

    /// Appends a record of a job to another shard's submissions, unless it delegates a job whose
    /// state that shard has already published. The append continues after this owner has stepped
    /// down, as its decision remains in force.
    fn forward(&self, to: ShardId, record: Record) {
        let context = &self.ownership.context;
        if let Record::Submitted(id, _) = &record
            && context.shared.lock().directory.state(*id).is_some_and(|it| it.shard == to)
        {
            return;
        }
        let log_client = context.log_client.clone();
        let shared = context.shared.clone();
        tokio::spawn(async move {
            // This append carries no epoch, so it cannot be fenced.
            let calls = vec![vec![WrittenRecord::whole(&record)]];
            let outcome = append(&log_client, Topic::Jobs(to.0), calls, Guard::Unconditional).await;
            if outcome.is_ok_and(|it| it.refused.is_empty()) {
                shared.lock().send_to_owner(to, record);
            }
        });
    }

    /// Appends removals to the shard's own submissions. A lost one is requested again, as the owner
    /// reads back none.
    fn remove_submissions(&self, records: &[Record]) {
        let context = &self.ownership.context;
        let topic = Topic::Jobs(self.ownership.shard.0);
        let written = records.iter().map(WrittenRecord::whole).collect();
        let calls = context.settings.record_limits.calls(written);
        let log_client = context.log_client.clone();
        tokio::spawn(async move {
            for call in calls {
                let records: Vec<_> = call.into_iter().flat_map(|it| it.stored).collect();
                let guard = Guard::Unconditional;
                if let Err(e) = log_client.append(topic, &records, guard, APPEND_TIMEOUT).await {
                    log::warn!("event=removal_failed topic={topic:?} cause=\"{e}\"");
                }
            }
        });
    }

    /// Tells the owner which of its jobs have ended by their published states: those that other
    /// shards run, and those of which an earlier owner has removed all other records.
    fn tell_ended_states(&mut self, now: Instant) {
        if now.since(self.ended_states_told_at) < ENDED_STATES_INTERVAL {
            return;
        }
        self.ended_states_told_at = now;
        let Ownership { context, shard, .. } = &self.ownership;
        let ended = context.shared.lock().directory.ended_jobs(*shard).collect();
        self.owner.handle_event(now, Event::StatesEnded(ended));
    }

    /// Releases the shard: waits for the appends that are under way, then publishes a heartbeat
    /// that lets any VM claim the shard at once.
    async fn release(
        &mut self,
        mut outcomes: mpsc::Receiver<AppendOutcome>,
        cause: EndCause,
    ) -> EndCause {
        while self.is_appending_progress || self.is_appending_states {
            let it = outcomes.recv().await;
            if !self.handle_append_outcome(it) {
                return EndCause::FencedByLog;
            }
        }
        for (id, state) in self.owner.take_states() {
            self.state_publisher.add(id, state);
        }
        let heartbeat = self.heartbeat(clock::now(), true);
        let mut records = self.state_publisher.take_records();
        records.push(Record::OwnerHeartbeat(Box::new(heartbeat)));
        self.append_states(records);
        outcomes.recv().await;
        cause
    }
}

/// Waits until the process is to stop.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender has been dropped, which is treated as a stop.
    let _ = stop.wait_for(|it| *it).await;
}
