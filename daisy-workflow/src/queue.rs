//! The queues and services that operators configure.

use std::sync::Arc;

use crate::Terms;

/// A queue: which requests belong to it, and the terms of its jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queue {
    /// The host that requests name.
    pub host: Arc<str>,
    /// The prefix of its requests' paths.
    pub path_prefix: Arc<str>,
    /// The timeout of a request in milliseconds.
    pub timeout_ms: u64,
    /// Whether a policy service must approve each worker.
    pub needs_policy_approval: bool,
    /// The terms of its jobs.
    pub terms: Terms,
}

/// A service: a pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Whether the service's workers reject tasks that don't fit.
    pub admission_control: bool,
    /// The most connections to a worker.
    pub connections: u32,
}

/// One version of the configuration; a higher version replaces it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QueueConfig {
    /// The version, increased by each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<Service>,
    /// The most bytes in a request's body.
    pub body_bytes: usize,
    /// The most bytes in a request's head.
    pub head_bytes: usize,
}

impl QueueConfig {
    /// Returns the queue of a request: the one of `host` with the longest prefix of `path`.
    pub fn route<'a>(&'a self, host: &str, path: &str) -> Option<&'a Queue> {
        let of_host = self.queues.iter().filter(|it| it.host.eq_ignore_ascii_case(host));
        let matching = of_host.filter(|it| path.starts_with(&*it.path_prefix));
        matching.max_by_key(|it| it.path_prefix.len())
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|it| &*it.terms.queue == name)
    }
}
