//! Owners of shards over workers of the model, and a log that takes each append in a few milliseconds.

use std::{sync::Arc, time::Duration};

use daisy_model::{Instant, Resources, SortedMap};
use daisy_workflow::{
    Action, Batch, Event, JobId, JobKind, JobState, Layout, Ledger, Owner, OwnershipStart,
    PlacementRules, Queue, QueueConfig, Record, Service, Settings, ShardId, Start, TaskId,
    WorkerKey,
};

use super::{
    Args,
    load::{Arrival, LEAD_MS, MIB_PER_MILLI, Mix},
    report::Report,
    worker::Worker,
};

const STEP: Duration = Duration::from_millis(10);
/// An append, an order's way, and a write to another shard.
const APPEND: Duration = Duration::from_millis(10);
const WRITE: Duration = Duration::from_millis(40);
/// Between signs of life, and between ticks of an owner.
const TELL: u64 = 40;
const TICK: u64 = 5;
/// Time after the last arrival in which what was accepted can still end.
const FINISH: Duration = Duration::from_secs(10);

/// One shard.
struct Shard {
    owner: Owner,
    workers: Vec<Worker>,
    /// Positions of workers by the owner's keys.
    places: Vec<usize>,
    batch: Option<(Instant, Batch)>,
    events: Vec<(Instant, Event)>,
    ledger: Ledger,
}

/// A run of the model.
pub struct Drive {
    now: Instant,
    layout: Layout,
    shards: Vec<Shard>,
    arrivals: Vec<Arrival>,
    steps: SortedMap<JobId, Vec<Arc<daisy_workflow::StepSpec>>>,
    under_way: Vec<(Instant, ShardId, Record)>,
    report: Report,
}

impl Drive {
    /// A fleet under the load of a seed; one worker that has the room of all if `whole`.
    pub fn new(args: &Args, seed: u64, rules: PlacementRules, whole: bool) -> Drive {
        let (workers, seconds) = (args.workers, args.seconds);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mix = if args.filling { Mix::FILLING } else { Mix::draw(&mut rng) };
        let sizes: Vec<u32> = (0..workers)
            .map(|at| if at % 3 == 2 { mix.cores * 3 / 2 } else { mix.cores })
            .collect();
        let cores: u64 = sizes.iter().map(|it| u64::from(*it)).sum();
        let mut arrivals = mix.arrivals(&mut rng, cores, seconds);
        if whole {
            let steps = arrivals.iter_mut().flat_map(|it| &mut it.spec.steps);
            steps.for_each(|it| it.max_per_worker = 0);
        }
        let layout = match whole {
            true => Layout { shards: 1 },
            false => Layout::for_workers(workers, u16::MAX),
        };
        let sizes = if whole { vec![cores as u32] } else { sizes };
        let mut shards: Vec<Shard> = layout.all().map(|it| Shard::new(it, layout, rules)).collect();
        for (at, cores) in sizes.into_iter().enumerate() {
            let name = format!("worker-{at}");
            let shard = usize::from(layout.shard_of_worker(&name.as_str().into()).0);
            shards[shard].workers.push(Worker::new(name, room(cores), rng.f64()));
        }
        let steps = arrivals
            .iter()
            .map(|it| (JobId(it.id), it.spec.steps.iter().cloned().map(Arc::new).collect()));
        let steps = steps.collect();
        let now = Instant::from_millis(0);
        let report = Report::default();
        Drive { now, layout, shards, arrivals, steps, under_way: Vec::new(), report }
    }

    /// Plays all, and gives what came of it.
    pub fn run(mut self) -> Report {
        let last = self.arrivals.last().map_or(self.now, |it| it.at);
        let (mut next, mut turn) = (0, 0u64);
        while self.now < last + FINISH {
            self.now = self.now + STEP;
            turn += 1;
            while let Some(it) = self.arrivals.get(next).filter(|it| it.at <= self.now) {
                let id = JobId(it.id);
                self.under_way.push((
                    self.now + APPEND,
                    self.layout.shard_of_job(id),
                    Record::Submitted(id, it.spec.clone()),
                ));
                next += 1;
            }
            self.leave();
            self.deliver();
            if turn.is_multiple_of(TELL) {
                self.tell();
            }
            for at in 0..self.shards.len() {
                self.step(at, turn);
            }
            if self.now >= Instant::from_millis(LEAD_MS) && self.now < last {
                self.sample(turn);
            }
        }
        self.finish()
    }

    fn leave(&mut self) {
        let (now, before) = (self.now, self.now - STEP);
        for it in &self.arrivals {
            if it.leaves.is_some_and(|at| at <= now && at > before) {
                let id = JobId(it.id);
                self.under_way.push((now, self.layout.shard_of_job(id), Record::Cancelled(id)));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.under_way).into_iter().partition(|it| it.0 <= now);
        self.under_way = later;
        let due: Vec<(Instant, ShardId, Record)> = due;
        for (_, shard, record) in due {
            let shard = &mut self.shards[usize::from(shard.0)];
            shard.ledger.fold(record.clone());
            shard.owner.handle_event(now, Event::Record(record));
        }
    }

    fn tell(&mut self) {
        let now = self.now;
        let loads: Vec<_> =
            self.layout.all().zip(&self.shards).map(|(id, it)| (id, it.owner.load(now))).collect();
        let seen: Vec<_> =
            self.shards.iter_mut().map(|it| it.owner.take_interference_sums()).collect();
        for (own, shard) in self.layout.all().zip(&mut self.shards) {
            let others = loads.iter().filter(|(id, _)| *id != own).copied();
            shard.owner.handle_event(now, Event::Loads(others.collect()));
            shard.owner.handle_event(now, Event::HeartbeatStored { sent_at: now });
            for (from, seen) in self.layout.all().zip(&seen) {
                if from != own && !seen.is_empty() {
                    shard.owner.handle_event(now, Event::InterferenceSums(seen.clone()));
                }
            }
        }
    }

    fn step(&mut self, at: usize, turn: u64) {
        let now = self.now;
        let shard = &mut self.shards[at];
        for worker in &mut shard.workers {
            worker.pass(now, STEP);
            if let Some((key, answer)) = worker.try_answer(now) {
                shard.owner.handle_event(now, Event::RenewalAnswered(key, Some(answer)));
            }
        }
        if turn.is_multiple_of(TELL) || turn == 1 {
            let listed = shard.workers.iter().map(Worker::listing).collect();
            shard.owner.handle_event(now, Event::Workers(listed));
        }
        let (due, later) =
            std::mem::take(&mut shard.events).into_iter().partition(|it| it.0 <= now);
        shard.events = later;
        let due: Vec<(Instant, Event)> = due;
        due.into_iter().for_each(|(_, it)| shard.owner.handle_event(now, it));
        if turn.is_multiple_of(TICK) {
            shard.owner.handle_event(now, Event::Tick);
        }
        self.act(at);
        let shard = &mut self.shards[at];
        if shard.batch.is_none() {
            shard.batch = shard.owner.try_batch(now).map(|it| (now + APPEND, it));
        }
        if let Some((_, batch)) = shard.batch.take_if(|(at, _)| *at <= now) {
            batch.records.into_iter().for_each(|it| {
                shard.ledger.fold(it);
            });
            shard.owner.handle_event(now, Event::Appended);
            self.act(at);
        }
    }

    fn act(&mut self, at: usize) {
        let now = self.now;
        for action in self.shards[at].owner.take_actions(now) {
            let shard = &mut self.shards[at];
            match action {
                Action::Renew { worker: key, cursor, wait, .. } => {
                    let worker = shard.worker(key);
                    worker.hold(now, key, cursor, wait.max(STEP));
                }
                Action::Start(key, start) => self.start(at, key, start),
                Action::Stop(key, task, run, _) => {
                    let reply = shard.worker(key).stop(now, task, run);
                    shard.events.push((now + STEP, Event::StopAnswered(key, task, run, reply)));
                }
                Action::Pace(key, task, run, percent) => {
                    let reply = shard.worker(key).set_pace(now, task, run, percent);
                    shard
                        .events
                        .push((now + STEP, Event::PaceAnswered(key, task, run, percent, reply)));
                }
                Action::Forward(to, record) => self.under_way.push((now + WRITE, to, record)),
                Action::StepDown => {}
                Action::Note(note) => self.report.note(now, &note),
            }
        }
    }

    fn start(&mut self, at: usize, key: WorkerKey, start: Start) {
        let TaskId { job, step, index, .. } = start.task;
        let spec = self.steps.get(&job).map(|it| it[usize::from(step)].clone());
        let work = &self.arrivals[job.0 as usize].work_ms[usize::from(step)];
        let work_ms = work.get(index as usize).map_or(0.0, |it| f64::from(*it));
        let now = self.now;
        let (Some(spec), shard) = (spec, &mut self.shards[at]) else { return };
        let reply = shard.worker(key).start(now, &start, spec, work_ms);
        self.report.started(self.now, job);
        shard.events.push((now + STEP, Event::StartAnswered(key, start.task, start.run, reply)));
    }

    /// Looks at rooms and tails twice a second.
    fn sample(&mut self, turn: u64) {
        const EVERY: u64 = 50;
        if !turn.is_multiple_of(EVERY) {
            return;
        }
        let now = self.now;
        for shard in &self.shards {
            let sum = shard.owner.summary(now);
            self.report.waiting_long_running += sum.waiting_long_running;
            self.report.waiting_once += sum.waiting;
            self.report.unusable_cpu += sum.unusable_cpu;
            self.report.free_cpu += sum.free_cpu;
            for worker in &shard.workers {
                let (at_work, over) = worker.serving(now);
                self.report.serving += at_work;
                self.report.over += over;
            }
        }
        self.report.samples += 1;
    }

    fn finish(mut self) -> Report {
        for it in &self.arrivals {
            let id = JobId(it.id);
            let state = self.shards.iter().find_map(|shard| {
                shard.ledger.job(id).filter(|it| !it.belongs_to_other_shard()).map(|it| it.state())
            });
            if it.spec.kind() != JobKind::LongRunning && it.at >= Instant::from_millis(LEAD_MS) {
                self.report.add_job(it, state == Some(JobState::Completed));
            }
        }
        self.report
    }
}

impl Shard {
    fn new(shard: ShardId, layout: Layout, rules: PlacementRules) -> Shard {
        let settings = Settings {
            lease: Duration::from_secs(5),
            lease_max: Duration::from_secs(10),
            shard,
            layout,
            rules,
        };
        let now = Instant::from_millis(0);
        let claimed = OwnershipStart {
            claim_sent_at: now,
            predecessors_ended: true,
            epoch: 1,
            previous_epoch: 0,
        };
        let owner = Owner::new(now, 0, settings, Ledger::default(), queues(), claimed);
        Shard {
            owner,
            workers: Vec::new(),
            places: Vec::new(),
            batch: None,
            events: Vec::new(),
            ledger: Ledger::default(),
        }
    }

    fn worker(&mut self, key: WorkerKey) -> &mut Worker {
        while self.places.len() <= key.0 as usize {
            let id = self.owner.worker(WorkerKey(self.places.len() as u32)).map(|it| &it.id.0);
            let place =
                self.workers.iter().position(|it| Some(it.name.as_str()) == id.map(|it| &**it));
            self.places.push(place.unwrap_or_default());
        }
        &mut self.workers[self.places[key.0 as usize]]
    }
}

fn room(cores: u32) -> Resources {
    let cpu_milli = cores * 1_000;
    let memory_mib = (f64::from(cpu_milli) * MIB_PER_MILLI) as u32;
    Resources { cpu_milli, memory_mib, accelerators: 0 }
}

fn queues() -> Arc<QueueConfig> {
    let services = vec![Service { name: "shop".into(), admission_control: false, connections: 64 }];
    Arc::new(QueueConfig { version: 1, queues: Vec::<Queue>::new(), services, body_bytes: 1 << 18 })
}
