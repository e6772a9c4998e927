//! Which shard runs a job: its own, or one that has more room.
//!
//! A job's id names the shard that answers for it. Jobs that last differ much in size and stay for
//! long, so that shards drawn by id alone fill unevenly: at four fifths of the processors reserved,
//! some had no room left while others had a third free.

use std::time::Duration;

use daisy_model::{Instant, Resources, SortedMap};

use crate::{JobKind, JobSpec, ShardId, StepSpec};

/// Free pieces of workers that a shard tells of: more tasks than find no room in the time in
/// which loads are told anew.
pub const PIECES: usize = 16;

/// What a shard has and what is asked of it, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Processors of usable workers.
    pub capacity: u64,
    /// Reserved by tasks that last, running or waiting.
    pub lasting: u64,
    /// Reserved by tasks that end by themselves, running or waiting.
    pub once: u64,
    /// What best-effort tasks could use, running or waiting.
    pub best_effort: u64,
    /// What is left of a worker for tasks that last once all others have ended, of the workers with
    /// most, the largest first: for such a task, a worker is kept until they have.
    pub pieces: [Resources; PIECES],
}

/// What a job adds to the load of its shard while its widest step runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    kind: JobKind,
    cpu: u64,
}

impl Demand {
    /// The demand of one task of a step that lasts.
    pub fn of_lasting(step: &StepSpec) -> Demand {
        Demand { kind: JobKind::Lasting, cpu: u64::from(step.need.cpu_milli) }
    }

    /// The demand of a job.
    pub fn of(spec: &JobSpec) -> Demand {
        let cpu = |it: &StepSpec| u64::from(it.count) * u64::from(it.need.cpu_milli);
        let widest = spec.steps.iter().map(cpu).max().unwrap_or_default();
        let kind = spec.kind();
        Demand { kind, cpu: widest }
    }
}

impl Load {
    /// Keeps the first of these pieces.
    pub fn set_pieces(&mut self, mut pieces: Vec<Resources>) {
        pieces.resize(PIECES, Resources::ZERO);
        self.pieces.copy_from_slice(&pieces);
    }

    /// Tasks that last, need this much of one worker and find room in time, as far as the pieces
    /// tell.
    fn rooms(&self, need: Resources) -> u64 {
        self.pieces.iter().map(|it| u64::from(it.count_fitting(need))).sum()
    }

    /// The load with a job more.
    fn with(self, demand: Demand) -> Load {
        let mut load = self;
        match demand.kind {
            JobKind::Lasting => load.lasting += demand.cpu,
            JobKind::Once => load.once += demand.cpu,
            JobKind::BestEffort => load.best_effort += demand.cpu,
        }
        load
    }

    /// How full the shard is for jobs of a kind, 1 for full.
    fn pressure(self, kind: JobKind) -> f64 {
        /// Serving tasks use about half of what they reserve, and best-effort tasks the rest.
        const SERVING_USE: f64 = 0.55;
        let (lasting, once, best_effort) =
            (self.lasting as f64, self.once as f64, self.best_effort as f64);
        let asked = match kind {
            JobKind::Lasting => lasting,
            JobKind::Once => lasting + once,
            JobKind::BestEffort => lasting * SERVING_USE + once + best_effort,
        };
        asked / (self.capacity.max(1) as f64)
    }
}

/// Loads are told every 0.4 s and read 0.2 s later.
const SHOWN_AFTER: Duration = Duration::from_millis(800);

/// What is known of the other shards.
#[derive(Debug, Clone, Default)]
pub struct Others {
    loads: SortedMap<ShardId, Load>,
    /// Jobs that were handed to others so lately that their loads do not show them.
    sent: Vec<(Instant, ShardId, Demand)>,
}

impl Others {
    /// Takes in what the owners of other shards last said.
    pub fn update(&mut self, loads: SortedMap<ShardId, Load>) {
        self.loads = loads;
    }

    /// A job went to `shard`.
    pub fn sent(&mut self, now: Instant, shard: ShardId, demand: Demand) {
        self.sent.push((now, shard, demand));
    }

    /// The shard that a job had better go to than the one with the load `own`, which already counts
    /// it, if there is one.
    ///
    /// Loads are known late, and all owners know the same: in a flood, each would hand its jobs to the
    /// shard that was emptiest before, which is overfull from then on, as jobs that have begun stay
    /// where they are. So an owner takes it that all others send as much as it does.
    pub fn try_better(&mut self, now: Instant, own: Load, demand: Demand) -> Option<ShardId> {
        /// Pressure below which a job stays: there is room in pieces of any size.
        const EASY: [f64; 3] = [0.3, 0.8, 0.7];
        /// By how much another must be better: a job that lasts is placed once and for long, others
        /// come and go while loads are on their way.
        const MARGIN: [f64; 3] = [0.03, 0.06, 0.15];
        self.sent.retain(|(at, ..)| now.since(*at) < SHOWN_AFTER);
        let kind = demand.kind;
        let pressure = own.pressure(kind);
        if pressure < EASY[kind as usize] {
            return None;
        }
        let senders = self.loads.len().max(1) as u64;
        let with_sent = |(shard, load): (&ShardId, &Load)| {
            let sent = self.sent.iter().filter(|(_, to, _)| to == shard);
            let add = |load: Load, (.., demand): &(Instant, ShardId, Demand)| {
                load.with(Demand { cpu: demand.cpu * senders, ..*demand })
            };
            let load = sent.fold(*load, add).with(demand);
            (*shard, load.pressure(kind))
        };
        let others = self.loads.iter().filter(|(_, load)| load.capacity > 0).map(with_sent);
        let (shard, best) = others.min_by(|(_, a), (_, b)| a.total_cmp(b))?;
        (best + MARGIN[kind as usize] < pressure).then_some(shard)
    }

    /// The shard with most room for tasks that last and need this much of one worker each, if one
    /// has any; `own` is left out. What was sent lately counts as in
    /// [`try_better`](Others::try_better).
    pub fn try_room(&mut self, now: Instant, own: ShardId, need: Resources) -> Option<ShardId> {
        self.sent.retain(|(at, ..)| now.since(*at) < SHOWN_AFTER);
        let senders = self.loads.len().max(1) as u64;
        let left = |(shard, load): (&ShardId, &Load)| {
            let lasting =
                |it: &&(Instant, ShardId, Demand)| it.1 == *shard && it.2.kind == JobKind::Lasting;
            let sent: u64 = self.sent.iter().filter(lasting).map(|(.., it)| it.cpu).sum();
            let sent = sent.div_ceil(u64::from(need.cpu_milli.max(1))) * senders;
            (*shard, load.rooms(need).saturating_sub(sent))
        };
        let others = self.loads.iter().filter(|(shard, _)| **shard != own).map(left);
        let (shard, most) = others.max_by_key(|(_, left)| *left)?;
        (most > 0).then_some(shard)
    }
}
