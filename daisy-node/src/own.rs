//! The owner's process side: carries out what the core decides.

mod append;
mod calls;
mod follow;
mod notes;

use std::time::Duration;

use daisy_http::Http;
use daisy_model::{Instant, SortedMap};
use daisy_platform::{Guard, Topic, WorkerCalls};
use daisy_workflow::{
    Action, Claim, Event, JobId, Layout, Ledger, Owner, OwnerHeartbeat, OwnershipStart,
    PlacementRules, PublishedState, Record, Settings, ShardId, StatePublisher, TickDelay,
    UnconfirmedRun, WorkerKey, encode,
};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};

use self::{
    append::{APPEND_TIMEOUT, Fenced, append},
    calls::Calls,
    follow::{follow_observations, follow_workers},
};
use crate::{clock, elect::Elect, follow::Tail, jobs::follow_jobs};

/// How long a worker's tasks go on without a renewal.
///
/// Long enough for a change of the owner (1.4 s of silence, a claim and a pass over the workers)
/// after a renewal that was 1.5 s ago; short, as tasks of a worker that is lost wait this long.
const LEASE: Duration = Duration::from_millis(5_000);
/// Between looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// The shortest time between two appends, so that records gather: each call is paid for.
const APPEND_GAP: Duration = Duration::from_millis(24);
/// Between records of what was learnt for the owners of other shards, and between their reads: twice
/// the time that a worker's report covers.
const SHARE_EVERY: Duration = Duration::from_millis(1_000);

/// An owner's time under one epoch.
pub(crate) struct Ownership {
    pub elect: Elect,
    pub shard: ShardId,
    pub epoch: u64,
    pub claim: Claim,
    /// A time before the claim was sent, and the epoch of the claim before it.
    pub claimed_at: Instant,
    pub after: u64,
    /// States that all VMs know already.
    pub told: SortedMap<JobId, PublishedState>,
}

/// Why an ownership ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    /// The log has seen a higher epoch.
    FencedByLog,
    /// A worker has seen a higher epoch.
    FencedByWorker,
    /// The process stops as planned.
    Stopping,
    /// The process runs so late that another does better.
    Late,
}

impl Ended {
    pub fn description(self) -> &'static str {
        match self {
            Ended::FencedByLog => "the log has seen a higher epoch",
            Ended::FencedByWorker => "a worker has seen a higher epoch",
            Ended::Stopping => "the process stops",
            Ended::Late => "this VM is too slow",
        }
    }

    /// Whether this process had better leave the shard to others for a while.
    pub fn is_unfit(self) -> bool {
        self == Ended::Late
    }
}

/// What an append came to.
#[derive(Debug)]
enum Append {
    Progress,
    /// States, or a sign of life, first sent at this time.
    States(Instant),
    Fenced,
}

impl Ownership {
    /// Runs until another owner takes over or the process stops.
    pub async fn run(self, ledger: Ledger, jobs: Tail) -> Ended {
        let (events, rx) = mpsc::unbounded_channel();
        let now = clock::now();
        let owner = self.start_owner(now, ledger, &events);
        let store = self.elect.store.clone();
        let (read, jobs_read) = watch::channel(now);
        let following = [
            tokio::spawn(follow_workers(
                store,
                self.elect.shared.clone(),
                self.shard,
                events.clone(),
            )),
            tokio::spawn(follow_jobs(jobs, events.clone(), read)),
            tokio::spawn(follow_observations(
                self.elect.store.clone(),
                self.elect.shared.clone(),
                self.shard,
                events.clone(),
            )),
        ];
        let (appends, appended) = mpsc::channel(2);
        let mut running = Running {
            calls: Calls {
                calls: WorkerCalls::new(Http::new(None), self.epoch),
                events,
                metrics: self.elect.metrics.clone(),
            },
            owner,
            appends,
            appending: false,
            appended_at: now,
            seq: 1,
            telling: StatePublisher::new(now, self.shard, self.told.clone()),
            telling_now: false,
            told_seq: 0,
            jobs_read,
            observed_at: now,
            lateness: TickDelay::new(now, TICK),
            reported_at: now,
            unconfirmed_runs: Vec::new(),
            ownership: self,
        };
        let cause = running.serve(rx, appended).await;
        following.iter().for_each(|it| it.abort());
        let Ownership { elect, shard, .. } = &running.ownership;
        elect.shared.lock().end_owner(*shard);
        elect.metrics.shard(*shard, 0, 0);
        cause
    }

    /// An owner that knows all that the log of its shard says, and hears of all that comes after.
    fn start_owner(
        &self,
        now: Instant,
        ledger: Ledger,
        events: &mpsc::UnboundedSender<Event>,
    ) -> Owner {
        let lease = LEASE.min(self.elect.settings.lease_max);
        let mut known = self.elect.shared.lock();
        let layout = known.directory.layout().unwrap_or(Layout { shards: 1 });
        let lease_max = self.elect.settings.lease_max;
        let rules = PlacementRules::default();
        let settings = Settings { lease, lease_max, shard: self.shard, layout, rules };
        let claimed = OwnershipStart {
            claim_sent_at: self.claimed_at,
            predecessors_ended: self.claim.predecessors_expired,
            epoch: self.epoch,
            previous_epoch: self.after,
        };
        known.begin_owner(self.shard, events.clone());
        let queues = known.queues.clone().unwrap_or_default();
        Owner::new(now, clock::wall_ms(), settings, ledger, queues, claimed)
    }
}

/// The owner at work.
struct Running {
    ownership: Ownership,
    calls: Calls,
    owner: Owner,
    appends: mpsc::Sender<Append>,
    appending: bool,
    /// When the last append of progress began.
    appended_at: Instant,
    /// The number of the next append of progress in this epoch.
    seq: u64,
    telling: StatePublisher,
    /// Whether an append of states is under way.
    telling_now: bool,
    /// The number of the next append of states in this epoch.
    told_seq: u64,
    /// When all submissions had last been read.
    jobs_read: watch::Receiver<Instant>,
    /// When what was learnt was last given to other owners.
    observed_at: Instant,
    lateness: TickDelay,
    reported_at: Instant,
    /// Runs whose fate was not known at the last report.
    unconfirmed_runs: Vec<UnconfirmedRun>,
}

impl Running {
    async fn serve(
        &mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut appended: mpsc::Receiver<Append>,
    ) -> Ended {
        /// Events taken in before what follows from them is done.
        const EVENTS_MAX: usize = 64;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut gap = interval(APPEND_GAP);
        gap.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop = self.ownership.elect.stop.clone();
        let mut batch = Vec::new();
        loop {
            let waits = !self.appending && self.owner.has_batch()
                || !self.telling_now && self.telling.has_pending_states();
            tokio::select! {
                it = appended.recv() => {
                    if !self.taken(it) {
                        return Ended::FencedByLog;
                    }
                }
                _ = events.recv_many(&mut batch, EVENTS_MAX) => {
                    let now = clock::now();
                    for event in batch.drain(..) {
                        self.owner.handle_event(now, event);
                    }
                }
                _ = tick.tick() => {
                    let now = clock::now();
                    let loads =
                        self.ownership.elect.shared.lock().directory.loads(self.ownership.shard);
                    self.owner.handle_event(now, Event::Loads(loads));
                    self.owner.handle_event(now, Event::Tick);
                    if self.lateness.record_tick(now) {
                        return self.release(appended, Ended::Late).await;
                    }
                }
                _ = gap.tick(), if waits => {}
                () = stopped(&mut stop) => return self.release(appended, Ended::Stopping).await,
            }
            self.report();
            if self.act() {
                return Ended::FencedByWorker;
            }
            self.append();
            self.tell();
            self.share();
        }
    }

    /// Carries out what the core wants done; whether it has to step down.
    fn act(&mut self) -> bool {
        let now = clock::now();
        let mut step_down = false;
        for action in self.owner.take_actions(now) {
            match action {
                Action::StepDown => step_down = true,
                Action::Note(note) => {
                    notes::write(&note, self.ownership.shard, &self.ownership.elect.metrics);
                }
                Action::Forward(shard, record) => self.forward(shard, record),
                Action::Renew { worker, .. }
                | Action::Start(worker, _)
                | Action::Stop(worker, ..)
                | Action::Pace(worker, ..) => self.call(worker, action),
            }
        }
        step_down
    }

    /// Logs, once a second, what there is to do and to do it with.
    fn report(&mut self) {
        const EVERY: Duration = Duration::from_secs(1);
        let now = clock::now();
        if now.since(self.reported_at) < EVERY {
            return;
        }
        self.reported_at = now;
        let it = self.owner.summary(now);
        log::info!(
            "event=owner_state shard={} epoch={} jobs={} waiting={} waiting_lasting={} \
             waiting_best_effort={} runs={} workers={} usable={} silent={} free_cpu={} \
             unusable_cpu={} largest_room={} largest_room_in_time={} least_lasting={} longest_wait_ms={} \
             uncertain={} uncertain_for_ms={}",
            self.ownership.shard.0,
            self.ownership.epoch,
            it.jobs,
            it.waiting,
            it.waiting_long_running,
            it.waiting_best_effort,
            it.runs,
            it.workers,
            it.usable,
            it.unresponsive,
            it.free_cpu,
            it.unusable_cpu,
            it.largest_free_cpu,
            it.largest_future_free_cpu,
            it.smallest_waiting_cpu,
            it.longest_wait.as_millis(),
            it.unconfirmed_runs,
            it.unconfirmed_for.as_millis()
        );
        self.report_uncertain(now);
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
        self.ownership.elect.metrics.shard(self.ownership.shard, it.jobs, it.usable);
    }

    /// Logs each run of a task that last whose fate is not known, once for each cause.
    fn report_uncertain(&mut self, now: Instant) {
        let unconfirmed_runs = self.owner.unconfirmed_runs(now);
        for it in &unconfirmed_runs {
            let told = |known: &UnconfirmedRun| {
                (known.task, known.run, known.cause) == (it.task, it.run, it.cause)
            };
            if self.unconfirmed_runs.iter().any(told) {
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
        self.unconfirmed_runs = unconfirmed_runs;
    }

    fn call(&self, key: WorkerKey, action: Action) {
        if let Some(worker) = self.owner.worker(key) {
            self.calls.begin(key, worker, action);
        }
    }

    /// Appends what is to be recorded.
    fn append(&mut self) {
        let now = clock::now();
        if self.appending || now.since(self.appended_at) < APPEND_GAP {
            return;
        }
        let Some(batch) = self.owner.try_batch(now) else { return };
        self.appending = true;
        self.appended_at = now;
        let guard = self.guard(self.seq);
        self.seq += 1;
        self.send(Topic::Progress(self.ownership.shard.0), batch.records, guard, Append::Progress);
    }

    /// Tells all VMs the states of jobs, and that this owner lives.
    fn tell(&mut self) {
        for (id, state) in self.owner.take_states() {
            self.telling.add(id, state);
        }
        if self.telling_now {
            return;
        }
        let now = clock::now();
        let heartbeat = self.telling.is_heartbeat_due(now).then(|| self.heartbeat(now, false));
        let Some(records) = self.telling.take_due_records(now, heartbeat) else { return };
        self.send_states(records);
    }

    /// Gives what was learnt to the owners of other shards. What does not arrive is learnt anew.
    fn share(&mut self) {
        let now = clock::now();
        if now.since(self.observed_at) < SHARE_EVERY {
            return;
        }
        self.observed_at = now;
        let seen = self.owner.take_interference_sums();
        let Ownership { elect, shard, .. } = &self.ownership;
        let shards = elect.shared.lock().directory.layout().map_or(1, |it| it.shards);
        if seen.is_empty() || shards < 2 {
            return;
        }
        let record = encode(&Record::InterferenceSums(*shard, seen));
        let store = elect.store.clone();
        tokio::spawn(async move {
            let records = [record];
            let append = store.append(Topic::Observed, &records, Guard::Free, APPEND_TIMEOUT);
            if let Err(e) = append.await {
                log::debug!("event=log_lost topic=Observed cause=\"{e}\"");
            }
        });
    }

    fn send_states(&mut self, records: Vec<Record>) {
        self.telling_now = true;
        let guard = self.guard(self.told_seq);
        self.told_seq += 1;
        self.send(Topic::States, records, guard, Append::States(clock::now()));
    }

    /// A sign of life.
    fn heartbeat(&self, now: Instant, released: bool) -> OwnerHeartbeat {
        /// Twice the longest wait for a new record.
        const CURRENT: Duration = Duration::from_millis(800);
        let claim = Claim {
            released,
            predecessors_expired: self.ownership.claim.predecessors_expired
                || self.owner.are_predecessor_leases_over(now),
            ..self.ownership.claim.clone()
        };
        let shard = self.ownership.shard;
        let is_caught_up =
            now.since(*self.jobs_read.borrow()) < CURRENT && self.are_all_published();
        let pending = self.owner.pending();
        let load = self.owner.load(now);
        OwnerHeartbeat { shard, claim, is_caught_up, pending, load }
    }

    /// Whether callers can know of all jobs that are handed on.
    fn are_all_published(&self) -> bool {
        let known = self.ownership.elect.shared.lock();
        self.telling.are_all_published(&known.directory, self.owner.delegated_away())
    }

    fn guard(&self, seq: u64) -> Guard {
        Guard::Sequence { shard: self.ownership.shard.0, epoch: self.ownership.epoch, seq }
    }

    fn send(&self, topic: Topic, records: Vec<Record>, guard: Guard, done: Append) {
        let store = self.ownership.elect.store.clone();
        let appends = self.appends.clone();
        tokio::spawn(async move {
            let outcome = match append(&store, topic, &records, guard).await {
                Ok(()) => done,
                Err(Fenced) => Append::Fenced,
            };
            // Nobody hears it once the owner has stepped down.
            let _ = appends.send(outcome).await;
        });
    }

    /// Takes the end of an append in; whether this owner is still the one.
    fn taken(&mut self, append: Option<Append>) -> bool {
        let event = match append {
            Some(Append::Progress) => {
                self.appending = false;
                Event::Appended
            }
            Some(Append::States(sent_at)) => {
                self.telling_now = false;
                Event::HeartbeatStored { sent_at }
            }
            Some(Append::Fenced) | None => return false,
        };
        self.owner.handle_event(clock::now(), event);
        true
    }

    /// Hands a job, or its cancellation, to another shard, unless that has told of it already. It
    /// goes on after this process has stepped down: what was decided stands.
    fn forward(&self, to: ShardId, record: Record) {
        let elect = &self.ownership.elect;
        if let Record::Submitted(id, _) = &record
            && elect.shared.lock().directory.state(*id).is_some_and(|it| it.shard == to)
        {
            return;
        }
        let store = elect.store.clone();
        let shared = elect.shared.clone();
        tokio::spawn(async move {
            // Such an append bears no epoch, so nothing fences it.
            let topic = Topic::Jobs(to.0);
            if append(&store, topic, std::slice::from_ref(&record), Guard::Free).await.is_ok() {
                shared.lock().reached(to, record);
            }
        });
    }

    /// Gives the shard up: what is under way is finished, then anybody may claim at once.
    async fn release(&mut self, mut appended: mpsc::Receiver<Append>, cause: Ended) -> Ended {
        while self.appending || self.telling_now {
            let it = appended.recv().await;
            if !self.taken(it) {
                return Ended::FencedByLog;
            }
        }
        for (id, state) in self.owner.take_states() {
            self.telling.add(id, state);
        }
        let heartbeat = self.heartbeat(clock::now(), true);
        let mut records = self.telling.take_records();
        records.push(Record::OwnerHeartbeat(Box::new(heartbeat)));
        self.send_states(records);
        appended.recv().await;
        cause
    }
}

/// Waits until the process is to stop.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that nobody is left to say so.
    let _ = stop.wait_for(|it| *it).await;
}
