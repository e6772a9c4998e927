//! Fixtures: jobs, and worlds of fake workers and a log around one owner at a time, or several.

#![allow(dead_code, unused_imports, reason = "each test binary uses a part")]

mod fleet;
mod log;
mod partition;
mod worker;
mod world;

use std::{sync::Arc, time::Duration};

use daisy_model::Resources;
use daisy_workflow::{JobId, JobSpec, Queue, QueueConfig, Service, StepSpec, TaskId, Terms};

pub use self::{
    fleet::Fleet,
    partition::{Cluster, Node},
    worker::{FakeWorker, Fault, LASTS_MS},
    world::World,
};

pub const CORE: u32 = 1_000;

/// How long each step of a world takes.
pub const STEP: Duration = Duration::from_millis(10);

/// The longest lease that a worker grants.
pub const LEASE_MAX: Duration = Duration::from_secs(10);

/// Terms of a queue that gives a task three attempts.
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
    })
}

/// A step of `count` tasks of one core, each a second long.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        need: Resources { cpu_milli: CORE, memory_mib: 100, accelerators: 0 },
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// A step that waits for the steps at `depends_on`.
pub fn after(depends_on: &[u16], step: StepSpec) -> StepSpec {
    StepSpec { depends_on: depends_on.to_vec(), ..step }
}

/// Tasks that run until the job is cancelled.
pub fn long_running(count: u32) -> StepSpec {
    StepSpec { long_running: true, target_ms: 50, image: Some("serve".into()), ..step(count) }
}

/// Tasks that use what others leave.
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
