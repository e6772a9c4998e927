//! Runs shard owners over modelled workers and a log that stores each append within 10 ms.

use std::{sync::Arc, time::Duration};

use daisy_model::{Instant, Resources, SortedMap};
use daisy_workflow::{
    Action, Batch, Event, JobId, JobKind, JobState, Layout, Ledger, Owner, OwnershipStart,
    PlacementRules, Queue, QueueConfig, Record, Service, Settings, ShardId, Start, TaskId,
    WorkerKey,
};

use super::{
    Args,
    callers::Callers,
    load::{Arrival, MIB_PER_MILLI, Mix, WARM_UP_MS},
    report::Report,
    worker::Worker,
};

/// Simulated time of one step, and the time until a worker's reply to an order arrives.
const TIME_STEP: Duration = Duration::from_millis(10);
/// Time from an append, or from the submission of a job, until the owner receives the result.
const APPEND_DELAY: Duration = Duration::from_millis(10);
/// Time until a record that is forwarded to another shard arrives there.
const FORWARD_DELAY: Duration = Duration::from_millis(40);
/// Steps between two heartbeats of the owners.
const HEARTBEAT_STEPS: u64 = 40;
/// Steps between two ticks of an owner.
const TICK_STEPS: u64 = 5;
/// Time after the last arrival in which accepted jobs can still complete.
const COMPLETION_TIME: Duration = Duration::from_secs(10);

/// A shard: its owner, its workers and its log.
struct Shard {
    owner: Owner,
    workers: Vec<Worker>,
    /// Positions in `workers`, indexed by the owner's worker keys.
    worker_positions: Vec<usize>,
    /// The batch that is being appended, and when its append ends.
    batch: Option<(Instant, Batch)>,
    /// Replies of workers, and when they reach the owner.
    events: Vec<(Instant, Event)>,
    ledger: Ledger,
}

/// One run of the model.
pub struct Simulation {
    now: Instant,
    layout: Layout,
    shards: Vec<Shard>,
    arrivals: Vec<Arrival>,
    steps: SortedMap<JobId, Vec<Arc<daisy_workflow::StepSpec>>>,
    /// Records, the shards they are sent to, and when they arrive.
    in_transit: Vec<(Instant, ShardId, Record)>,
    /// The callers of long-running jobs, if these are admitted.
    callers: Option<Callers>,
    report: Report,
}

impl Simulation {
    /// Creates a fleet under the load drawn from `seed`. If `single_worker`, one worker has the
    /// capacity of all.
    pub fn new(args: &Args, seed: u64, rules: PlacementRules, single_worker: bool) -> Simulation {
        let (workers, seconds) = (args.workers, args.seconds);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mix = if args.filling { Mix::FILLING } else { Mix::draw(&mut rng) };
        let worker_cores: Vec<u32> = (0..workers)
            .map(|at| if at % 3 == 2 { mix.cores * 3 / 2 } else { mix.cores })
            .collect();
        let cores: u64 = worker_cores.iter().map(|it| u64::from(*it)).sum();
        let mut arrivals = mix.arrivals(&mut rng, cores, seconds);
        if single_worker {
            let steps = arrivals.iter_mut().flat_map(|it| &mut it.spec.steps);
            steps.for_each(|it| it.max_per_worker = 0);
        }
        let layout = match single_worker {
            true => Layout { shards: 1 },
            false => Layout::for_workers(workers, u16::MAX),
        };
        let worker_cores = if single_worker { vec![cores as u32] } else { worker_cores };
        let mut shards: Vec<Shard> = layout.all().map(|it| Shard::new(it, layout, rules)).collect();
        for (at, cores) in worker_cores.into_iter().enumerate() {
            let name = format!("worker-{at}");
            let shard = usize::from(layout.shard_of_worker(&name.as_str().into()).0);
            shards[shard].workers.push(Worker::new(name, capacity_of(cores), rng.f64()));
        }
        let steps = arrivals
            .iter()
            .map(|it| (JobId(it.id), it.spec.steps.iter().cloned().map(Arc::new).collect()));
        let steps = steps.collect();
        let now = Instant::from_millis(0);
        let report = Report::default();
        let callers = rules.protected_priority.map(|_| Callers::default());
        let in_transit = Vec::new();
        Simulation { now, layout, shards, arrivals, steps, in_transit, callers, report }
    }

    /// Runs the simulation to its end and returns the results.
    pub fn run(mut self) -> Report {
        let last_arrival_at = self.arrivals.last().map_or(self.now, |it| it.at);
        let (mut next_arrival, mut steps_done) = (0, 0u64);
        while self.now < last_arrival_at + COMPLETION_TIME {
            self.now = self.now + TIME_STEP;
            steps_done += 1;
            while let Some(it) = self.arrivals.get(next_arrival).filter(|it| it.at <= self.now) {
                let is_admitted = it.spec.kind() != JobKind::LongRunning
                    || self
                        .callers
                        .as_mut()
                        .is_none_or(|callers| callers.admit(self.now, next_arrival, it));
                if is_admitted {
                    self.submit(next_arrival);
                }
                next_arrival += 1;
            }
            if let Some(callers) = &mut self.callers {
                let returned = callers.returned(self.now, &self.arrivals);
                returned.into_iter().for_each(|it| self.submit(it));
            }
            self.cancel_departing_jobs();
            self.deliver_records();
            if steps_done.is_multiple_of(HEARTBEAT_STEPS) {
                self.publish_heartbeats();
            }
            for at in 0..self.shards.len() {
                self.step_shard(at, steps_done);
            }
            if self.now >= Instant::from_millis(WARM_UP_MS) && self.now < last_arrival_at {
                self.sample_workers(steps_done);
            }
        }
        self.into_report()
    }

    /// Submits the job at this position of the load.
    fn submit(&mut self, arrival: usize) {
        let it = &self.arrivals[arrival];
        let id = JobId(it.id);
        self.in_transit.push((
            self.now + APPEND_DELAY,
            self.layout.shard_of_job(id),
            Record::Submitted(id, it.spec.clone()),
        ));
    }

    /// Cancels the long-running jobs whose time ended within this step.
    fn cancel_departing_jobs(&mut self) {
        let (now, before) = (self.now, self.now - TIME_STEP);
        for it in &self.arrivals {
            if it.cancelled_at.is_some_and(|at| at <= now && at > before) {
                let id = JobId(it.id);
                self.in_transit.push((now, self.layout.shard_of_job(id), Record::Cancelled(id)));
            }
        }
    }

    /// Passes records that have arrived to their shards.
    fn deliver_records(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|it| it.0 <= now);
        self.in_transit = later;
        let due: Vec<(Instant, ShardId, Record)> = due;
        for (_, shard, record) in due {
            let shard = &mut self.shards[usize::from(shard.0)];
            shard.ledger.fold(record.clone());
            shard.owner.handle_event(now, Event::Record(record));
        }
    }

    /// Passes each owner's load and interference sums to the other owners, and confirms heartbeats.
    fn publish_heartbeats(&mut self) {
        let now = self.now;
        if let Some(callers) = &mut self.callers {
            let reports = self.shards.iter_mut().flat_map(|it| it.owner.capacity_reports(now));
            callers.reported(reports.map(|it| (now, it)).collect());
        }
        let loads: Vec<_> =
            self.layout.all().zip(&self.shards).map(|(id, it)| (id, it.owner.load(now))).collect();
        let observed: Vec<_> =
            self.shards.iter_mut().map(|it| it.owner.take_interference_sums()).collect();
        for (own_id, shard) in self.layout.all().zip(&mut self.shards) {
            let others = loads.iter().filter(|(id, _)| *id != own_id).copied();
            shard.owner.handle_event(now, Event::Loads(others.collect()));
            shard.owner.handle_event(now, Event::HeartbeatStored { sent_at: now });
            for (from, observed) in self.layout.all().zip(&observed) {
                if from != own_id && !observed.is_empty() {
                    shard.owner.handle_event(now, Event::InterferenceSums(observed.clone()));
                }
            }
        }
    }

    fn step_shard(&mut self, at: usize, steps_done: u64) {
        let now = self.now;
        let shard = &mut self.shards[at];
        for worker in &mut shard.workers {
            worker.advance(now, TIME_STEP);
            if let Some((key, answer)) = worker.try_answer_renewal(now) {
                shard.owner.handle_event(now, Event::RenewalAnswered(key, Some(answer)));
            }
        }
        if steps_done.is_multiple_of(HEARTBEAT_STEPS) || steps_done == 1 {
            let listed = shard.workers.iter().map(Worker::listing).collect();
            shard.owner.handle_event(now, Event::Workers(listed));
            let evacuations = Arc::default();
            shard.owner.handle_event(now, Event::EvacuationsRead { read_at: now, evacuations });
        }
        let (due, later) =
            std::mem::take(&mut shard.events).into_iter().partition(|it| it.0 <= now);
        shard.events = later;
        let due: Vec<(Instant, Event)> = due;
        due.into_iter().for_each(|(_, it)| shard.owner.handle_event(now, it));
        if steps_done.is_multiple_of(TICK_STEPS) {
            shard.owner.handle_event(now, Event::Tick);
        }
        self.carry_out_actions(at);
        let shard = &mut self.shards[at];
        if shard.batch.is_none() {
            shard.batch = shard.owner.try_batch(now).map(|it| (now + APPEND_DELAY, it));
        }
        if let Some((_, batch)) = shard.batch.take_if(|(at, _)| *at <= now) {
            batch.records.into_iter().for_each(|it| {
                shard.ledger.fold(it);
            });
            shard.owner.handle_event(now, Event::Appended { log_end: 0 });
            self.carry_out_actions(at);
        }
    }

    fn carry_out_actions(&mut self, at: usize) {
        let now = self.now;
        for action in self.shards[at].owner.take_actions(now) {
            let shard = &mut self.shards[at];
            match action {
                Action::Renew { worker: key, cursor, wait, .. } => {
                    let worker = shard.worker(key);
                    worker.hold(now, key, cursor, wait.max(TIME_STEP));
                }
                Action::Start(key, start) => self.start(at, key, start),
                Action::Stop(key, task, run, _) => {
                    let reply = shard.worker(key).stop(now, task, run);
                    shard
                        .events
                        .push((now + TIME_STEP, Event::StopAnswered(key, task, run, reply)));
                }
                Action::Pace(key, task, run, percent) => {
                    let reply = shard.worker(key).set_pace(now, task, run, percent);
                    shard.events.push((
                        now + TIME_STEP,
                        Event::PaceAnswered(key, task, run, percent, reply),
                    ));
                }
                Action::Forward(to, record) => {
                    self.in_transit.push((now + FORWARD_DELAY, to, record))
                }
                Action::StepDown | Action::RemoveSubmissions(_) => {}
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
        self.report.note_start(self.now, job);
        shard
            .events
            .push((now + TIME_STEP, Event::StartAnswered(key, start.task, start.run, reply)));
    }

    /// Samples waiting tasks, free capacity and tail latency twice a second.
    fn sample_workers(&mut self, steps_done: u64) {
        const SAMPLE_STEPS: u64 = 50;
        if !steps_done.is_multiple_of(SAMPLE_STEPS) {
            return;
        }
        let now = self.now;
        for shard in &self.shards {
            let sum = shard.owner.summary(now);
            self.report.waiting_long_running += sum.waiting_long_running;
            self.report.waiting_finite += sum.waiting;
            self.report.unusable_cpu += sum.unusable_cpu;
            self.report.free_cpu += sum.free_cpu;
            for worker in &shard.workers {
                let (serving_runs, over_target) = worker.count_serving(now);
                self.report.serving += serving_runs;
                self.report.over_target += over_target;
            }
        }
        self.report.samples += 1;
    }

    fn into_report(mut self) -> Report {
        self.report.given_up = self.callers.as_ref().map_or(0, |it| it.given_up);
        for it in &self.arrivals {
            let id = JobId(it.id);
            let state = self.shards.iter().find_map(|shard| {
                shard.ledger.job(id).filter(|it| !it.belongs_to_other_shard()).map(|it| it.state())
            });
            if it.spec.kind() != JobKind::LongRunning && it.at >= Instant::from_millis(WARM_UP_MS) {
                self.report.add_job(it, state == Some(JobState::Completed));
            }
        }
        self.report
    }
}

/// No records are removed while the load is played.
const LONGER_THAN_THE_LOAD: Duration = Duration::from_secs(3_600);

impl Shard {
    fn new(shard: ShardId, layout: Layout, rules: PlacementRules) -> Shard {
        let settings = Settings {
            lease: Duration::from_secs(5),
            lease_max: Duration::from_secs(10),
            shard,
            layout,
            rules,
            record_retention: LONGER_THAN_THE_LOAD,
        };
        let now = Instant::from_millis(0);
        let claimed = OwnershipStart {
            claim_sent_at: now,
            predecessors_ended: true,
            epoch: 1,
            vouched_epoch: None,
        };
        let owner = Owner::new(now, 0, settings, Ledger::default(), queue_config(), claimed);
        Shard {
            owner,
            workers: Vec::new(),
            worker_positions: Vec::new(),
            batch: None,
            events: Vec::new(),
            ledger: Ledger::default(),
        }
    }

    fn worker(&mut self, key: WorkerKey) -> &mut Worker {
        while self.worker_positions.len() <= key.0 as usize {
            let id =
                self.owner.worker(WorkerKey(self.worker_positions.len() as u32)).map(|it| &it.id.0);
            let worker_position =
                self.workers.iter().position(|it| Some(it.name.as_str()) == id.map(|it| &**it));
            self.worker_positions.push(worker_position.unwrap_or_default());
        }
        &mut self.workers[self.worker_positions[key.0 as usize]]
    }
}

fn capacity_of(cores: u32) -> Resources {
    let cpu_milli = cores * 1_000;
    let memory_mib = (f64::from(cpu_milli) * MIB_PER_MILLI) as u32;
    Resources { cpu_milli, memory_mib, accelerators: 0 }
}

fn queue_config() -> Arc<QueueConfig> {
    let services = vec![Service { name: "shop".into(), admission_control: false, connections: 64 }];
    Arc::new(QueueConfig {
        version: 1,
        queues: Vec::<Queue>::new(),
        services,
        body_bytes: 1 << 18,
        head_bytes: 1 << 14,
    })
}
