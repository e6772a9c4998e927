//! A small deployment: a store, workers and nodes.

use std::{
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::json;

use crate::{
    node::{Caller, Node, wait_until},
    record::Recorder,
    store::Store,
    worker::{Kind, Started, Worker},
};

/// The outcome of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

pub struct Setting {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub recorder: Recorder,
    /// Whether the case includes its disruption.
    pub trouble: bool,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    _store: Store,
    pub started: Arc<Mutex<Vec<Started>>>,
    pub client: Caller,
    pub recorder: Recorder,
}

impl Fleet {
    /// Starts workers of these kinds beside `store`, then `nodes` nodes, and waits until they are
    /// ready.
    pub async fn start(
        setting: &Setting,
        store: Store,
        nodes: usize,
        kinds: &[Kind],
    ) -> Option<Fleet> {
        let recorder = setting.recorder.clone();
        let writer = store.writer();
        let config = json!({
            "version": 3,
            "routes": [{ "name": "r", "host": "shop.example", "path-prefix": "/jobs/",
                "type": "unsafe", "timeout-ms": 3_000, "target-latency-ms": 400, "priority": 0,
                "service": "svc", "max-attempts": 4, "slack-factor": 2.0 }],
            "services": [{ "name": "svc", "max-conns": 64, "admission-control": false }],
            "limits": { "body-bytes": 262_144 },
        });
        writer.write("keyed.op", 0, "config", config.to_string().into());
        let started = Arc::default();
        let mut workers = Vec::new();
        for (at, kind) in kinds.iter().enumerate() {
            let id = format!("i-{at:04}");
            let worker = Worker::start(
                writer.clone(),
                recorder.clone(),
                &id,
                kind.clone(),
                Arc::clone(&started),
            );
            workers.push(worker.await.ok()?);
        }
        let folder: &Path = &setting.folder;
        let nodes: Result<Vec<Node>, _> =
            (1..=nodes).map(|at| Node::start(&setting.root, folder, at, store.address())).collect();
        let client = Caller::new(recorder.clone());
        let fleet = Fleet { nodes: nodes.ok()?, workers, _store: store, started, client, recorder };
        Some(fleet)
    }

    /// Waits until all nodes are ready.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        for node in &self.nodes {
            if !wait_until(limit, async || node.is_ready(&self.client).await).await {
                self.recorder.say(format!("{} is not ready", node.name));
                return false;
            }
        }
        self.recorder.note("all nodes are ready");
        true
    }

    pub fn starts(&self) -> Vec<Started> {
        self.started.lock().map(|it| it.clone()).unwrap_or_default()
    }
}
