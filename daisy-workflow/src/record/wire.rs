//! The forms of records that go over the wire.

use std::sync::Arc;

use bincode::{Decode, Encode};
use daisy_model::Resources;

use super::{Claim, Disturbance, Observations, RecordError};
use crate::{
    Copy, Handover, JobSpec, JobState, Load, PIECES, Phase, Progress, ShardId, Sign, StepSpec,
    TaskId, TaskState, Terms, Witness, Witnesses,
};

/// Images by their position in `images`, so that each pair needs numbers only.
#[derive(Debug, Encode, Decode)]
pub(super) struct ObservedWire {
    images: Vec<String>,
    fits: Vec<FitWire>,
}

#[derive(Debug, Encode, Decode)]
struct FitWire {
    serving: u16,
    answers: Vec<(u16, f32)>,
    products: Vec<(u16, u16, f32)>,
}

impl From<&[Observations]> for ObservedWire {
    fn from(seen: &[Observations]) -> ObservedWire {
        let mut images: Vec<String> = Vec::new();
        let mut number = |name: &Arc<str>| match images.iter().position(|it| **it == **name) {
            Some(at) => at as u16,
            None => {
                images.push(name.to_string());
                (images.len() - 1) as u16
            }
        };
        let mut fits = Vec::with_capacity(seen.len());
        for it in seen {
            fits.push(FitWire {
                serving: number(&it.serving),
                answers: it.answers.iter().map(|(a, sum)| (number(a), *sum)).collect(),
                products: it
                    .products
                    .iter()
                    .map(|(a, b, sum)| (number(a), number(b), *sum))
                    .collect(),
            });
        }
        ObservedWire { images, fits }
    }
}

impl TryFrom<ObservedWire> for Vec<Observations> {
    type Error = RecordError;

    fn try_from(wire: ObservedWire) -> Result<Vec<Observations>, RecordError> {
        let images: Vec<Arc<str>> = wire.images.into_iter().map(Into::into).collect();
        let name = |at: u16| {
            let image = images.get(usize::from(at)).cloned();
            image.ok_or_else(|| RecordError::Malformed(format!("image {at}")))
        };
        let mut seen = Vec::with_capacity(wire.fits.len());
        for fit in wire.fits {
            let finite = fit.answers.iter().all(|(_, it)| it.is_finite())
                && fit.products.iter().all(|(.., it)| it.is_finite());
            if !finite {
                return Err(RecordError::Malformed("a sum that is no number".to_owned()));
            }
            let answer = |(a, sum)| Ok((name(a)?, sum));
            let product = |(a, b, sum)| Ok((name(a)?, name(b)?, sum));
            seen.push(Observations {
                serving: name(fit.serving)?,
                answers: fit.answers.into_iter().map(answer).collect::<Result<_, _>>()?,
                products: fit.products.into_iter().map(product).collect::<Result<_, _>>()?,
            });
        }
        Ok(seen)
    }
}

pub(super) fn state_number(state: JobState) -> u8 {
    match state {
        JobState::Queued => 0,
        JobState::Running => 1,
        JobState::Cancelled => 2,
        JobState::Completed => 3,
        JobState::Failed => 4,
    }
}

pub(super) fn state_of(number: u8) -> Result<JobState, RecordError> {
    match number {
        0 => Ok(JobState::Queued),
        1 => Ok(JobState::Running),
        2 => Ok(JobState::Cancelled),
        3 => Ok(JobState::Completed),
        4 => Ok(JobState::Failed),
        other => Err(RecordError::Malformed(format!("state {other}"))),
    }
}

/// Stands within signs of life: what is added to claims goes to their ends instead.
#[derive(Debug, Encode, Decode)]
pub(super) struct ClaimWire {
    vm: String,
    process: u64,
    epoch: u64,
    released: bool,
    settled: bool,
}

impl From<&Claim> for ClaimWire {
    fn from(claim: &Claim) -> ClaimWire {
        let Claim { vm, process, epoch, released, settled } = claim.clone();
        ClaimWire { vm, process, epoch, released, settled }
    }
}

impl From<ClaimWire> for Claim {
    fn from(wire: ClaimWire) -> Claim {
        let ClaimWire { vm, process, epoch, released, settled } = wire;
        Claim { vm, process, epoch, released, settled }
    }
}

/// What all builds write of a sign of life; what follows it differs.
#[derive(Debug, Encode, Decode)]
pub(super) struct SignWire {
    claim: ClaimWire,
    current: bool,
    pending: Vec<(String, u32)>,
    /// Capacity, then what lasting, other and best-effort tasks ask for.
    load: [u64; 4],
}

/// The largest free pieces of workers: thousandths of a core, MiB, accelerators.
#[derive(Debug, Default, Encode, Decode)]
pub(super) struct PiecesWire([[u32; 3]; PIECES]);

impl From<&Sign> for PiecesWire {
    fn from(sign: &Sign) -> PiecesWire {
        PiecesWire(sign.load.pieces.map(|it| [it.cpu_milli, it.memory_mib, it.accelerators]))
    }
}

impl From<&Sign> for SignWire {
    fn from(sign: &Sign) -> SignWire {
        let Load { capacity, lasting, once, best_effort, .. } = sign.load;
        SignWire {
            claim: ClaimWire::from(&sign.claim),
            current: sign.current,
            pending: sign.pending.clone(),
            load: [capacity, lasting, once, best_effort],
        }
    }
}

impl SignWire {
    /// The sign of the shard that stands in the record's key.
    pub(super) fn of(self, shard: ShardId, pieces: PiecesWire) -> Sign {
        let SignWire { claim, current, pending, load } = self;
        let [capacity, lasting, once, best_effort] = load;
        let pieces = pieces.0.map(|[cpu_milli, memory_mib, accelerators]| Resources {
            cpu_milli,
            memory_mib,
            accelerators,
        });
        let load = Load { capacity, lasting, once, best_effort, pieces };
        Sign { shard, claim: claim.into(), current, pending, load }
    }
}

#[derive(Debug, Encode, Decode)]
pub(super) struct LearntWire {
    /// Serving image, best-effort image, thousandths.
    pairs: Vec<(String, String, u32)>,
}

impl From<&[Disturbance]> for LearntWire {
    fn from(pairs: &[Disturbance]) -> LearntWire {
        let wire =
            |it: &Disturbance| (it.serving.to_string(), it.best_effort.to_string(), it.permille);
        LearntWire { pairs: pairs.iter().map(wire).collect() }
    }
}

impl From<LearntWire> for Vec<Disturbance> {
    fn from(wire: LearntWire) -> Vec<Disturbance> {
        let pair = |(serving, best_effort, permille): (String, String, u32)| Disturbance {
            serving: serving.into(),
            best_effort: best_effort.into(),
            permille,
        };
        wire.pairs.into_iter().map(pair).collect()
    }
}

#[derive(Debug, Encode, Decode)]
pub(super) struct WitnessesWire {
    accepted_by_epoch: u64,
    /// Worker, start of its incarnation in milliseconds since 1970.
    workers: Vec<(String, u64)>,
}

impl From<&Witnesses> for WitnessesWire {
    fn from(witnesses: &Witnesses) -> WitnessesWire {
        let workers =
            witnesses.workers.iter().map(|it| (it.worker.0.to_string(), it.started_at_ms));
        WitnessesWire { accepted_by_epoch: witnesses.accepted_by_epoch, workers: workers.collect() }
    }
}

impl From<WitnessesWire> for Witnesses {
    fn from(wire: WitnessesWire) -> Witnesses {
        let witness = |(worker, started_at_ms): (String, u64)| Witness {
            worker: worker.as_str().into(),
            started_at_ms,
        };
        let mut workers: Vec<Witness> = wire.workers.into_iter().map(witness).collect();
        workers.sort_unstable_by(|a, b| a.worker.cmp(&b.worker));
        Witnesses { accepted_by_epoch: wire.accepted_by_epoch, workers }
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
        spec.checked().map_err(|e| RecordError::Malformed(e.to_string()))
    }
}

#[derive(Debug, Encode, Decode)]
pub(super) struct HandoverWire {
    spec: JobWire,
    runs: u32,
    failures: u32,
    checkpoint: String,
}

impl From<&Handover> for HandoverWire {
    fn from(it: &Handover) -> HandoverWire {
        HandoverWire {
            spec: JobWire::from(&it.spec),
            runs: it.runs,
            failures: it.failures,
            checkpoint: it.checkpoint.clone(),
        }
    }
}

impl HandoverWire {
    /// The handover of the task and with the number that stand in the record's key.
    pub(super) fn of(self, id: TaskId, hop: u32) -> Result<Handover, RecordError> {
        let HandoverWire { spec, runs, failures, checkpoint } = self;
        let spec = JobSpec::try_from(spec)?;
        if !spec.has_task(id) {
            return Err(RecordError::Malformed(format!("no task {id}")));
        }
        Ok(Handover { hop, spec, runs, failures, checkpoint })
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
    begun: bool,
    /// Names of workers, so that each copy needs a number only.
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

#[derive(Debug, Encode, Decode)]
struct CopyWire {
    run: u32,
    worker: u16,
}

impl From<&Progress> for ProgressWire {
    fn from(progress: &Progress) -> ProgressWire {
        let mut workers: Vec<String> = Vec::new();
        let mut number = |name: &str| match workers.iter().position(|it| it == name) {
            Some(at) => at as u16,
            None => {
                workers.push(name.to_owned());
                (workers.len() - 1) as u16
            }
        };
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
        // An ended job's tasks are never looked at again.
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
        ProgressWire { phase, begun: progress.begun, workers, occurrences }
    }
}

impl TryFrom<ProgressWire> for Progress {
    type Error = RecordError;

    fn try_from(wire: ProgressWire) -> Result<Progress, RecordError> {
        let phase = match wire.phase {
            0 => Phase::Active,
            1 => Phase::Completed,
            2 => Phase::Failed,
            other => return Err(RecordError::Malformed(format!("phase {other}"))),
        };
        let workers: Vec<crate::WorkerId> =
            wire.workers.iter().map(|it| it.as_str().into()).collect();
        let copy = |it: CopyWire| match workers.get(usize::from(it.worker)) {
            Some(worker) => Ok(Copy { run: it.run, worker: worker.clone() }),
            None => Err(RecordError::Malformed(format!("worker {}", it.worker))),
        };
        let task = |it: TaskWire| {
            let copies = it.copies.into_iter().map(copy).collect::<Result<_, _>>()?;
            let TaskWire { done, runs, failures, checkpoint, .. } = it;
            Ok(TaskState { done, runs, failures, checkpoint, copies, elsewhere: false })
        };
        let step = |it: Vec<TaskWire>| it.into_iter().map(task).collect::<Result<_, _>>();
        let steps = |it: Vec<Vec<TaskWire>>| it.into_iter().map(step).collect::<Result<_, _>>();
        let occurrences = wire.occurrences.into_iter().map(steps).collect::<Result<_, _>>()?;
        Ok(Progress { phase, begun: wire.begun, occurrences })
    }
}
