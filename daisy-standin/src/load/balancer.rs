//! The platform's balancer: entry VMs that are ready, in turn.

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

use crate::{client::Client, recorder::locked};

/// Sends callers to ready entry VMs.
#[derive(Debug)]
pub(super) struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    turn: AtomicUsize,
    poller: JoinHandle<()>,
}

const POLL: Duration = Duration::from_millis(100);
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

impl Balancer {
    /// Looks at all entry VMs once and goes on doing so.
    pub(super) async fn start(entries: Vec<SocketAddr>, client: Client) -> Balancer {
        let ready = Arc::new(Mutex::new(poll(&entries, &client).await));
        let poller = tokio::spawn(poll_always(entries, client, ready.clone()));
        Balancer { ready, turn: AtomicUsize::new(0), poller }
    }

    /// The next ready entry VM, another than `not` if there is one.
    pub(super) fn next(&self, not: Option<SocketAddr>) -> Option<SocketAddr> {
        let ready = locked(&self.ready);
        let others: Vec<_> = ready.iter().filter(|entry| Some(**entry) != not).collect();
        let from: &[&SocketAddr] = &others;
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        match from.len() {
            0 => ready.first().copied(),
            length => Some(*from[turn % length]),
        }
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.poller.abort();
    }
}

async fn poll_always(entries: Vec<SocketAddr>, client: Client, ready: Arc<Mutex<Vec<SocketAddr>>>) {
    loop {
        sleep(POLL).await;
        let found = poll(&entries, &client).await;
        *locked(&ready) = found;
    }
}

async fn poll(entries: &[SocketAddr], client: &Client) -> Vec<SocketAddr> {
    let polls = entries.iter().map(|entry| client.get(*entry, "/readyz", POLL_TIMEOUT));
    let answers = futures::future::join_all(polls).await;
    let ok = |answer: &Result<crate::client::Answer, _>| {
        answer.as_ref().is_ok_and(|answer| answer.status == StatusCode::OK)
    };
    entries.iter().zip(answers).filter(|(_, it)| ok(it)).map(|(entry, _)| *entry).collect()
}
