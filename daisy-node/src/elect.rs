//! Following the owner's records, and becoming the owner.

use std::time::Duration;

use daisy_platform::{Guard, NodeSettings, Store, StoreError, Topic};
use daisy_workflow::{Election, Record, Verdict, decode, encode};
use tokio::{sync::watch, time::sleep};

use crate::{
    clock,
    follow::{CALL_TIMEOUT, Tail},
    metrics::Metrics,
    own::{Ended, Ownership},
    shared::Shared,
};

/// How long a read waits for a record of the owner.
const WAIT: Duration = Duration::from_millis(500);
/// Between reads, so that records come in bunches: each call is paid for.
const PAUSE: Duration = Duration::from_millis(80);

/// The task that follows the owner, and is the owner at times.
#[derive(Debug)]
pub(crate) struct Elect {
    pub settings: NodeSettings,
    pub store: Store,
    pub shared: Shared,
    pub metrics: Metrics,
    /// Drawn at random at the start of the process.
    pub process: u64,
    pub stop: watch::Receiver<bool>,
}

impl Elect {
    /// Runs until the process stops.
    pub async fn run(self) {
        let mut tail = Tail::new(self.store.clone(), Topic::Progress);
        let mut election = Election::new(clock::now(), &self.settings.vm, self.process);
        let mut rtt = Duration::from_millis(20);
        while !*self.stop.borrow() {
            let Some(at_end) = self.read(&mut tail, &mut election).await else { continue };
            if !at_end {
                continue;
            }
            match self.verdict(&election, rtt) {
                Verdict::Own(epoch) => self.own(&mut tail, &mut election, epoch).await,
                Verdict::Claim => {
                    let began = clock::now();
                    self.claim(&tail, &mut election).await;
                    rtt = clock::now().since(began);
                }
                Verdict::Wait(left) => sleep(PAUSE.min(left)).await,
            }
        }
    }

    fn verdict(&self, election: &Election, rtt: Duration) -> Verdict {
        let known = self.shared.lock();
        // Without a configuration and the jobs, an owner would have nothing to go by.
        if known.queues.is_none() || known.jobs_read_at.is_none() {
            return Verdict::Wait(PAUSE);
        }
        election.verdict(clock::now(), known.ledger.owner(), rtt)
    }

    /// Reads what is new; whether that was all, or `None` if the call failed.
    async fn read(&self, tail: &mut Tail, election: &mut Election) -> Option<bool> {
        let read = tail.try_read(WAIT).await?;
        let now = clock::now();
        let mut known = self.shared.lock();
        for it in &read.records {
            if it.value.is_empty() {
                continue;
            }
            match decode(&it.key, &it.value) {
                Ok(record) => {
                    if matches!(record, Record::Claim(_)) {
                        election.heard(now);
                    }
                    known.ledger.fold(record);
                }
                Err(e) => log::warn!(
                    "event=record_unreadable topic=progress offset={} cause=\"{e}\"",
                    it.offset
                ),
            }
        }
        if !read.records.is_empty() {
            election.heard(now);
        }
        if read.at_end {
            known.progress_read_at = Some(now);
        }
        Some(read.at_end)
    }

    /// Appends a claim at the end that was read. What came of it shows in the log alone: an
    /// answer may be lost, or speak of another's claim under the same epoch.
    async fn claim(&self, tail: &Tail, election: &mut Election) {
        let Some(at) = tail.next() else { return };
        let epoch = at + 1;
        let record = encode(&Record::Claim(election.claim(epoch, false)));
        let guard = Guard::Claim { at, epoch };
        let outcome = self.store.append(Topic::Progress, &[record], guard, CALL_TIMEOUT).await;
        match outcome {
            Ok(_) => log::info!("event=claimed epoch={epoch}"),
            Err(StoreError::Moved | StoreError::Fenced) => {
                log::info!("event=claim_lost epoch={epoch} cause=\"another came first\"");
            }
            Err(e) => {
                log::warn!("event=claim_failed epoch={epoch} cause=\"{e}\"");
                // The next try waits as long as after a sign of life, so that a store that is
                // away is not pressed.
                sleep(PAUSE).await;
            }
        }
    }

    async fn own(&self, tail: &mut Tail, election: &mut Election, epoch: u64) {
        let Some(next) = tail.next() else { return };
        let ownership = Ownership {
            settings: self.settings.clone(),
            store: self.store.clone(),
            shared: self.shared.clone(),
            metrics: self.metrics.clone(),
            stop: self.stop.clone(),
            epoch,
            next,
            claim: election.claim(epoch, false),
            predecessor_gone: self.predecessor_gone(),
        };
        log::info!("event=owner epoch={epoch}");
        self.metrics.owner("won");
        let Ended { next, why } = ownership.run().await;
        log::info!("event=owner_ended epoch={epoch} cause=\"{why}\"");
        self.metrics.owner("ended");
        tail.skip_to(next);
        election.heard(clock::now());
        self.step_down(epoch);
    }

    /// Until somebody else claims, the newest claim is still that of this process, which no
    /// longer acts on it.
    fn step_down(&self, epoch: u64) {
        let mut known = self.shared.lock();
        if let Some(mut claim) = known.ledger.owner().cloned()
            && claim.epoch == epoch
        {
            claim.process = 0;
            claim.vm = String::new();
            known.ledger.fold(Record::Claim(claim));
        }
    }

    /// Whether the owner before has surely ended: it said so, or was a process of this VM.
    fn predecessor_gone(&self) -> bool {
        let known = self.shared.lock();
        known.ledger.previous_owner().is_none_or(|it| it.released || it.vm == self.settings.vm)
    }
}
