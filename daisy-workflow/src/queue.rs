//! The configuration that operators publish: queues and services.

use std::sync::Arc;

use crate::Terms;

/// A queue: where its requests come from, and on what terms its jobs run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queue {
    /// The host that callers name.
    pub host: Arc<str>,
    /// The path that its jobs' paths begin with.
    pub path_prefix: Arc<str>,
    /// How long a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Whether a policy service must allow each worker.
    pub needs_policy_approval: bool,
    /// The terms of its jobs.
    pub terms: Terms,
}

/// A service: a pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its workers refuse what does not fit.
    pub admission_control: bool,
    /// Connections that a worker takes.
    pub connections: u32,
}

/// One version of the configuration; a higher version replaces it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QueueConfig {
    /// Rises with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<Service>,
    /// Bytes of a request's body that are taken.
    pub body_bytes: usize,
}

impl QueueConfig {
    /// The queue of a request: the longest prefix of `path` under `host` wins.
    pub fn route<'a>(&'a self, host: &str, path: &str) -> Option<&'a Queue> {
        let of_host = self.queues.iter().filter(|it| it.host.eq_ignore_ascii_case(host));
        let matching = of_host.filter(|it| path.starts_with(&*it.path_prefix));
        matching.max_by_key(|it| it.path_prefix.len())
    }

    /// The queue of this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|it| &*it.terms.queue == name)
    }
}
