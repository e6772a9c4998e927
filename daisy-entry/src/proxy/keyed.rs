//! Requests with a key: the key is claimed at its home before the request runs, and the answer is
//! stored there.

use std::{sync::Arc, time::Duration};

use daisy_model::{Instant, VmId};
use daisy_routing::{
    ClaimEnd, ClaimId, KeyAnswer, KeyDenial, KeyId, KeyQuery, KeyStep, StoredAnswer, digest,
    next_step_after_home, next_step_after_other_dcs,
};
use futures::future::join_all;

use crate::{
    boundary::{IntentOutcome, PeerKeys},
    proxy::{answer::Failure, core::Core, head::Key},
};

/// How long a home may take to answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Pauses between claims while another attempt runs, doubled from the first to the last.
const MIN_CLAIM_PAUSE: Duration = Duration::from_millis(10);
const MAX_CLAIM_PAUSE: Duration = Duration::from_millis(200);
/// How long an unreachable home is waited for before the caller is told to retry.
const HOME_UNAVAILABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time beyond its deadline for which a request may be treated as running, to allow for the
/// delay of messages to the home.
const CLAIM_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Number of attempts to report the end of a claim to a home that does not acknowledge it.
const FINISH_TRIES: u32 = 5;
/// The pause before a message is sent again to an entry VM that has not acknowledged it.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
/// How long a handover message is sent again to a peer that has joined and does not acknowledge it.
/// The link to the peer may be established after its first heartbeat; a new home waits equally long
/// for the keys of the other homes.
pub(super) const JOIN_HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// The same limit in a planned stop, which must not wait for lost peers.
pub(super) const LEAVE_HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the platform's log may take to record an intent.
const INTENT_TIMEOUT: Duration = Duration::from_secs(2);

/// A claim, and the home that it was first sent to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    id: ClaimId,
    home: Option<VmId>,
}

/// The result of a claim.
#[derive(Debug)]
pub(super) enum ClaimResult {
    /// The request must run.
    Run(Claim),
    /// An earlier attempt ran and got this answer.
    Replay(StoredAnswer),
}

/// One attempt of a keyed request.
#[derive(Debug, Clone)]
pub(super) struct KeyedRequest<K> {
    pub(super) core: Arc<Core>,
    pub(super) peers: K,
    /// The id under which the caller receives the answer.
    pub(super) request: u64,
    pub(super) id: KeyId,
    pub(super) request_digest: u64,
    pub(super) key: Key,
    pub(super) deadline: Instant,
}

impl<K: PeerKeys<KeyQuery, KeyAnswer>> KeyedRequest<K> {
    /// Claims the key at its home and, for a repeated attempt, in every data centre.
    pub(super) async fn claim(&self) -> Result<ClaimResult, Failure> {
        let started_at = self.core.clock.now();
        let mut pause = MIN_CLAIM_PAUSE;
        let mut claim = Claim { id: ClaimId(self.core.random_id()), home: None };
        loop {
            let home = self.core.home(&self.id);
            claim.home = claim.home.or(home);
            let mut step = self.claim_at_home(home, claim.id).await;
            let is_granted = matches!(step, KeyStep::Run | KeyStep::QueryOtherDcs);
            if is_granted && self.key.logged {
                step = self.announce_intent().await;
            } else if step == KeyStep::QueryOtherDcs {
                step = self.fence_other_dcs().await;
            }
            let denial = match step {
                KeyStep::Run => return Ok(ClaimResult::Run(claim)),
                KeyStep::Replay(answer) => {
                    if is_granted {
                        self.finish(claim, ClaimEnd::Answered(answer.clone())).await;
                    }
                    return Ok(ClaimResult::Replay(answer));
                }
                KeyStep::QueryOtherDcs => KeyDenial::Unknown,
                KeyStep::Deny(denial) | KeyStep::Wait(denial) if is_granted => {
                    self.finish(claim, ClaimEnd::NotRun).await;
                    // A `Finish` message may overtake the next claim with the same ID and release
                    // it.
                    claim = Claim { id: ClaimId(self.core.random_id()), home: None };
                    denial
                }
                KeyStep::Deny(denial) | KeyStep::Wait(denial) => denial,
            };
            if !self.may_retry_claim(denial, started_at, pause) {
                if denial == KeyDenial::Unreachable {
                    self.finish(claim, ClaimEnd::NotRun).await;
                }
                self.log_denial(denial, home, claim);
                return Err(self.failure(denial));
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_CLAIM_PAUSE);
        }
    }

    /// Reports to the home how a claim ended. An unreachable home is retried for a while; after
    /// that the claim expires there with an unknown outcome.
    pub(super) async fn finish(&self, claim: Claim, end: ClaimEnd) {
        let not_run = end == ClaimEnd::NotRun;
        let query = KeyQuery::Finish { key: self.id.clone(), claim: claim.id, end };
        for _ in 0..FINISH_TRIES {
            if let Some(home) = self.core.home(&self.id)
                && self.send_query(home, query.clone()).await == Some(KeyAnswer::Acknowledged)
            {
                if not_run && claim.home != Some(home) {
                    self.finish_at_other_homes(home, query).await;
                }
                return;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
        log::warn!(
            "event=claim_end_undelivered key_digest={:016x}",
            digest(self.id.key.as_bytes())
        );
    }

    /// Reports the end of a claim to the entry VMs besides the home that may have a copy of it from
    /// a handover.
    async fn finish_at_other_homes(&self, home: VmId, query: KeyQuery) {
        let others = self.core.candidate_homes(&self.id).into_iter().filter(|it| *it != home);
        join_all(others.map(|it| self.send_query(it, query.clone()))).await;
    }

    async fn claim_at_home(&self, home: Option<VmId>, claim: ClaimId) -> KeyStep {
        let left = self.deadline.since(self.core.clock.now());
        let repeated = self.key.repeated && !self.key.logged;
        let query = KeyQuery::Claim {
            key: self.id.clone(),
            request_digest: self.request_digest,
            claim,
            repeated,
            claim_timeout: left + CLAIM_TIMEOUT_MARGIN,
        };
        let Some(home) = home else {
            return KeyStep::Wait(KeyDenial::Unreachable);
        };
        next_step_after_home(self.send_query(home, query).await, repeated)
    }

    async fn fence_other_dcs(&self) -> KeyStep {
        let candidate_homes = self.core.other_homes(&self.id);
        let answers = join_all(candidate_homes.into_iter().map(async |home| {
            let query = KeyQuery::Fence {
                key: self.id.clone(),
                request_digest: self.request_digest,
                repeated: self.key.repeated,
            };
            self.send_query(home?, query).await
        }));
        next_step_after_other_dcs(answers.await, self.key.repeated)
    }

    /// Records the request in the platform's log; the first intent for a key wins.
    async fn announce_intent(&self) -> KeyStep {
        let left = self.deadline.since(self.core.clock.now());
        let intent =
            self.peers.announce_intent(intent_key(&self.id), left.min(INTENT_TIMEOUT)).await;
        match intent {
            IntentOutcome::Won => KeyStep::Run,
            IntentOutcome::Lost => KeyStep::Deny(KeyDenial::Unknown),
            IntentOutcome::Unavailable => KeyStep::Deny(KeyDenial::Unreachable),
        }
    }

    async fn send_query(&self, to: VmId, query: KeyQuery) -> Option<KeyAnswer> {
        send_query(&self.core, &self.peers, to, query).await
    }

    /// Returns whether another claim may succeed before the request's deadline or the timeout for
    /// its home.
    fn may_retry_claim(&self, denial: KeyDenial, started_at: Instant, pause: Duration) -> bool {
        let next = self.core.clock.now() + pause;
        let end = match denial {
            KeyDenial::Running => self.deadline,
            KeyDenial::Settling | KeyDenial::Unreachable if !self.key.logged => {
                self.deadline.min(started_at + HOME_UNAVAILABLE_TIMEOUT)
            }
            _ => return false,
        };
        next < end
    }

    /// Logs why the request does not run, and the claim and the home that this is about.
    fn log_denial(&self, denial: KeyDenial, home: Option<VmId>, claim: Claim) {
        let name = |home: Option<VmId>| home.map_or("none".to_owned(), |it| it.to_string());
        log::info!(
            "event=key_denied request={:016x} key_digest={:016x} repeated={} denial={denial:?} \
             claim={:016x} home={} first_home={}",
            self.request,
            digest(self.id.key.as_bytes()),
            self.key.repeated,
            claim.id.0,
            name(home),
            name(claim.home)
        );
    }

    fn failure(&self, denial: KeyDenial) -> Failure {
        Failure::from_key_denial(denial, denial.proves_not_run(self.key.repeated))
    }
}

/// Sends a query to `to`, which may be this entry VM.
pub(super) async fn send_query<K: PeerKeys<KeyQuery, KeyAnswer>>(
    core: &Core,
    peers: &K,
    to: VmId,
    query: KeyQuery,
) -> Option<KeyAnswer> {
    if to == core.options.vm {
        Some(core.answer_key(to, query))
    } else {
        peers.send_query(to, query, QUERY_TIMEOUT).await
    }
}

/// Hands keys over: to each peer one message after another, to all peers concurrently. A message
/// that a peer does not acknowledge is sent again until `timeout` has passed.
pub(super) async fn hand_over<K: PeerKeys<KeyQuery, KeyAnswer>>(
    core: &Core,
    peers: &K,
    messages: Vec<(VmId, KeyQuery)>,
    timeout: Duration,
) {
    let mut by_peer: Vec<(VmId, Vec<KeyQuery>)> = Vec::new();
    for (peer, query) in messages {
        match by_peer.iter_mut().find(|(other, _)| *other == peer) {
            Some((_, queries)) => queries.push(query),
            None => by_peer.push((peer, vec![query])),
        }
    }
    join_all(by_peer.into_iter().map(async |(peer, queries)| {
        let acknowledged = hand_over_to(core, peers, peer, queries, timeout).await;
        log::info!("event=keys_handed_over peer={peer} taken={acknowledged}");
    }))
    .await;
}

/// Hands keys over to one peer; returns whether it has acknowledged all messages.
///
/// A message is sent only after the previous one was acknowledged. Guards against a last message
/// that arrives without the messages before it: the peer would treat its history as complete
/// although it lacks the keys of these messages.
async fn hand_over_to<K: PeerKeys<KeyQuery, KeyAnswer>>(
    core: &Core,
    peers: &K,
    peer: VmId,
    queries: Vec<KeyQuery>,
    timeout: Duration,
) -> bool {
    for mut query in queries {
        let started_at = core.clock.now();
        while send_query(core, peers, peer, query.clone()).await != Some(KeyAnswer::Acknowledged) {
            if core.clock.now().since(started_at) >= timeout {
                return false;
            }
            // Entry VMs of older builds reject a message that dates the gap.
            if let KeyQuery::Handover { time_since_gap, .. } = &mut query {
                *time_since_gap = None;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
    }
    true
}

/// Returns a digest of service and key for the log; it has 128 bits to avoid collisions between
/// keys.
fn intent_key(id: &KeyId) -> u128 {
    let text = format!("{}\n{}", id.service, id.key);
    let high = digest(text.as_bytes());
    let low = digest(format!("{high:016x}\n{text}").as_bytes());
    u128::from(high) << 64 | u128::from(low)
}
