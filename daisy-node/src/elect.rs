//! Becoming the owner of a shard, and ending that.

use std::time::Duration;

use daisy_model::Instant;
use daisy_platform::{Guard, NodeSettings, Store, StoreError, Topic};
use daisy_workflow::{
    Candidate, Claim, Election, ElectionDecision, FoldEffect, Ledger, Record, RecordError, ShardId,
    encode,
};
use futures::{
    future::{join_all, select_ok},
    join,
};
use tokio::{sync::watch, time::sleep};

use crate::{
    clock,
    follow::{CALL_TIMEOUT, Read, Tail},
    jobs::{self, readable},
    metrics::Metrics,
    own::Ownership,
    shared::Shared,
};

/// Between looks at a shard's owner.
const PAUSE: Duration = Duration::from_millis(40);
/// How much later than others a process claims that gave its shards up as it was too slow: a
/// slowed VM stays so for some seconds.
const UNFIT_LATER: Duration = Duration::from_millis(2_500);
const UNFIT_FOR: Duration = Duration::from_secs(10);
/// How long what a claim has read is kept for the next one, which is due at once if nobody else owns
/// the shard meanwhile.
const READ_KEPT: Duration = Duration::from_secs(10);

/// What a process needs to own shards.
#[derive(Debug, Clone)]
pub(crate) struct Elect {
    pub settings: NodeSettings,
    pub store: Store,
    pub shared: Shared,
    pub metrics: Metrics,
    /// Drawn at random at the start of the process.
    pub process: u64,
    pub stop: watch::Receiver<bool>,
}

/// Watches all shards until the process stops.
pub(crate) async fn run(elect: Elect) {
    let layout = loop {
        if let Some(layout) = elect.shared.lock().directory.layout() {
            break layout;
        }
        if *elect.stop.borrow() {
            return;
        }
        sleep(PAUSE).await;
    };
    join_all(layout.all().map(|shard| Watch::new(elect.clone(), shard, layout.shards).run())).await;
}

/// The watch over one shard.
struct Watch {
    elect: Elect,
    shard: ShardId,
    shards: u16,
    election: Election,
    /// How long a call to the log takes.
    rtt: Duration,
    /// The last epoch under which this process owned the shard or failed to.
    ended_epoch: u64,
    unfit_until: Instant,
    /// When the log last gave a claim no answer.
    lost_at: Instant,
    /// Of a claim that got no further as the log did not answer, and since when.
    unfinished: Option<(Instant, Reading)>,
}

/// What a claim has read of the shard's log.
struct Reading {
    ledger: Ledger,
    jobs: Tail,
    progress: Tail,
    /// Whether some of the progress is of a newer build's making.
    is_newer: bool,
}

/// What a read of progress gave.
struct Progressed {
    /// Whether there was a claim in it, and whether there was anything else.
    seen: bool,
    owner_wrote: bool,
    at_end: bool,
}

impl Reading {
    /// Reads on in the shard's submissions; whether that was all.
    async fn read_jobs(&mut self) -> Option<bool> {
        let read = self.jobs.try_read(Duration::ZERO).await?;
        Some(self.fold_jobs(&read))
    }

    /// Reads the shard's submissions to their end, under a claim that stands; whether the log let it.
    ///
    /// From the claim on nobody else records progress, so all jobs that have any are read then. An end
    /// that a worker lists of a job that is not known would be acknowledged and lost.
    async fn read_all_jobs(&mut self) -> bool {
        loop {
            match self.read_jobs().await {
                Some(true) => return true,
                Some(false) => {}
                None => return false,
            }
        }
    }

    fn fold_jobs(&mut self, read: &Read) -> bool {
        for record in readable("jobs", &read.records) {
            self.ledger.fold(record);
        }
        read.at_end
    }

    async fn read_progress(&mut self) -> Option<Progressed> {
        let read = self.progress.try_read(Duration::ZERO).await?;
        Some(self.fold_progress(&read))
    }

    fn fold_progress(&mut self, read: &Read) -> Progressed {
        let (mut seen, mut owner_wrote) = (false, false);
        for it in read.records.iter().filter(|it| !it.value.is_empty()) {
            match jobs::read("progress", it).map(|record| self.ledger.fold(record)) {
                Ok(FoldEffect::Claim) => seen = true,
                Ok(_) => owner_wrote = true,
                Err(e) => self.is_newer |= matches!(e, RecordError::Version(_)),
            }
        }
        Progressed { seen, owner_wrote, at_end: read.at_end }
    }
}

/// A claim that stands, with all that the log says of the shard.
struct Won {
    epoch: u64,
    /// A time before the claim was sent, and the epoch of the claim before it.
    claimed_at: Instant,
    after: u64,
    ledger: Ledger,
    jobs: Tail,
    predecessors_expired: bool,
}

impl Watch {
    fn new(elect: Elect, shard: ShardId, shards: u16) -> Watch {
        let election = Election::new(clock::now(), &elect.settings.vm, elect.process);
        Watch {
            elect,
            shard,
            shards,
            election,
            rtt: Duration::from_millis(5),
            ended_epoch: 0,
            unfit_until: Instant::default(),
            lost_at: Instant::default(),
            unfinished: None,
        }
    }

    async fn run(mut self) {
        while !*self.elect.stop.borrow() {
            self.unfinished.take_if(|(at, _)| clock::now().since(*at) > READ_KEPT);
            match self.decision() {
                ElectionDecision::Claim => {
                    self.elect.shared.lock().begin_claim();
                    let won = self.claim().await;
                    self.elect.shared.lock().end_claim();
                    match won {
                        Some(won) => self.own(won).await,
                        None => sleep(PAUSE).await,
                    }
                }
                ElectionDecision::Own(_) => sleep(PAUSE).await,
                ElectionDecision::Wait(left) => sleep(PAUSE.min(left)).await,
            }
        }
    }

    fn decision(&mut self) -> ElectionDecision {
        let now = clock::now();
        let known = self.elect.shared.lock();
        // Without a configuration and the newest signs of life, a claim would go by nothing.
        let sure = known.is_fresh() && known.reach.can_detect_lost_owner(now, self.lost_at);
        if known.queues.is_none() || !sure {
            return ElectionDecision::Wait(PAUSE);
        }
        let heartbeat_received = known.directory.owner(self.shard);
        if let Some(heartbeat_received) = heartbeat_received {
            self.election.heartbeat_received(heartbeat_received.at);
        }
        // While the log is away no owner can show that it lives. Taken for dead as it comes back, all
        // would be replaced, at the same moment and by the same few VMs.
        self.election.heartbeat_received(known.reach.recovered_at());
        // An own claim that has ended is nobody's.
        let newest =
            heartbeat_received.map(|it| match it.heartbeat.claim.epoch <= self.ended_epoch {
                true => Claim { vm: String::new(), process: 0, ..it.heartbeat.claim.clone() },
                false => it.heartbeat.claim.clone(),
            });
        let candidate = Candidate {
            vm: &self.elect.settings.vm,
            shard: self.shard,
            shards: self.shards,
            owned: known.owned(),
            cpu_share: self.elect.settings.cpu_share,
        };
        let unfit = if now < self.unfit_until { UNFIT_LATER } else { Duration::ZERO };
        self.election.set_claim_delay(candidate.claim_delay() + unfit);
        self.election.decision(now, newest.as_ref(), self.rtt)
    }

    /// Claims the shard after all that its log holds was read. What came of the claim shows in the
    /// log alone: an answer may be lost, or speak of another's claim under the same epoch.
    async fn claim(&mut self) -> Option<Won> {
        /// Records that come between a read and the claim make another read necessary.
        const TRIES: u32 = 4;
        let mut reading = self.begin_reading();
        let began = clock::now();
        let (jobs, progress, heartbeat_received) = join!(
            reading.jobs.try_read(Duration::ZERO),
            reading.progress.try_read(Duration::ZERO),
            self.could_hear()
        );
        let jobs = jobs.map(|it| reading.fold_jobs(&it));
        let mut progress = progress.map(|it| reading.fold_progress(&it));
        if !heartbeat_received {
            // As with a log that is away: the owner has to be silent while it could be heard.
            self.election.heartbeat_received(clock::now());
        }
        if jobs.is_none() || progress.is_none() || !heartbeat_received {
            return self.keep(reading);
        }
        self.rtt = clock::now().since(began);
        let mut claimed = None;
        let (mut claimed_at, mut after) = (began, 0);
        for _ in 0..TRIES {
            let read = match progress.take() {
                Some(it) => Some(it),
                None => reading.read_progress().await,
            };
            let Some(Progressed { seen, owner_wrote, at_end }) = read else {
                return self.keep(reading);
            };
            // What is read after a claim was refused has just been written.
            if claimed.is_some() && !seen && owner_wrote && self.election.owner_wrote(clock::now())
            {
                let (shard, cause) =
                    (self.shard.0, "the owner writes, though no sign of it is heard");
                log::info!("event=claim_dropped shard={shard} cause=\"{cause}\"");
                return self.keep(reading);
            }
            if !at_end {
                continue;
            }
            let last = reading.ledger.owner();
            let mine = last.filter(|it| self.is_mine(it) && Some(it.epoch) == claimed);
            if let Some(Claim { epoch, predecessors_expired, .. }) = mine.cloned() {
                if !reading.read_all_jobs().await {
                    return self.keep(reading);
                }
                let Reading { ledger, jobs, .. } = reading;
                return Some(Won { epoch, claimed_at, after, ledger, jobs, predecessors_expired });
            }
            let rival = self.election.is_newly_claimed(last);
            if rival || claimed.is_some() && seen {
                break;
            }
            // Tasks that this build cannot see in the progress would be started again.
            if reading.is_newer {
                let (shard, cause) = (self.shard.0, "its progress is of a newer build");
                log::warn!("event=claim_withheld shard={shard} cause=\"{cause}\"");
                self.election.heartbeat_received(clock::now());
                return self.keep(reading);
            }
            // A read may have taken long.
            if *self.elect.stop.borrow() {
                return None;
            }
            let predecessors_expired = self.is_settled(last);
            claimed_at = clock::now();
            after = last.map_or(0, |it| it.epoch);
            claimed = self.append_claim(reading.progress.next()?, predecessors_expired).await;
        }
        // Somebody else was faster, or the log does not answer.
        self.election.restart_timeout(clock::now());
        None
    }

    /// Whether a sign of life of the owner could be read now and all the time before. Where the
    /// partition of states alone is silent, owners run on that nobody hears.
    async fn could_hear(&self) -> bool {
        /// Longer than a read waits for a record, and the pause after it.
        const READS_EXPECTED: Duration = Duration::from_millis(1_300);
        let Some((read_at, from)) = self.elect.shared.lock().states_read else { return false };
        let began = clock::now();
        let store = &self.elect.store;
        let ask = || {
            Box::pin(async {
                match store.read(Topic::States, from, Duration::ZERO, CALL_TIMEOUT).await {
                    Ok(_) | Err(StoreError::Expired(_)) => Ok(()),
                    Err(e) => Err(e),
                }
            })
        };
        // One answer may be lost.
        let answered = select_ok([ask(), ask()]).await.is_ok();
        let rtt = clock::now().since(began);
        answered && began.since(read_at) < READS_EXPECTED + rtt * 2
    }

    /// What an earlier claim has read that the log did not let get any further, or nothing.
    fn begin_reading(&mut self) -> Reading {
        let (shard, store) = (self.shard.0, &self.elect.store);
        let kept = self.unfinished.take().map(|(_, it)| it);
        kept.unwrap_or_else(|| Reading {
            ledger: Ledger::default(),
            jobs: Tail::new(store.clone(), Topic::Jobs(shard)),
            progress: Tail::new(store.clone(), Topic::Progress(shard)),
            is_newer: false,
        })
    }

    /// Ends a claim that the log did not let get any further.
    fn keep(&mut self, reading: Reading) -> Option<Won> {
        let whole = !reading.jobs.has_gap() && !reading.progress.has_gap();
        self.lost_at = clock::now();
        self.unfinished = whole.then_some((self.lost_at, reading));
        None
    }

    /// Appends a claim at the end that was read, and gives its epoch.
    async fn append_claim(&self, at: u64, predecessors_expired: bool) -> Option<u64> {
        let epoch = at + 1;
        let shard = self.shard.0;
        let record = encode(&Record::Claim(self.election.claim(epoch, predecessors_expired)));
        let guard = Guard::Claim { shard, at, epoch };
        let topic = Topic::Progress(shard);
        match self.elect.store.append(topic, &[record], guard, CALL_TIMEOUT).await {
            Ok(_) => log::info!("event=claimed shard={shard} epoch={epoch}"),
            Err(StoreError::EndMismatch | StoreError::Fenced) => {
                log::info!(
                    "event=claim_lost shard={shard} epoch={epoch} cause=\"another came first\""
                );
            }
            Err(e) => {
                log::warn!("event=claim_failed shard={shard} epoch={epoch} cause=\"{e}\"");
            }
        }
        Some(epoch)
    }

    fn is_mine(&self, claim: &Claim) -> bool {
        claim.vm == self.elect.settings.vm && claim.process == self.elect.process
    }

    /// Whether no owner before the next one can renew anything: the last one has surely ended, and
    /// had none before it that may not have.
    ///
    /// Without the second half, an owner that is cut off from the log could go on renewing leases
    /// while the one after it comes and goes, and its tasks would be started elsewhere.
    fn is_settled(&self, last: Option<&Claim>) -> bool {
        let Some(last) = last else { return true };
        let known = self.elect.shared.lock();
        let heartbeat = known.directory.owner(self.shard).map(|it| &it.heartbeat.claim);
        let last = heartbeat.filter(|it| it.epoch == last.epoch).unwrap_or(last);
        (last.released || last.vm == self.elect.settings.vm) && last.predecessors_expired
    }

    async fn own(&mut self, won: Won) {
        let Won { epoch, claimed_at, after, ledger, jobs, predecessors_expired } = won;
        let (shard, elect) = (self.shard, &self.elect);
        log::info!("event=owner shard={} epoch={epoch} settled={predecessors_expired}", shard.0);
        elect.metrics.owner("won");
        let told = {
            let known = elect.shared.lock();
            let ids = ledger.jobs().map(|(id, _)| id);
            ids.filter_map(|id| known.directory.state(id).map(|state| (id, state))).collect()
        };
        let ownership = Ownership {
            elect: elect.clone(),
            shard,
            epoch,
            claim: self.election.claim(epoch, predecessors_expired),
            claimed_at,
            after,
            told,
        };
        let why = ownership.run(ledger, jobs).await;
        log::info!(
            "event=owner_ended shard={} epoch={epoch} cause=\"{}\"",
            shard.0,
            why.description()
        );
        self.elect.metrics.owner("ended");
        let now = clock::now();
        self.ended_epoch = epoch;
        self.election.heartbeat_received(now);
        if why.is_unfit() {
            self.unfit_until = now + UNFIT_FOR;
        }
    }
}
