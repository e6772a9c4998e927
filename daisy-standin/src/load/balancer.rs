//! Stand-in for the platform's load balancer, which sends callers to ready entry VMs in turn.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use tokio::{task::JoinHandle, time::sleep};

use crate::{client::Client, recorder::lock};

/// Polls the readiness of entry VMs and chooses a ready one for each call.
#[derive(Debug)]
pub(super) struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    next_index: AtomicUsize,
    poller: JoinHandle<()>,
}

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

impl Balancer {
    /// Polls all entry VMs once, then continues to poll them in a background task.
    pub(super) async fn start(entries: Vec<SocketAddr>, client: Client) -> Balancer {
        let ready = Arc::new(Mutex::new(poll_ready(&entries, &client).await));
        let poller = tokio::spawn(poll_forever(entries, client, ready.clone()));
        Balancer { ready, next_index: AtomicUsize::new(0), poller }
    }

    /// Returns the next ready entry VM, if possible a different one than `excluded`.
    pub(super) fn next(&self, excluded: Option<SocketAddr>) -> Option<SocketAddr> {
        let ready = lock(&self.ready);
        let candidates: Vec<_> = ready.iter().filter(|entry| Some(**entry) != excluded).collect();
        let choices: &[&SocketAddr] = &candidates;
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        match choices.len() {
            0 => ready.first().copied(),
            length => Some(*choices[next_index % length]),
        }
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.poller.abort();
    }
}

async fn poll_forever(
    entries: Vec<SocketAddr>,
    client: Client,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
) {
    loop {
        sleep(POLL_INTERVAL).await;
        let found = poll_ready(&entries, &client).await;
        *lock(&ready) = found;
    }
}

async fn poll_ready(entries: &[SocketAddr], client: &Client) -> Vec<SocketAddr> {
    let polls = entries.iter().map(|entry| client.get(*entry, "/readyz", POLL_TIMEOUT));
    let answers = futures::future::join_all(polls).await;
    let is_ready = |answer: &Result<crate::client::Answer, _>| {
        answer.as_ref().is_ok_and(|answer| answer.status == StatusCode::OK)
    };
    entries.iter().zip(answers).filter(|(_, it)| is_ready(it)).map(|(entry, _)| *entry).collect()
}
