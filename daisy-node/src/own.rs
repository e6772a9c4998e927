//! The owner's process side: carries out what the core decides.

use std::{sync::Arc, time::Duration};

use daisy_http::Http;
use daisy_model::{Instant, SortedMap};
use daisy_platform::{
    Guard, HoldError, HoldOrder, NodeSettings, Store, StoreError, Topic, WorkerCalls, worker,
};
use daisy_workflow::{
    Action, Batch, Claim, Event, Listed, Note, OrderReply, Outcome, Owner, Record, Settings, encode,
};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{clock, follow::Tail, metrics::Metrics, shared::Shared};

/// How long a worker's tasks go on without a renewal.
///
/// Long enough for a change of the owner (1.4 s of silence, a claim and a pass over the workers)
/// after a renewal that was 1.5 s ago; short, as tasks of a worker that is lost wait this long.
const LEASE: Duration = Duration::from_millis(5_000);
/// How long a worker may take to answer: 24 ms on the way between regions, and a slow VM.
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);
/// Between looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Between signs of life while there is nothing to record.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// The shortest time between two appends, so that records gather: each call is paid for.
const APPEND_GAP: Duration = Duration::from_millis(12);
/// How long an append may take before it is sent again.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);
/// Before an append that the log refused is sent again.
const APPEND_RETRY: Duration = Duration::from_millis(100);
/// Between reads of the list of workers.
const LIST_EVERY: Duration = Duration::from_millis(300);

/// An owner's time under one epoch.
#[derive(Debug)]
pub(crate) struct Ownership {
    pub settings: NodeSettings,
    pub store: Store,
    pub shared: Shared,
    pub metrics: Metrics,
    pub stop: watch::Receiver<bool>,
    pub epoch: u64,
    /// The offset after the claim.
    pub next: u64,
    pub claim: Claim,
    pub predecessor_gone: bool,
}

/// How it ended.
#[derive(Debug)]
pub(crate) struct Ended {
    /// Where to read the log on.
    pub next: u64,
    /// Why.
    pub why: &'static str,
}

/// What an append came to.
#[derive(Debug)]
enum Append {
    Done { next: u64, records: Vec<Record> },
    Fenced,
}

impl Ownership {
    /// Runs until another owner takes over or the process stops.
    pub async fn run(self) -> Ended {
        let (events, rx) = mpsc::unbounded_channel();
        let owner = self.start_owner(&events);
        let http = Http::new(None);
        let list = tokio::spawn(follow_workers(self.store.clone(), events.clone()));
        let (appends, appended) = mpsc::channel(1);
        let now = clock::now();
        let next = self.next;
        let mut running = Running {
            calls: WorkerCalls::new(http, self.epoch),
            ownership: self,
            owner,
            events,
            appends,
            appending: false,
            appended_at: now,
            seq: 1,
            next,
            reported_at: now,
        };
        let why = running.serve(rx, appended).await;
        list.abort();
        running.ownership.shared.lock().owner = None;
        Ended { next: running.next, why }
    }

    /// An owner that knows all that this process knows, and hears of all that comes after.
    fn start_owner(&self, events: &mpsc::UnboundedSender<Event>) -> Owner {
        let settings = Settings { lease: LEASE.min(self.settings.lease_max) };
        let mut known = self.shared.lock();
        known.owner = Some(events.clone());
        let queues = known.queues.clone().unwrap_or_default();
        let ledger = known.ledger.clone();
        let (now, wall) = (clock::now(), clock::wall_ms());
        Owner::new(now, wall, settings, ledger, queues, self.predecessor_gone)
    }
}

/// The owner at work.
struct Running {
    ownership: Ownership,
    calls: WorkerCalls,
    owner: Owner,
    events: mpsc::UnboundedSender<Event>,
    appends: mpsc::Sender<Append>,
    appending: bool,
    /// When the last append began.
    appended_at: Instant,
    /// The number of the next append in this epoch.
    seq: u64,
    next: u64,
    reported_at: Instant,
}

impl Running {
    async fn serve(
        &mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut appended: mpsc::Receiver<Append>,
    ) -> &'static str {
        /// Events taken in before what follows from them is done.
        const EVENTS_MAX: usize = 64;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut gap = interval(APPEND_GAP);
        gap.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop = self.ownership.stop.clone();
        let mut batch = Vec::new();
        loop {
            let waits = !self.appending && self.owner.has_batch();
            tokio::select! {
                it = appended.recv() => match it {
                    Some(Append::Done { next, records }) => self.appended(next, records),
                    Some(Append::Fenced) | None => return "the log has seen a higher epoch",
                },
                _ = events.recv_many(&mut batch, EVENTS_MAX) => {
                    let now = clock::now();
                    for event in batch.drain(..) {
                        self.owner.step(now, event);
                    }
                }
                _ = tick.tick() => self.owner.step(clock::now(), Event::Tick),
                _ = gap.tick(), if waits => {}
                () = stopped(&mut stop) => return self.release(appended).await,
            }
            self.report();
            if self.act() {
                return "a worker has seen a higher epoch";
            }
            self.append();
        }
    }

    /// Carries out what the core wants done; whether it has to step down.
    fn act(&mut self) -> bool {
        let now = clock::now();
        let mut step_down = false;
        for action in self.owner.act(now) {
            match action {
                Action::StepDown => step_down = true,
                Action::Note(note) => self.note(&note),
                other => self.call(other),
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
            "event=owner_state epoch={} jobs={} waiting={} waiting_lasting={} \
             waiting_best_effort={} runs={} workers={} usable={} silent={} free_cpu={}",
            self.ownership.epoch,
            it.jobs,
            it.waiting,
            it.waiting_lasting,
            it.waiting_best_effort,
            it.runs,
            it.workers,
            it.usable,
            it.silent,
            it.free_cpu
        );
        let metrics = &self.ownership.metrics;
        metrics.backlog.set(it.jobs as i64);
        metrics.usable_workers.set(it.usable as i64);
    }

    /// Makes a call to a worker in a task of its own.
    fn call(&self, action: Action) {
        let key = match &action {
            Action::Hold { worker, .. } => *worker,
            Action::Start(worker, _) | Action::Stop(worker, ..) | Action::Pace(worker, ..) => {
                *worker
            }
            Action::StepDown | Action::Note(_) => return,
        };
        let Some(worker) = self.owner.worker(key) else { return };
        let (id, address) = (worker.id.clone(), worker.address);
        let calls = self.calls.clone();
        let events = self.events.clone();
        let metrics = self.ownership.metrics.clone();
        tokio::spawn(async move {
            let event = match action {
                Action::Hold { deadline_ms, cursor, wait, .. } => {
                    let order = HoldOrder { deadline_ms, cursor, wait };
                    match calls.hold(&id, address, order, ORDER_TIMEOUT).await {
                        Ok(answer) => Event::Held(key, Some(answer)),
                        Err(HoldError::Fenced) => Event::Fenced(key),
                        Err(HoldError::NoAnswer(why)) => {
                            log::debug!("event=hold_failed worker={id} cause=\"{why}\"");
                            Event::Held(key, None)
                        }
                    }
                }
                Action::Start(_, start) => {
                    let reply = calls.start(&id, address, &start, ORDER_TIMEOUT).await;
                    let outcome = reply_words(reply);
                    let (task, run) = (start.task, start.run);
                    log::info!(
                        "event=start id={} task={task} run={run} worker={id} outcome={outcome}",
                        task.job
                    );
                    metrics.start(outcome);
                    Event::Started(key, task, run, reply)
                }
                Action::Stop(_, task, run) => {
                    let reply = calls.stop(&id, address, task, run, ORDER_TIMEOUT).await;
                    let outcome = reply_words(reply);
                    log::info!(
                        "event=stop id={} task={task} run={run} worker={id} outcome={outcome}",
                        task.job
                    );
                    Event::Stopped(key, task, run, reply)
                }
                Action::Pace(_, task, run, percent) => {
                    let order = (task, run, percent);
                    let reply = calls.pace(&id, address, order, ORDER_TIMEOUT).await;
                    log::info!(
                        "event=pace id={} task={task} run={run} worker={id} percent={percent} outcome={}",
                        task.job,
                        reply_words(reply)
                    );
                    Event::Paced(key, task, run, percent, reply)
                }
                Action::StepDown | Action::Note(_) => return,
            };
            // An owner that has stepped down hears no more.
            let _ = events.send(event);
        });
    }

    /// Appends what is to be recorded, or a sign of life.
    fn append(&mut self) {
        let now = clock::now();
        let since = now.since(self.appended_at);
        if self.appending || since < APPEND_GAP {
            return;
        }
        let batch = match self.owner.try_batch(now) {
            Some(batch) => batch,
            None if since >= HEARTBEAT => {
                Batch { records: vec![Record::Claim(self.ownership.claim.clone())] }
            }
            None => return,
        };
        self.send(now, batch);
    }

    fn send(&mut self, now: Instant, batch: Batch) {
        self.appending = true;
        self.appended_at = now;
        let guard = Guard::Sequence { epoch: self.ownership.epoch, seq: self.seq };
        self.seq += 1;
        let store = self.ownership.store.clone();
        let appends = self.appends.clone();
        tokio::spawn(async move {
            let outcome = append(&store, batch.records, guard).await;
            // Nobody hears it once the owner has stepped down.
            let _ = appends.send(outcome).await;
        });
    }

    fn appended(&mut self, next: u64, records: Vec<Record>) {
        self.appending = false;
        self.next = next;
        let now = clock::now();
        let mut known = self.ownership.shared.lock();
        for record in records {
            known.ledger.fold(record);
        }
        known.progress_read_at = Some(now);
        drop(known);
        self.owner.step(now, Event::Appended);
    }

    /// A planned stop: what is under way is finished, then anybody may claim at once.
    async fn release(&mut self, mut appended: mpsc::Receiver<Append>) -> &'static str {
        if self.appending {
            match appended.recv().await {
                Some(Append::Done { next, records }) => self.appended(next, records),
                Some(Append::Fenced) | None => return "the log has seen a higher epoch",
            }
        }
        let claim = Claim { released: true, ..self.ownership.claim.clone() };
        self.send(clock::now(), Batch { records: vec![Record::Claim(claim)] });
        if let Some(Append::Done { next, .. }) = appended.recv().await {
            self.next = next;
        }
        "the process stops"
    }

    fn note(&self, note: &Note) {
        match note {
            Note::JobEnded { job, how, age } => {
                log::info!("event=job_ended id={job} outcome={how} age_ms={}", age.as_millis());
            }
            Note::RunEnded { task, run, worker, outcome } => {
                let outcome = outcome_words(*outcome);
                self.ownership.metrics.end(outcome);
                let id = task.job;
                log::info!(
                    "event=run_ended id={id} task={task} run={run} worker={worker} outcome={outcome}"
                );
            }
            Note::RunLost { task, run, worker, why } => {
                self.ownership.metrics.lost();
                let id = task.job;
                log::warn!(
                    "event=run_lost id={id} task={task} run={run} worker={worker} cause=\"{why}\""
                );
            }
            Note::Worker { worker, is, why } => {
                log::info!("event=worker worker={worker} is={is} cause=\"{why}\"");
            }
        }
    }
}

/// Waits until the process is to stop.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that nobody is left to say so.
    let _ = stop.wait_for(|it| *it).await;
}

/// Appends until the log has the records or a higher epoch has been seen. The number in `guard`
/// makes a second sending of the same append have no second effect.
async fn append(store: &Store, records: Vec<Record>, guard: Guard) -> Append {
    let encoded: Vec<_> = records.iter().map(encode).collect();
    let mut lost = false;
    loop {
        match store.append(Topic::Progress, &encoded, guard, APPEND_TIMEOUT).await {
            Ok(offset) => {
                if lost {
                    log::info!("event=log_regained topic=progress");
                }
                return Append::Done { next: offset + encoded.len() as u64, records };
            }
            Err(StoreError::Fenced | StoreError::Moved) => return Append::Fenced,
            Err(e) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!("event=log_lost topic=progress cause=\"{e}\"");
                }
                sleep(APPEND_RETRY).await;
            }
        }
    }
}

/// Tells the owner of the platform's list of workers, whenever it changes.
async fn follow_workers(store: Store, events: mpsc::UnboundedSender<Event>) {
    let mut tail = Tail::new(store, Topic::Workers);
    let mut listed: SortedMap<String, Arc<Listed>> = SortedMap::new();
    let mut unreadable = SortedMap::new();
    while !events.is_closed() {
        let fresh = tail.next().is_none();
        let Some(read) = tail.try_read(Duration::ZERO).await else { continue };
        if fresh {
            listed = SortedMap::new();
        }
        let changed = fresh || !read.records.is_empty();
        for it in read.records {
            if it.value.is_empty() {
                listed.remove(&it.key);
                continue;
            }
            match worker(&it.key, &it.value) {
                Ok(entry) => {
                    listed.insert(it.key, Arc::new(entry));
                }
                Err(why) => {
                    listed.remove(&it.key);
                    if unreadable.insert(it.key.clone(), ()).is_none() {
                        log::warn!("event=worker_unreadable worker={:?} cause=\"{why}\"", it.key);
                    }
                }
            }
        }
        if changed {
            let list = listed.iter().map(|(_, it)| Listed::clone(it)).collect();
            if events.send(Event::Workers(list)).is_err() {
                return;
            }
        }
        sleep(LIST_EVERY).await;
    }
}

fn outcome_words(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::Stopped => "stopped",
        Outcome::Lapsed => "lapsed",
        Outcome::Broken => "broken",
        Outcome::Alone => "alone",
    }
}

fn reply_words(reply: OrderReply) -> &'static str {
    match reply {
        OrderReply::Done { .. } => "done",
        OrderReply::Refused(_) => "refused",
        OrderReply::NotSent => "not_sent",
        OrderReply::Unknown => "unknown",
    }
}
