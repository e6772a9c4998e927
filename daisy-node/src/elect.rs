//! Claims shards without an owner, and runs the ownership of each claim that is won.

use std::{fmt, time::Duration};

use daisy_model::Instant;
use daisy_platform::{Guard, LogClient, LogError, NodeSettings, Topic};
use daisy_workflow::{
    Candidate, Claim, Election, ElectionDecision, FoldEffect, Ledger, PartCounts, PartJoiner,
    PredecessorState, Record, RecordError, ShardId, encode,
};
use futures::{
    future::{join_all, select_ok},
    join,
};
use tokio::{sync::watch, time::sleep};

use crate::{
    clock,
    follow::{CALL_TIMEOUT, Read, TopicReader},
    jobs::{self, decode_all},
    metrics::Metrics,
    own::Ownership,
    relay::Relay,
    shared::Shared,
};

/// The interval at which a shard's owner is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How much longer than others a process waits before a claim if it recently released a shard
/// because it was too slow.
const SLOW_VM_CLAIM_DELAY: Duration = Duration::from_millis(2_500);
/// How long after that release the process delays its claims: a VM that is slowed down remains so
/// for some seconds.
const SLOW_VM_PERIOD: Duration = Duration::from_secs(10);
/// How long the records that an unfinished claim has read are retained for the next claim. The next
/// claim follows immediately if no other VM owns the shard by then.
const UNFINISHED_CLAIM_RETENTION: Duration = Duration::from_secs(10);

/// What a process needs to claim and own shards.
#[derive(Debug, Clone)]
pub(crate) struct ElectionContext {
    pub settings: NodeSettings,
    pub log_client: LogClient,
    pub relay: Option<Relay>,
    pub shared: Shared,
    pub metrics: Metrics,
    /// The priority of the finite work for which long-running jobs must leave capacity, if any.
    pub protected_priority: Option<i32>,
    /// A number that identifies the process, drawn at random at its start.
    pub process: u64,
    /// Becomes true when the process must release its shards.
    pub stop: watch::Receiver<bool>,
}

/// Runs the election of every shard until the process stops.
pub(crate) async fn run(context: ElectionContext) {
    let layout = loop {
        if let Some(layout) = context.shared.lock().directory.layout() {
            break layout;
        }
        if *context.stop.borrow() {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    };
    join_all(
        layout.all().map(|shard| ShardElection::new(context.clone(), shard, layout.shards).run()),
    )
    .await;
}

/// This process's part in the election of one shard's owner.
struct ShardElection {
    context: ElectionContext,
    shard: ShardId,
    shards: u16,
    election: Election,
    /// The last epoch in which this process owned the shard; that ownership has ended.
    ended_epoch: u64,
    /// Until when this process delays its claims because it was too slow.
    slow_until: Instant,
    /// When a claim last stopped because the log did not answer.
    claim_interrupted_at: Instant,
    /// The reader of the last claim that stopped because the log did not answer, and when the claim
    /// stopped.
    unfinished_claim: Option<(Instant, ShardReader)>,
}

/// Reads the shard's submissions and progress for a claim, and folds them into a ledger.
struct ShardReader {
    ledger: Ledger,
    jobs: TopicReader,
    progress: TopicReader,
    /// Joins the records of the progress that are stored in parts.
    parts: PartJoiner,
    /// Whether the progress has records in a newer format than this build can read.
    has_newer_records: bool,
}

/// The result of a read of the shard's progress.
#[derive(Debug, Default)]
struct ProgressRead {
    /// Whether it contained a claim.
    has_claim: bool,
    /// Whether it contained a record other than a claim.
    has_progress: bool,
    /// Whether the log had no records after those read.
    at_end: bool,
}

impl ShardReader {
    /// Reads the next submissions of the shard; returns whether their end was reached, or `None` if
    /// the read failed.
    async fn read_jobs(&mut self) -> Option<bool> {
        let read = self.jobs.try_read(Duration::ZERO).await?;
        Some(self.fold_jobs(&read))
    }

    /// Reads the shard's submissions to their end after a claim was won; returns whether the log
    /// answered.
    ///
    /// After the claim no other process appends progress, so the submissions of all jobs that have
    /// progress are read. If one were missing, and a worker listed the end of a run of that job,
    /// the end would be acknowledged and lost.
    async fn read_all_jobs(&mut self) -> bool {
        loop {
            match self.read_jobs().await {
                Some(true) => return true,
                Some(false) => {}
                None => return false,
            }
        }
    }

    /// Folds what the first calls for both topics have read, if they have not failed, and reads all
    /// further pages of the newest records. Returns what was read of the progress, or `None` if a
    /// read failed.
    ///
    /// The ledger keeps no submission of a job that it knows to have ended long ago, so the
    /// submissions are folded after the progress.
    async fn read_rest(
        &mut self,
        jobs: Option<Read>,
        progress: Option<Read>,
    ) -> Option<ProgressRead> {
        let mut folded = None;
        if let Some(it) = progress {
            let mut first = ProgressRead::default();
            self.fold_progress(&it, &mut first);
            folded = self.read_progress_pages(first).await;
        }
        let jobs = jobs.map(|it| self.fold_jobs(&it));
        let folded = folded?;
        jobs?;
        while self.jobs.next().is_none() {
            self.read_jobs().await?;
        }
        Some(folded)
    }

    /// Folds submissions into the ledger; returns whether their end was reached.
    fn fold_jobs(&mut self, read: &Read) -> bool {
        for record in decode_all("jobs", &read.records) {
            self.ledger.fold(record);
        }
        read.at_end()
    }

    async fn read_progress(&mut self) -> Option<ProgressRead> {
        let mut folded = ProgressRead::default();
        let read = self.progress.try_read(Duration::ZERO).await?;
        self.fold_progress(&read, &mut folded);
        self.read_progress_pages(folded).await
    }

    /// Reads the further pages of the newest progress, if there are any.
    async fn read_progress_pages(&mut self, mut folded: ProgressRead) -> Option<ProgressRead> {
        while self.progress.next().is_none() {
            let read = self.progress.try_read(Duration::ZERO).await?;
            self.fold_progress(&read, &mut folded);
        }
        Some(folded)
    }

    fn fold_progress(&mut self, read: &Read, folded: &mut ProgressRead) {
        for it in &read.records {
            let record = jobs::join_record("progress", it, &mut self.parts);
            match record.map(|record| record.map(|it| self.ledger.fold(it))) {
                Ok(Some(FoldEffect::Claim)) => folded.has_claim = true,
                Ok(_) => folded.has_progress = true,
                Err(e) => self.has_newer_records |= matches!(e, RecordError::Version(_)),
            }
        }
        folded.at_end = read.at_end();
    }
}

/// A claim that was won, with the fold of the shard's log.
struct WonClaim {
    epoch: u64,
    /// A time before the claim was sent.
    claimed_at: Instant,
    ledger: Ledger,
    jobs: TopicReader,
    /// The records of the progress that the log has in several parts.
    stored_parts: PartCounts,
    predecessors_expired: bool,
    /// The claim that it follows, and whether the owners up to that one have ended.
    follows: Option<Claim>,
    predecessors: PredecessorState,
}

impl ShardElection {
    fn new(context: ElectionContext, shard: ShardId, shards: u16) -> ShardElection {
        let election = Election::new(clock::now(), &context.settings.vm, context.process);
        ShardElection {
            context,
            shard,
            shards,
            election,
            ended_epoch: 0,
            slow_until: Instant::default(),
            claim_interrupted_at: Instant::default(),
            unfinished_claim: None,
        }
    }

    async fn run(mut self) {
        while !*self.context.stop.borrow() {
            self.unfinished_claim
                .take_if(|(at, _)| clock::now().since(*at) > UNFINISHED_CLAIM_RETENTION);
            match self.decide() {
                ElectionDecision::Claim => {
                    self.context.shared.lock().begin_claim();
                    let won = self.claim().await;
                    self.context.shared.lock().end_claim();
                    match won {
                        Some(won) => self.own(won).await,
                        None => sleep(CHECK_INTERVAL).await,
                    }
                }
                ElectionDecision::Own(_) => sleep(CHECK_INTERVAL).await,
                ElectionDecision::Wait(left) => sleep(CHECK_INTERVAL.min(left)).await,
            }
        }
    }

    fn decide(&mut self) -> ElectionDecision {
        let now = clock::now();
        let node = self.context.shared.lock();
        // A claim requires a configuration, and reads of the heartbeats that are recent enough to
        // show the loss of the owner.
        let can_detect_loss = node.is_up_to_date()
            && node.states_reachability.can_detect_lost_owner(now, self.claim_interrupted_at);
        if node.queues.is_none() || !can_detect_loss {
            return ElectionDecision::Wait(CHECK_INTERVAL);
        }
        let received = node.directory.owner(self.shard);
        if let Some(received) = received {
            self.election.heartbeat_received(received.at);
        }
        // While the log does not answer, no owner can publish a heartbeat. If the owners were
        // treated as lost when the log recovers, all of them would be replaced at the same moment,
        // and by the same few VMs.
        self.election.heartbeat_received(node.states_reachability.recovered_at());
        // If this process made the newest claim and its ownership has ended, no process owns the
        // shard. The election then gets the claim without its VM and process.
        let newest_claim = received.map(|it| match it.heartbeat.claim.epoch <= self.ended_epoch {
            true => Claim { vm: String::new(), process: 0, ..it.heartbeat.claim.clone() },
            false => it.heartbeat.claim.clone(),
        });
        let candidate = Candidate {
            vm: &self.context.settings.vm,
            shard: self.shard,
            shards: self.shards,
            owned: node.owned_or_claimed(),
            cpu_share: self.context.settings.cpu_share,
        };
        let slow_delay = if now < self.slow_until { SLOW_VM_CLAIM_DELAY } else { Duration::ZERO };
        self.election.set_claim_delay(candidate.claim_delay() + slow_delay);
        self.election.decision(now, newest_claim.as_ref(), node.log_rtt.estimate())
    }

    /// Reads the whole log of the shard, then claims the shard. Only reading the log again shows
    /// whether the claim was won: its answer may be lost, or may refer to another process's claim
    /// with the same epoch.
    async fn claim(&mut self) -> Option<WonClaim> {
        /// The most reads of the progress in one claim. The result of the claim must be read, and
        /// records that are appended between a read and the claim make another read necessary.
        const MAX_TRIES: u32 = 4;
        let mut reader = self.resume_or_begin_reading();
        let began = clock::now();
        let (jobs, progress, can_read_heartbeats) = join!(
            reader.jobs.try_read(Duration::ZERO),
            reader.progress.try_read(Duration::ZERO),
            self.can_read_heartbeats()
        );
        let mut progress = reader.read_rest(jobs, progress).await;
        if !can_read_heartbeats {
            // As when the whole log does not answer, the timeout restarts: the owner is treated
            // as lost only after a time in which its heartbeats could have been read.
            self.election.heartbeat_received(clock::now());
        }
        if progress.is_none() || !can_read_heartbeats {
            return self.keep_unfinished(reader);
        }
        let mut claimed_epoch = None;
        let mut claimed_at = began;
        let mut follows = None;
        let mut predecessors = PredecessorState::LastMayRun;
        for _ in 0..MAX_TRIES {
            let read = match progress.take() {
                Some(it) => Some(it),
                None => reader.read_progress().await,
            };
            let Some(ProgressRead { has_claim, has_progress, at_end }) = read else {
                return self.keep_unfinished(reader);
            };
            // Records read after a rejected claim have just been appended.
            if claimed_epoch.is_some()
                && !has_claim
                && has_progress
                && self.election.owner_wrote(clock::now())
            {
                let (shard, cause) = (
                    self.shard.0,
                    "the owner appends progress, though none of its heartbeats is received",
                );
                log::info!("event=claim_dropped shard={shard} cause=\"{cause}\"");
                return self.keep_unfinished(reader);
            }
            if !at_end {
                continue;
            }
            let last_claim = reader.ledger.owner();
            let own_claim =
                last_claim.filter(|it| self.is_own_claim(it) && Some(it.epoch) == claimed_epoch);
            if let Some(Claim { epoch, predecessors_expired, .. }) = own_claim.cloned() {
                if !reader.read_all_jobs().await {
                    return self.keep_unfinished(reader);
                }
                let ShardReader { ledger, jobs, parts, .. } = reader;
                let stored_parts = parts.part_counts();
                return Some(WonClaim {
                    epoch,
                    claimed_at,
                    ledger,
                    jobs,
                    stored_parts,
                    predecessors_expired,
                    follows,
                    predecessors,
                });
            }
            let is_rival = self.election.is_newly_claimed(last_claim);
            if is_rival || claimed_epoch.is_some() && has_claim {
                break;
            }
            // Tasks whose progress this build cannot read would be started a second time.
            let withheld_for = match reader.has_newer_records {
                true => Some("its progress has records of a newer build"),
                false => reader.parts.is_incomplete().then_some("its progress has missing parts"),
            };
            if let Some(cause) = withheld_for {
                let shard = self.shard.0;
                log::warn!("event=claim_withheld shard={shard} cause=\"{cause}\"");
                self.election.heartbeat_received(clock::now());
                return self.keep_unfinished(reader);
            }
            // The process may have begun its planned stop during the read.
            if *self.context.stop.borrow() {
                return None;
            }
            predecessors = self.predecessor_state(last_claim);
            follows = last_claim.cloned();
            let predecessors_expired = predecessors.have_ended();
            claimed_at = clock::now();
            let vouched_epoch = reader.ledger.vouched_epoch();
            claimed_epoch = self
                .append_claim(reader.progress.next()?, predecessors_expired, vouched_epoch)
                .await;
        }
        // Another process was faster, or the log does not answer.
        self.election.restart_timeout(clock::now());
        None
    }

    /// Returns whether the owner's heartbeats could be read without interruption until now. If only
    /// the partition of states does not answer, owners keep running, but no process receives their
    /// heartbeats.
    async fn can_read_heartbeats(&self) -> bool {
        /// Longer than a read's wait for a record and the pause after the read.
        const MAX_READ_AGE: Duration = Duration::from_millis(1_300);
        let Some((read_at, from)) = self.context.shared.lock().states_caught_up else {
            return false;
        };
        let began = clock::now();
        let log_client = &self.context.log_client;
        let read = || {
            Box::pin(async {
                match log_client.read(Topic::States, from, Duration::ZERO, CALL_TIMEOUT).await {
                    Ok(_) | Err(LogError::RecordsDropped(_)) => Ok(()),
                    Err(e) => Err(e),
                }
            })
        };
        // Two calls, as one answer may be lost.
        let answered = select_ok([read(), read()]).await.is_ok();
        let rtt = clock::now().since(began);
        answered && began.since(read_at) < MAX_READ_AGE + rtt * 2
    }

    /// Returns the reader of an earlier claim that stopped because the log did not answer, or a new
    /// one.
    fn resume_or_begin_reading(&mut self) -> ShardReader {
        let (shard, log_client) = (self.shard.0, &self.context.log_client);
        let unfinished_claim = self.unfinished_claim.take().map(|(_, it)| it);
        let retention_ms = self.context.settings.state_retention.as_millis() as u64;
        let accepted_before_ms = clock::wall_ms().saturating_sub(retention_ms);
        unfinished_claim.unwrap_or_else(|| ShardReader {
            ledger: Ledger::compacting(accepted_before_ms),
            parts: PartJoiner::default(),
            jobs: TopicReader::new(log_client.clone(), Topic::Jobs(shard)).by_page(),
            progress: TopicReader::new(log_client.clone(), Topic::Progress(shard)).by_page(),
            has_newer_records: false,
        })
    }

    /// Ends a claim that could not be completed. Retains its reader for the next claim, unless the
    /// reader has missed records that the log has dropped.
    fn keep_unfinished(&mut self, reader: ShardReader) -> Option<WonClaim> {
        let is_gapless = !reader.jobs.has_gap() && !reader.progress.has_gap();
        self.claim_interrupted_at = clock::now();
        self.unfinished_claim = is_gapless.then_some((self.claim_interrupted_at, reader));
        None
    }

    /// Appends a claim if the log still ends at the offset `at`; returns the claim's epoch.
    async fn append_claim(
        &self,
        at: u64,
        predecessors_expired: bool,
        vouched_epoch: Option<u64>,
    ) -> Option<u64> {
        let epoch = at + 1;
        let shard = self.shard.0;
        let claim = self.election.claim(epoch, predecessors_expired);
        let record = encode(&Record::Claim(claim, vouched_epoch));
        let guard = Guard::Claim { shard, at, epoch };
        let topic = Topic::Progress(shard);
        match self.context.log_client.append(topic, &[record], guard, CALL_TIMEOUT).await {
            Ok(_) => log::info!("event=claimed shard={shard} epoch={epoch}"),
            Err(LogError::EndMismatch | LogError::Fenced) => {
                log::info!(
                    "event=claim_lost shard={shard} epoch={epoch} cause=\"another append came first\""
                );
            }
            Err(e) => {
                log::warn!("event=claim_failed shard={shard} epoch={epoch} cause=\"{e}\"");
            }
        }
        Some(epoch)
    }

    /// Returns whether this process made the claim.
    fn is_own_claim(&self, claim: &Claim) -> bool {
        claim.vm == self.context.settings.vm && claim.process == self.context.process
    }

    /// Returns whether the owners before the next one can still renew leases.
    fn predecessor_state(&self, last_claim: Option<&Claim>) -> PredecessorState {
        let node = self.context.shared.lock();
        let heartbeat = node.directory.owner(self.shard).map(|it| &it.heartbeat.claim);
        let last =
            last_claim.map(|last| heartbeat.filter(|it| it.epoch == last.epoch).unwrap_or(last));
        PredecessorState::new(last, &self.context.settings.vm)
    }

    /// Runs the ownership of a claim that was won, until it ends.
    async fn own(&mut self, won: WonClaim) {
        let WonClaim {
            epoch,
            claimed_at,
            ledger,
            jobs,
            stored_parts,
            predecessors_expired,
            follows,
            predecessors,
        } = won;
        let (shard, context) = (self.shard, &self.context);
        log::info!(
            "event=owner shard={} epoch={epoch} settled={predecessors_expired} predecessors={}{}",
            shard.0,
            predecessors.label(),
            FollowedKeys(follows.as_ref())
        );
        context.metrics.count_ownership_change("won");
        let published_states = {
            let node = context.shared.lock();
            let ids = ledger.jobs().map(|(id, _)| id).chain(ledger.ended().map(|(id, _)| id));
            ids.filter_map(|id| node.directory.state(id).map(|state| (id, state))).collect()
        };
        let ownership = Ownership {
            context: context.clone(),
            shard,
            epoch,
            claim: self.election.claim(epoch, predecessors_expired),
            claimed_at,
            published_states,
            stored_parts,
        };
        let cause = ownership.run(ledger, jobs).await;
        log::info!(
            "event=owner_ended shard={} epoch={epoch} cause=\"{}\"",
            shard.0,
            cause.description()
        );
        self.context.metrics.count_ownership_change("ended");
        let now = clock::now();
        self.ended_epoch = epoch;
        self.election.heartbeat_received(now);
        if cause.is_too_slow() {
            self.slow_until = now + SLOW_VM_PERIOD;
        }
    }
}

/// Displays the keys of a log line that tell which claim an owner follows; the name of its VM is not
/// known if the claim cannot be read.
struct FollowedKeys<'a>(Option<&'a Claim>);

impl fmt::Display for FollowedKeys<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FollowedKeys(Some(it)) = self else { return Ok(()) };
        write!(f, " follows_epoch={}", it.epoch)?;
        match it.vm.is_empty() {
            true => Ok(()),
            false => write!(f, " follows_vm={}", it.vm),
        }
    }
}
