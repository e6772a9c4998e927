//! Fixtures: jobs, and simulations of fake workers and a log with one owner at a time, or with
//! several.

#![allow(dead_code, unused_imports, reason = "each test binary uses a part")]

mod gangs;
mod log;
mod parallel;
mod partition;
mod sharded_simulation;
mod simulation;
mod worker;

use std::{sync::Arc, time::Duration};

use daisy_model::Resources;
use daisy_workflow::{JobId, JobSpec, Queue, QueueConfig, Service, StepSpec, TaskId, Terms};

pub use self::{
    parallel::{PrintOnPanic, check_all, check_seeds},
    partition::{Cluster, Delays, Node},
    sharded_simulation::ShardedSimulation,
    simulation::{Simulation, owner},
    worker::{FakeWorker, Fault, LONG_RUNNING_WORK_MS},
};

pub const CORE: u32 = 1_000;

/// Simulated time that each step of a simulation takes.
pub const TICK: Duration = Duration::from_millis(10);

/// The lease that owners grant.
pub const LEASE: Duration = Duration::from_secs(5);

/// How long owners retain the records of jobs that have ended: longer than a late order and the
/// longest lease take.
pub const RECORD_RETENTION: Duration = Duration::from_secs(30);

/// The longest lease that a worker grants.
pub const LEASE_MAX: Duration = Duration::from_secs(10);

/// Returns the terms of a queue that allows each task three attempts.
pub fn terms() -> Terms {
    Terms {
        queue: "renders".into(),
        service: "shop".into(),
        priority: 1,
        max_attempts: 3,
        slack_permille: 2_000,
        target_latency_ms: 1_000,
    }
}

pub fn queues() -> Arc<QueueConfig> {
    Arc::new(QueueConfig {
        version: 1,
        queues: vec![Queue {
            host: "shop.example".into(),
            path_prefix: "/renders/".into(),
            timeout_ms: 3_000,
            needs_policy_approval: false,
            terms: terms(),
        }],
        services: vec![Service { name: "shop".into(), admission_control: false, connections: 64 }],
        body_bytes: 1 << 18,
        head_bytes: 1 << 14,
    })
}

/// Returns a step of `count` tasks of one core, each of which runs for a second.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        need: Resources { cpu_milli: CORE, memory_mib: 100, accelerators: 0 },
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// Returns the step with dependencies on the steps at the indexes `depends_on`.
pub fn step_after(depends_on: &[u16], step: StepSpec) -> StepSpec {
    StepSpec { depends_on: depends_on.to_vec(), ..step }
}

/// Returns a step of long-running tasks, which run until the job is cancelled.
pub fn long_running_step(count: u32) -> StepSpec {
    StepSpec { long_running: true, target_ms: 50, image: Some("serve".into()), ..step(count) }
}

/// Returns a step of best-effort tasks, which use the processor time that other tasks leave.
pub fn best_effort(count: u32, image: &str) -> StepSpec {
    StepSpec { best_effort: true, checkpoints: true, image: Some(image.into()), ..step(count) }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        terms: terms(),
        text: "text".into(),
        accepted_ms: 0,
        first_due_ms: 0,
        interval_ms: 0,
        occurrences: 1,
        timed: false,
        steps,
    }
}

pub fn task(job: u64, step: u16, index: u32) -> TaskId {
    TaskId { job: JobId(job), occurrence: 0, step, index }
}

/// Returns a job with a gang, copies, a label, a limit a worker, or set times.
pub fn constrained_job(rng: &mut fastrand::Rng) -> JobSpec {
    let plain = step(rng.u32(1..5));
    let constrained = match rng.u8(..5) {
        0 => StepSpec { gang: true, ..plain },
        1 => StepSpec { gang: true, checkpoints: true, same_rack: true, ..plain },
        2 => StepSpec { required_label: Some("a".into()), ..plain },
        3 => StepSpec { max_per_worker: 1, ..plain },
        _ => StepSpec { speculative: true, data_rack: Some("r1".into()), ..plain },
    };
    let steps = vec![constrained, step_after(&[0], step(1))];
    let timed = rng.u8(..4) == 0;
    let (occurrences, interval_ms) = if timed { (3, 800) } else { (1, 0) };
    JobSpec { timed, occurrences, interval_ms, ..job(steps) }
}

/// As [`constrained_job`], with set times that are later than the submission in most schedules.
pub fn constrained_job_due_later(rng: &mut fastrand::Rng) -> JobSpec {
    let spec = constrained_job(rng);
    JobSpec { first_due_ms: if spec.timed { rng.u64(1_000..15_000) } else { 0 }, ..spec }
}
