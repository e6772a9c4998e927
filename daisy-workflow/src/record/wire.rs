//! The encodings of records.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bincode::{Decode, Encode};
use daisy_admission::{CapacityPlan, CapacityReport, OfferedLoad};
use daisy_model::Resources;

use super::{Claim, ImageInterference, InterferenceSums, RecordError, Rejection};
use crate::{
    FREE_BLOCKS, IncomingTransfer, JobId, JobSpec, JobState, Load, OpenStart, OwnerHeartbeat,
    Phase, Progress, RerunTasks, ShardId, StepSpec, TaskCopy, TaskId, TaskState, Terms, Witness,
    Witnesses,
};

/// Names images by their position in `images`, so that each pair needs only numbers.
#[derive(Debug, Encode, Decode)]
pub(super) struct InterferenceSumsWire {
    images: Vec<String>,
    sums: Vec<ImageSumsWire>,
}

#[derive(Debug, Encode, Decode)]
struct ImageSumsWire {
    serving: u16,
    loss_sums: Vec<(u16, f32)>,
    share_products: Vec<(u16, u16, f32)>,
}

impl From<&[InterferenceSums]> for InterferenceSumsWire {
    fn from(observed: &[InterferenceSums]) -> InterferenceSumsWire {
        let mut images: Vec<String> = Vec::new();
        let mut number = |name: &Arc<str>| position_of(&mut images, name);
        let mut sums = Vec::with_capacity(observed.len());
        for it in observed {
            sums.push(ImageSumsWire {
                serving: number(&it.serving),
                loss_sums: it.loss_sums.iter().map(|(a, sum)| (number(a), *sum)).collect(),
                share_products: it
                    .share_products
                    .iter()
                    .map(|(a, b, sum)| (number(a), number(b), *sum))
                    .collect(),
            });
        }
        InterferenceSumsWire { images, sums }
    }
}

impl TryFrom<InterferenceSumsWire> for Vec<InterferenceSums> {
    type Error = RecordError;

    fn try_from(wire: InterferenceSumsWire) -> Result<Vec<InterferenceSums>, RecordError> {
        let images: Vec<Arc<str>> = wire.images.into_iter().map(Into::into).collect();
        let name = |at: u16| {
            let image = images.get(usize::from(at)).cloned();
            image.ok_or_else(|| RecordError::Malformed(format!("unknown image number {at}")))
        };
        let mut sums = Vec::with_capacity(wire.sums.len());
        for wire_sums in wire.sums {
            let all_finite = wire_sums.loss_sums.iter().all(|(_, it)| it.is_finite())
                && wire_sums.share_products.iter().all(|(.., it)| it.is_finite());
            if !all_finite {
                return Err(RecordError::Malformed("a sum that is not a finite number".to_owned()));
            }
            let loss_sum = |(a, sum)| Ok((name(a)?, sum));
            let share_product = |(a, b, sum)| Ok((name(a)?, name(b)?, sum));
            sums.push(InterferenceSums {
                serving: name(wire_sums.serving)?,
                loss_sums: wire_sums
                    .loss_sums
                    .into_iter()
                    .map(loss_sum)
                    .collect::<Result<_, _>>()?,
                share_products: wire_sums
                    .share_products
                    .into_iter()
                    .map(share_product)
                    .collect::<Result<_, _>>()?,
            });
        }
        Ok(sums)
    }
}

pub(super) fn state_to_number(state: JobState) -> u8 {
    match state {
        JobState::Queued => 0,
        JobState::Running => 1,
        JobState::Cancelled => 2,
        JobState::Completed => 3,
        JobState::Failed => 4,
    }
}

pub(super) fn state_from_number(number: u8) -> Result<JobState, RecordError> {
    match number {
        0 => Ok(JobState::Queued),
        1 => Ok(JobState::Running),
        2 => Ok(JobState::Cancelled),
        3 => Ok(JobState::Completed),
        4 => Ok(JobState::Failed),
        other => Err(RecordError::Malformed(format!("unknown job state {other}"))),
    }
}

/// A claim. It is also embedded in heartbeats, so a new field of claims must be added at the end of
/// the records instead.
#[derive(Debug, Encode, Decode)]
pub(super) struct ClaimWire {
    vm: String,
    process: u64,
    epoch: u64,
    released: bool,
    predecessors_expired: bool,
}

impl From<&Claim> for ClaimWire {
    fn from(claim: &Claim) -> ClaimWire {
        let Claim { vm, process, epoch, released, predecessors_expired } = claim.clone();
        ClaimWire { vm, process, epoch, released, predecessors_expired }
    }
}

impl From<ClaimWire> for Claim {
    fn from(wire: ClaimWire) -> Claim {
        let ClaimWire { vm, process, epoch, released, predecessors_expired } = wire;
        Claim { vm, process, epoch, released, predecessors_expired }
    }
}

/// The part of a heartbeat that all builds write; what follows it differs between builds.
#[derive(Debug, Encode, Decode)]
pub(super) struct HeartbeatWire {
    claim: ClaimWire,
    is_caught_up: bool,
    pending: Vec<(String, u32)>,
    /// The capacity, then the demand of long-running, finite and best-effort tasks.
    load: [u64; 4],
}

/// The largest free blocks of workers: thousandths of a core, MiB, accelerators.
#[derive(Debug, Default, Encode, Decode)]
pub(super) struct FreeBlocksWire([[u32; 3]; FREE_BLOCKS]);

impl From<&OwnerHeartbeat> for FreeBlocksWire {
    fn from(heartbeat: &OwnerHeartbeat) -> FreeBlocksWire {
        FreeBlocksWire(
            heartbeat.load.free_blocks.map(|it| [it.cpu_milli, it.memory_mib, it.accelerators]),
        )
    }
}

/// The capacity reports by service: its name, then the offered load and its variance, the spare and
/// the lacking capacity, what finite work has, and what is freed each second.
#[derive(Debug, Default, Encode, Decode)]
pub(super) struct CapacityWire(Vec<(String, [u64; 6])>);

impl From<&OwnerHeartbeat> for CapacityWire {
    fn from(heartbeat: &OwnerHeartbeat) -> CapacityWire {
        let report = |it: &CapacityReport| {
            let OfferedLoad { cpu_milli, variance } = it.offered;
            let CapacityPlan { spare_cpu, short_cpu, finite_cpu } = it.plan;
            let figures =
                [cpu_milli, variance, spare_cpu, short_cpu, finite_cpu, it.freed_cpu_per_s];
            (it.service.to_string(), figures)
        };
        CapacityWire(heartbeat.capacity.iter().map(report).collect())
    }
}

impl From<CapacityWire> for Vec<CapacityReport> {
    fn from(wire: CapacityWire) -> Vec<CapacityReport> {
        let report = |(service, figures): (String, [u64; 6])| {
            let [cpu_milli, variance, spare_cpu, short_cpu, finite_cpu, freed_cpu_per_s] = figures;
            CapacityReport {
                service: service.into(),
                offered: OfferedLoad { cpu_milli, variance },
                plan: CapacityPlan { spare_cpu, short_cpu, finite_cpu },
                freed_cpu_per_s,
            }
        };
        wire.0.into_iter().map(report).collect()
    }
}

/// A rejection: the service, what the job would reserve, and when the caller should return, in
/// milliseconds.
#[derive(Debug, Encode, Decode)]
pub(super) struct RejectionWire(String, u64, u64);

impl From<&Rejection> for RejectionWire {
    fn from(it: &Rejection) -> RejectionWire {
        let retry_after_ms = u64::try_from(it.retry_after.as_millis()).unwrap_or(u64::MAX);
        RejectionWire(it.service.to_string(), it.cpu_milli, retry_after_ms)
    }
}

impl From<RejectionWire> for Rejection {
    fn from(RejectionWire(service, cpu_milli, retry_after_ms): RejectionWire) -> Rejection {
        let retry_after = Duration::from_millis(retry_after_ms);
        Rejection { service: service.into(), cpu_milli, retry_after }
    }
}

impl From<&OwnerHeartbeat> for HeartbeatWire {
    fn from(heartbeat: &OwnerHeartbeat) -> HeartbeatWire {
        let Load { capacity, long_running, finite, best_effort, .. } = heartbeat.load;
        HeartbeatWire {
            claim: ClaimWire::from(&heartbeat.claim),
            is_caught_up: heartbeat.is_caught_up,
            pending: heartbeat.pending.clone(),
            load: [capacity, long_running, finite, best_effort],
        }
    }
}

impl HeartbeatWire {
    /// Returns the heartbeat for the shard named by the record's key.
    pub(super) fn into_heartbeat(
        self,
        shard: ShardId,
        free_blocks: FreeBlocksWire,
        capacity: CapacityWire,
    ) -> OwnerHeartbeat {
        let HeartbeatWire { claim, is_caught_up, pending, load } = self;
        let [cpu_capacity, long_running, finite, best_effort] = load;
        let free_blocks = free_blocks.0.map(|[cpu_milli, memory_mib, accelerators]| Resources {
            cpu_milli,
            memory_mib,
            accelerators,
        });
        let capacity: Vec<CapacityReport> = capacity.into();
        let plan = Load::sum_plans(&capacity);
        let load =
            Load { capacity: cpu_capacity, long_running, finite, best_effort, plan, free_blocks };
        OwnerHeartbeat { shard, claim: claim.into(), is_caught_up, pending, load, capacity }
    }
}

/// The pairs as earlier builds wrote them: the serving image, the best-effort image, and the lost
/// headroom in thousandths. This build writes none, and [`LearnedInterferenceWire`] after them.
#[derive(Debug, Default, Encode, Decode)]
pub(super) struct NamedPairsWire(Vec<(String, String, u32)>);

/// Names each image once; pairs have the positions of their images.
#[derive(Debug, Default, Encode, Decode)]
pub(super) struct LearnedInterferenceWire {
    serving: Vec<String>,
    best_effort: Vec<String>,
    /// The serving image, the best-effort image, and the lost headroom in thousandths.
    pairs: Vec<(u16, u16, u32)>,
}

/// Returns the position of `name` in `names`, where it is added if it is new.
fn position_of(names: &mut Vec<String>, name: &str) -> u16 {
    match names.iter().position(|it| it == name) {
        Some(at) => at as u16,
        None => {
            names.push(name.to_owned());
            (names.len() - 1) as u16
        }
    }
}

impl From<&[ImageInterference]> for LearnedInterferenceWire {
    fn from(pairs: &[ImageInterference]) -> LearnedInterferenceWire {
        let mut wire = LearnedInterferenceWire::default();
        for it in pairs {
            let serving = position_of(&mut wire.serving, &it.serving);
            let best_effort = position_of(&mut wire.best_effort, &it.best_effort);
            wire.pairs.push((serving, best_effort, it.permille));
        }
        wire
    }
}

impl From<NamedPairsWire> for Vec<ImageInterference> {
    fn from(NamedPairsWire(pairs): NamedPairsWire) -> Vec<ImageInterference> {
        let pair = |(serving, best_effort, permille): (String, String, u32)| ImageInterference {
            serving: serving.into(),
            best_effort: best_effort.into(),
            permille,
        };
        pairs.into_iter().map(pair).collect()
    }
}

impl TryFrom<LearnedInterferenceWire> for Vec<ImageInterference> {
    type Error = RecordError;

    fn try_from(wire: LearnedInterferenceWire) -> Result<Vec<ImageInterference>, RecordError> {
        let shared = |names: Vec<String>| names.into_iter().map(Arc::from).collect();
        let serving: Vec<Arc<str>> = shared(wire.serving);
        let best_effort: Vec<Arc<str>> = shared(wire.best_effort);
        let name = |names: &[Arc<str>], at: u16| {
            let name = names.get(usize::from(at)).cloned();
            name.ok_or_else(|| RecordError::Malformed(format!("unknown image number {at}")))
        };
        let pair = |(s, b, permille)| {
            let (serving, best_effort) = (name(&serving, s)?, name(&best_effort, b)?);
            Ok(ImageInterference { serving, best_effort, permille })
        };
        wire.pairs.into_iter().map(pair).collect()
    }
}

#[derive(Debug, Encode, Decode)]
pub(super) struct WitnessesWire {
    accepted_by_epoch: u64,
    /// The worker, and the start of its incarnation in milliseconds since 1970.
    workers: Vec<(String, u64)>,
}

impl From<&Witnesses> for WitnessesWire {
    fn from(witnesses: &Witnesses) -> WitnessesWire {
        let workers =
            witnesses.workers.iter().map(|it| (it.worker.0.to_string(), it.started_at_ms));
        WitnessesWire { accepted_by_epoch: witnesses.accepted_by_epoch, workers: workers.collect() }
    }
}

/// The witnesses' addresses in the order of [`WitnessesWire::workers`].
#[derive(Debug, Default, Encode, Decode)]
pub(super) struct WitnessAddressesWire(Vec<Option<SocketAddr>>);

impl From<&Witnesses> for WitnessAddressesWire {
    fn from(witnesses: &Witnesses) -> WitnessAddressesWire {
        WitnessAddressesWire(witnesses.workers.iter().map(|it| it.address).collect())
    }
}

impl From<(WitnessesWire, WitnessAddressesWire)> for Witnesses {
    fn from((wire, addresses): (WitnessesWire, WitnessAddressesWire)) -> Witnesses {
        let addresses = addresses.0.into_iter().chain(std::iter::repeat(None));
        let witness = |((worker, started_at_ms), address): ((String, u64), _)| Witness {
            worker: worker.as_str().into(),
            started_at_ms,
            address,
        };
        let mut workers: Vec<Witness> =
            wire.workers.into_iter().zip(addresses).map(witness).collect();
        workers.sort_unstable_by(|a, b| a.worker.cmp(&b.worker));
        Witnesses { accepted_by_epoch: wire.accepted_by_epoch, workers }
    }
}

/// The job, the occurrence, the step, the index, the number of the run, and whether its order was
/// sent more than once.
#[derive(Debug, Encode, Decode)]
pub(super) struct OpenStartsWire(Vec<(u64, u32, u16, u32, u32, bool)>);

impl From<&[OpenStart]> for OpenStartsWire {
    fn from(runs: &[OpenStart]) -> OpenStartsWire {
        let wire = |it: &OpenStart| {
            let TaskId { job, occurrence, step, index } = it.task;
            (job.0, occurrence, step, index, it.run, it.resent)
        };
        OpenStartsWire(runs.iter().map(wire).collect())
    }
}

impl From<OpenStartsWire> for Vec<OpenStart> {
    fn from(wire: OpenStartsWire) -> Vec<OpenStart> {
        let open_start = |(job, occurrence, step, index, run, resent)| OpenStart {
            task: TaskId { job: JobId(job), occurrence, step, index },
            run,
            resent,
        };
        wire.0.into_iter().map(open_start).collect()
    }
}

#[derive(Debug, Encode, Decode)]
pub(super) struct JobWire {
    queue: String,
    service: String,
    priority: i32,
    max_attempts: u32,
    slack_permille: u32,
    target_latency_ms: u32,
    text: String,
    accepted_ms: u64,
    first_due_ms: u64,
    interval_ms: u64,
    occurrences: u32,
    timed: bool,
    steps: Vec<StepWire>,
}

#[derive(Debug, Encode, Decode)]
struct StepWire {
    count: u32,
    cpu_milli: u32,
    memory_mib: u32,
    accelerators: u32,
    estimate_ms: u32,
    depends_on: Vec<u16>,
    checkpoints: bool,
    gang: bool,
    same_rack: bool,
    required_label: Option<String>,
    data_rack: Option<String>,
    max_per_worker: u32,
    speculative: bool,
    long_running: bool,
    image: Option<String>,
    target_ms: u32,
    best_effort: bool,
    max_unavailable: Option<u32>,
}

impl From<&JobSpec> for JobWire {
    fn from(spec: &JobSpec) -> JobWire {
        let terms = &spec.terms;
        JobWire {
            queue: terms.queue.to_string(),
            service: terms.service.to_string(),
            priority: terms.priority,
            max_attempts: terms.max_attempts,
            slack_permille: terms.slack_permille,
            target_latency_ms: terms.target_latency_ms,
            text: spec.text.to_string(),
            accepted_ms: spec.accepted_ms,
            first_due_ms: spec.first_due_ms,
            interval_ms: spec.interval_ms,
            occurrences: spec.occurrences,
            timed: spec.timed,
            steps: spec.steps.iter().map(StepWire::from).collect(),
        }
    }
}

impl TryFrom<JobWire> for JobSpec {
    type Error = RecordError;

    fn try_from(wire: JobWire) -> Result<JobSpec, RecordError> {
        let spec = JobSpec {
            terms: Terms {
                queue: wire.queue.into(),
                service: wire.service.into(),
                priority: wire.priority,
                max_attempts: wire.max_attempts,
                slack_permille: wire.slack_permille,
                target_latency_ms: wire.target_latency_ms,
            },
            text: wire.text.into(),
            accepted_ms: wire.accepted_ms,
            first_due_ms: wire.first_due_ms,
            interval_ms: wire.interval_ms,
            occurrences: wire.occurrences,
            timed: wire.timed,
            steps: wire.steps.into_iter().map(StepSpec::from).collect(),
        };
        spec.validated().map_err(|e| RecordError::Malformed(e.to_string()))
    }
}

#[derive(Debug, Encode, Decode)]
pub(super) struct TransferWire {
    spec: JobWire,
    runs: u32,
    failures: u32,
    checkpoint: String,
}

impl From<&IncomingTransfer> for TransferWire {
    fn from(it: &IncomingTransfer) -> TransferWire {
        TransferWire {
            spec: JobWire::from(&it.spec),
            runs: it.runs,
            failures: it.failures,
            checkpoint: it.checkpoint.clone(),
        }
    }
}

impl TransferWire {
    /// Returns the transfer for the task and the number in the record's key.
    pub(super) fn into_transfer(
        self,
        id: TaskId,
        number: u32,
    ) -> Result<IncomingTransfer, RecordError> {
        let TransferWire { spec, runs, failures, checkpoint } = self;
        let spec = JobSpec::try_from(spec)?;
        if !spec.has_task(id) {
            return Err(RecordError::Malformed(format!("the job has no task {id}")));
        }
        Ok(IncomingTransfer { number, spec, runs, failures, checkpoint })
    }
}

impl From<&StepSpec> for StepWire {
    fn from(step: &StepSpec) -> StepWire {
        let text = |it: &Option<Arc<str>>| it.as_ref().map(ToString::to_string);
        StepWire {
            count: step.count,
            cpu_milli: step.need.cpu_milli,
            memory_mib: step.need.memory_mib,
            accelerators: step.need.accelerators,
            estimate_ms: step.estimate_ms,
            depends_on: step.depends_on.clone(),
            checkpoints: step.checkpoints,
            gang: step.gang,
            same_rack: step.same_rack,
            required_label: text(&step.required_label),
            data_rack: text(&step.data_rack),
            max_per_worker: step.max_per_worker,
            speculative: step.speculative,
            long_running: step.long_running,
            image: text(&step.image),
            target_ms: step.target_ms,
            best_effort: step.best_effort,
            max_unavailable: step.max_unavailable,
        }
    }
}

impl From<StepWire> for StepSpec {
    fn from(wire: StepWire) -> StepSpec {
        StepSpec {
            count: wire.count,
            need: Resources {
                cpu_milli: wire.cpu_milli,
                memory_mib: wire.memory_mib,
                accelerators: wire.accelerators,
            },
            estimate_ms: wire.estimate_ms,
            depends_on: wire.depends_on,
            checkpoints: wire.checkpoints,
            gang: wire.gang,
            same_rack: wire.same_rack,
            required_label: wire.required_label.map(Into::into),
            data_rack: wire.data_rack.map(Into::into),
            max_per_worker: wire.max_per_worker,
            speculative: wire.speculative,
            long_running: wire.long_running,
            image: wire.image.map(Into::into),
            target_ms: wire.target_ms,
            best_effort: wire.best_effort,
            max_unavailable: wire.max_unavailable,
        }
    }
}

#[derive(Debug, Encode, Decode)]
pub(super) struct ProgressWire {
    phase: u8,
    has_started: bool,
    /// The names of workers, so that each copy needs only a number.
    workers: Vec<String>,
    occurrences: Vec<Vec<Vec<TaskWire>>>,
}

#[derive(Debug, Encode, Decode)]
struct TaskWire {
    done: bool,
    runs: u32,
    failures: u32,
    checkpoint: String,
    copies: Vec<CopyWire>,
}

/// What has happened to the tasks of a job, besides their states. Follows [`ProgressWire`] once a
/// start is recorded; earlier builds skip it.
#[derive(Debug, Encode, Decode)]
pub(super) struct TaskEventsWire {
    has_begun: bool,
    /// The failed runs of tasks, in rows of successive tasks of a step with the same ones: the
    /// occurrence, the step, the index of the first task, the number of tasks, and the numbers of
    /// the runs.
    failed_runs: Vec<(u32, u16, u32, u32, Vec<u32>)>,
}

impl TaskEventsWire {
    /// Adds the events to the progress that they were recorded with.
    pub(super) fn add_to(self, progress: &mut Progress) {
        progress.has_started = self.has_begun;
        for (occurrence, step, first, count, runs) in self.failed_runs {
            let steps = progress.occurrences.get_mut(occurrence as usize);
            let tasks = steps.and_then(|it| it.get_mut(usize::from(step)));
            let tasks = tasks.into_iter().flatten().skip(first as usize).take(count as usize);
            tasks.for_each(|it| it.failed_runs.clone_from(&runs));
        }
    }
}

impl From<&Progress> for TaskEventsWire {
    fn from(progress: &Progress) -> TaskEventsWire {
        let mut failed_runs = Vec::new();
        // The tasks of an ended job are not recorded.
        let active = (progress.phase == Phase::Active).then_some(&progress.occurrences);
        for (occurrence, steps) in (0u32..).zip(active.into_iter().flatten()) {
            for (step, tasks) in (0u16..).zip(steps) {
                let mut first = 0;
                for same in tasks.chunk_by(|a, b| a.failed_runs == b.failed_runs) {
                    let (count, runs) = (same.len() as u32, &same[0].failed_runs);
                    if !runs.is_empty() {
                        failed_runs.push((occurrence, step, first, count, runs.clone()));
                    }
                    first += count;
                }
            }
        }
        TaskEventsWire { has_begun: progress.has_started, failed_runs }
    }
}

/// Successive tasks of a step each: the occurrence, the step, the index of the first task, the number
/// of tasks, and the number of the last run of each.
#[derive(Debug, Encode, Decode)]
pub(super) struct RerunsWire(Vec<(u32, u16, u32, u32, u32)>);

impl From<&[RerunTasks]> for RerunsWire {
    fn from(tasks: &[RerunTasks]) -> RerunsWire {
        let wire = |it: &RerunTasks| (it.occurrence, it.step, it.first, it.count, it.runs);
        RerunsWire(tasks.iter().map(wire).collect())
    }
}

impl From<RerunsWire> for Vec<RerunTasks> {
    fn from(wire: RerunsWire) -> Vec<RerunTasks> {
        let tasks = |(occurrence, step, first, count, runs)| RerunTasks {
            occurrence,
            step,
            first,
            count,
            runs,
        };
        wire.0.into_iter().map(tasks).collect()
    }
}

#[derive(Debug, Encode, Decode)]
struct CopyWire {
    run: u32,
    worker: u16,
}

impl From<&Progress> for ProgressWire {
    fn from(progress: &Progress) -> ProgressWire {
        let mut workers: Vec<String> = Vec::new();
        let mut number = |name: &str| position_of(&mut workers, name);
        let mut task = |it: &TaskState| TaskWire {
            done: it.done,
            runs: it.runs,
            failures: it.failures,
            checkpoint: it.checkpoint.clone(),
            copies: it
                .copies
                .iter()
                .map(|copy| CopyWire { run: copy.run, worker: number(&copy.worker.0) })
                .collect(),
        };
        // Of the tasks of an ended job, only the reruns are read again, from a record of their own.
        let occurrences = match progress.phase {
            Phase::Active => progress
                .occurrences
                .iter()
                .map(|steps| steps.iter().map(|it| it.iter().map(&mut task).collect()).collect())
                .collect(),
            Phase::Completed | Phase::Failed => Vec::new(),
        };
        let phase = match progress.phase {
            Phase::Active => 0,
            Phase::Completed => 1,
            Phase::Failed => 2,
        };
        let has_started = progress.may_have_started();
        ProgressWire { phase, has_started, workers, occurrences }
    }
}

impl TryFrom<ProgressWire> for Progress {
    type Error = RecordError;

    fn try_from(wire: ProgressWire) -> Result<Progress, RecordError> {
        let phase = match wire.phase {
            0 => Phase::Active,
            1 => Phase::Completed,
            2 => Phase::Failed,
            other => return Err(RecordError::Malformed(format!("unknown phase {other}"))),
        };
        let workers: Vec<crate::WorkerId> =
            wire.workers.iter().map(|it| it.as_str().into()).collect();
        let copy = |it: CopyWire| match workers.get(usize::from(it.worker)) {
            Some(worker) => Ok(TaskCopy { run: it.run, worker: worker.clone() }),
            None => Err(RecordError::Malformed(format!("unknown worker number {}", it.worker))),
        };
        let task = |it: TaskWire| {
            let copies = it.copies.into_iter().map(copy).collect::<Result<_, _>>()?;
            let TaskWire { done, runs, failures, checkpoint, .. } = it;
            let state = TaskState { done, runs, failures, checkpoint, ..TaskState::default() };
            Ok(TaskState { copies, ..state })
        };
        let step = |it: Vec<TaskWire>| it.into_iter().map(task).collect::<Result<_, _>>();
        let steps = |it: Vec<Vec<TaskWire>>| it.into_iter().map(step).collect::<Result<_, _>>();
        let occurrences = wire.occurrences.into_iter().map(steps).collect::<Result<_, _>>()?;
        // Earlier builds recorded only this; it holds unless events follow.
        Ok(Progress { phase, has_started: wire.has_started, occurrences })
    }
}
