//! Records of the platform's log: bincode behind one byte of version.

use std::sync::Arc;

use bincode::{Decode, Encode, config};
use daisy_model::Resources;

use crate::{
    Copy, JobId, JobSpec, JobState, Layout, Load, Phase, Progress, ShardId, Sign, StepSpec,
    TaskState, Terms, Told,
};

/// The version that this build writes, and the newest that it reads.
const VERSION: u8 = 1;
/// The key of the newest [`Claim`].
pub const OWNER_KEY: &str = "owner";
/// The key of what the owner has learnt.
const LEARNT_KEY: &str = "learnt";
/// The key of the layout of shards.
const LAYOUT_KEY: &str = "layout";

/// Who owns the workers, from this record's offset on.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Claim {
    /// The claiming VM's name.
    pub vm: String,
    /// Drawn at random at each start of a process.
    pub process: u64,
    /// The fencing token: higher than all before.
    pub epoch: u64,
    /// The owner gives its workers up: anybody may claim at once.
    pub released: bool,
    /// No owner before this one can renew anything any more.
    pub settled: bool,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A caller submitted a job.
    Submitted(JobId, JobSpec),
    /// A caller cancelled a job.
    Cancelled(JobId),
    /// The owner's newest state of a job.
    Progress(JobId, Progress),
    /// An owner's claim or sign of life.
    Claim(Claim),
    /// What the owner has learnt of images that disturb each other.
    Learnt(Vec<Disturbance>),
    /// The owner of a job's own shard has handed it to another one.
    Delegated(JobId, ShardId),
    /// The state of a job that callers are told.
    State(JobId, Told),
    /// A sign of life of a shard's owner.
    Sign(Sign),
    /// How jobs and workers are divided among shards.
    Layout(Layout),
    /// What a shard's owner has learnt since its last such record.
    Observed(ShardId, Vec<Observations>),
}

/// How much best-effort tasks of one image take from serving tasks of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Disturbance {
    /// The image of the serving tasks.
    pub serving: Arc<str>,
    /// The image of the best-effort tasks.
    pub best_effort: Arc<str>,
    /// Thousandths of the headroom (target by tail latency) that are lost if best-effort tasks
    /// use all of a worker's processors.
    pub permille: u32,
}

/// What an owner has learnt of a serving image's neighbours within a second or so: weighted sums
/// that those of other owners can be added to.
#[derive(Debug, Clone, PartialEq)]
pub struct Observations {
    /// The image of the serving tasks.
    pub serving: Arc<str>,
    /// By image of best-effort tasks, share of a worker's processors times headroom lost.
    pub answers: Vec<(Arc<str>, f32)>,
    /// By two of them, share times share.
    pub products: Vec<(Arc<str>, Arc<str>, f32)>,
}

/// Why a record says nothing that can be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The key has no known form.
    #[error("key {0:?} is not known")]
    Key(String),
    /// The record comes from a newer build.
    #[error("version {0} is newer than {VERSION}")]
    Version(u8),
    /// The bytes do not decode.
    #[error("malformed: {0}")]
    Malformed(String),
}

/// The key and the value of a record.
pub fn encode(record: &Record) -> (String, Vec<u8>) {
    match record {
        Record::Submitted(id, spec) => (format!("job-{id}"), framed(JobWire::from(spec))),
        Record::Cancelled(id) => (format!("cancel-{id}"), framed(())),
        Record::Progress(id, progress) => {
            (format!("progress-{id}"), framed(ProgressWire::from(progress)))
        }
        Record::Claim(claim) => (OWNER_KEY.to_owned(), framed(claim.clone())),
        Record::Learnt(pairs) => (LEARNT_KEY.to_owned(), framed(LearntWire::from(&pairs[..]))),
        Record::Delegated(id, shard) => (format!("delegated-{id}"), framed(shard.0)),
        Record::State(id, told) => {
            (format!("state-{id}"), framed((state_number(told.state), told.shard.0)))
        }
        Record::Sign(sign) => (format!("sign-{}", sign.shard.0), framed(SignWire::from(sign))),
        Record::Observed(shard, seen) => {
            (format!("observed-{}", shard.0), framed(ObservedWire::from(&seen[..])))
        }
        Record::Layout(layout) => (LAYOUT_KEY.to_owned(), framed(layout.shards)),
    }
}

/// What the record under `key` says.
///
/// # Errors
///
/// If the key or the bytes are not of this build's making.
pub fn decode(key: &str, value: &[u8]) -> Result<Record, RecordError> {
    if key == OWNER_KEY {
        return unframed(value).map(Record::Claim);
    }
    if key == LEARNT_KEY {
        return unframed::<LearntWire>(value).map(|it| Record::Learnt(it.into()));
    }
    if key == LAYOUT_KEY {
        return match unframed(value)? {
            0 => Err(RecordError::Malformed("no shards".to_owned())),
            shards => Ok(Record::Layout(Layout { shards })),
        };
    }
    let unknown = || RecordError::Key(key.chars().take(40).collect());
    let (kind, id) = key.split_once('-').ok_or_else(unknown)?;
    if kind == "sign" {
        let shard = ShardId(id.parse().map_err(|_| unknown())?);
        return unframed::<SignWire>(value).map(|it| Record::Sign(it.of(shard)));
    }
    if kind == "observed" {
        let shard = ShardId(id.parse().map_err(|_| unknown())?);
        let wire: ObservedWire = unframed(value)?;
        return Ok(Record::Observed(shard, wire.try_into()?));
    }
    let id: JobId = id.parse().map_err(|_| unknown())?;
    match kind {
        "job" => {
            let wire: JobWire = unframed(value)?;
            let spec = JobSpec::from(wire).checked();
            let spec = spec.map_err(|e| RecordError::Malformed(e.to_string()))?;
            Ok(Record::Submitted(id, spec))
        }
        "cancel" => unframed(value).map(|()| Record::Cancelled(id)),
        "delegated" => unframed(value).map(|it| Record::Delegated(id, ShardId(it))),
        "state" => {
            let (state, shard) = unframed(value)?;
            let told = Told { state: state_of(state)?, shard: ShardId(shard) };
            Ok(Record::State(id, told))
        }
        "progress" => {
            let wire: ProgressWire = unframed(value)?;
            Ok(Record::Progress(id, wire.try_into()?))
        }
        _ => Err(unknown()),
    }
}

fn framed<T: Encode>(value: T) -> Vec<u8> {
    let mut buf = vec![VERSION];
    // Encoding into memory fails for no type that is used here.
    buf.extend(bincode::encode_to_vec(value, config::standard()).unwrap_or_default());
    buf
}

fn unframed<T: Decode<()>>(bytes: &[u8]) -> Result<T, RecordError> {
    let (version, body) =
        bytes.split_first().ok_or_else(|| RecordError::Malformed("empty".to_owned()))?;
    if *version > VERSION {
        return Err(RecordError::Version(*version));
    }
    // The limit keeps a corrupt length from allocating memory.
    let cfg = config::standard().with_limit::<{ 4 << 20 }>();
    let (value, len) =
        bincode::decode_from_slice(body, cfg).map_err(|e| RecordError::Malformed(e.to_string()))?;
    match len == body.len() {
        true => Ok(value),
        false => Err(RecordError::Malformed("trailing bytes".to_owned())),
    }
}

/// Images by their position in `images`, so that each pair needs numbers only.
#[derive(Debug, Encode, Decode)]
struct ObservedWire {
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

fn state_number(state: JobState) -> u8 {
    match state {
        JobState::Queued => 0,
        JobState::Running => 1,
        JobState::Cancelled => 2,
        JobState::Completed => 3,
        JobState::Failed => 4,
    }
}

fn state_of(number: u8) -> Result<JobState, RecordError> {
    match number {
        0 => Ok(JobState::Queued),
        1 => Ok(JobState::Running),
        2 => Ok(JobState::Cancelled),
        3 => Ok(JobState::Completed),
        4 => Ok(JobState::Failed),
        other => Err(RecordError::Malformed(format!("state {other}"))),
    }
}

#[derive(Debug, Encode, Decode)]
struct SignWire {
    claim: Claim,
    current: bool,
    pending: Vec<(String, u32)>,
    /// Capacity, then what lasting, other and best-effort tasks ask for.
    load: [u64; 4],
}

impl From<&Sign> for SignWire {
    fn from(sign: &Sign) -> SignWire {
        let Sign { claim, current, pending, load, .. } = sign.clone();
        let load = [load.capacity, load.lasting, load.once, load.best_effort];
        SignWire { claim, current, pending, load }
    }
}

impl SignWire {
    /// The sign of the shard that stands in the record's key.
    fn of(self, shard: ShardId) -> Sign {
        let SignWire { claim, current, pending, load } = self;
        let [capacity, lasting, once, best_effort] = load;
        let load = Load { capacity, lasting, once, best_effort };
        Sign { shard, claim, current, pending, load }
    }
}

#[derive(Debug, Encode, Decode)]
struct LearntWire {
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
struct JobWire {
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

impl From<JobWire> for JobSpec {
    fn from(wire: JobWire) -> JobSpec {
        JobSpec {
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
        }
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
struct ProgressWire {
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
            Ok(TaskState { done, runs, failures, checkpoint, copies })
        };
        let step = |it: Vec<TaskWire>| it.into_iter().map(task).collect::<Result<_, _>>();
        let steps = |it: Vec<Vec<TaskWire>>| it.into_iter().map(step).collect::<Result<_, _>>();
        let occurrences = wire.occurrences.into_iter().map(steps).collect::<Result<_, _>>()?;
        Ok(Progress { phase, begun: wire.begun, occurrences })
    }
}
