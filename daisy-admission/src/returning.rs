//! Callers that were rejected and told when to return, in the order of their first rejections.

use std::{sync::Arc, time::Duration};

use daisy_model::Instant;

/// How long after the time that a caller was told its place is kept.
const RETURN_GRACE: Duration = Duration::from_secs(2);
/// The most callers that are remembered. Those beyond it have no place and start over.
const MAX_CALLERS: usize = 256;

/// A caller that was told to return.
#[derive(Debug, Clone)]
struct Caller<K> {
    id: K,
    service: Arc<str>,
    cpu_milli: u64,
    expires_at: Instant,
}

/// The callers that were told to return, and what they will ask for.
///
/// All VMs read the same rejections in the same order, so a caller keeps its place wherever it
/// returns. A VM that has just started knows only the rejections that it has read; callers without
/// a place are treated as new.
#[derive(Debug, Clone)]
pub struct Returning<K> {
    callers: Vec<Caller<K>>,
}

impl<K> Default for Returning<K> {
    fn default() -> Returning<K> {
        Returning { callers: Vec::new() }
    }
}

impl<K: Copy + Eq> Returning<K> {
    /// Records that the caller of `id` was rejected and told to return after `retry_after`. A caller
    /// that is rejected again keeps its place.
    pub fn rejected(
        &mut self,
        now: Instant,
        id: K,
        service: &Arc<str>,
        cpu_milli: u64,
        retry_after: Duration,
    ) {
        let expires_at = now + retry_after + RETURN_GRACE;
        self.callers.retain(|it| it.expires_at > now);
        if let Some(it) = self.callers.iter_mut().find(|it| it.id == id) {
            it.expires_at = it.expires_at.max(expires_at);
        } else if self.callers.len() < MAX_CALLERS {
            self.callers.push(Caller { id, service: service.clone(), cpu_milli, expires_at });
        }
    }

    /// Forgets a caller whose job was accepted.
    pub fn accepted(&mut self, id: K) {
        self.callers.retain(|it| it.id != id);
    }

    /// Returns what the callers that come before `id` will ask for, in thousandths of a core: those
    /// that were rejected earlier, or all if `id` was not rejected yet.
    pub fn cpu_ahead(&self, now: Instant, id: K, service: &str) -> u64 {
        let ahead = self.callers.iter().take_while(|it| it.id != id);
        let waiting = ahead.filter(|it| it.expires_at > now && &*it.service == service);
        waiting.map(|it| it.cpu_milli).sum()
    }

    /// Returns how many callers are expected.
    pub fn len(&self, now: Instant) -> usize {
        self.callers.iter().filter(|it| it.expires_at > now).count()
    }
}
