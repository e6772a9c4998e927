//! When an entry VM claims the workers.

use std::time::Duration;

use daisy_model::Instant;

use crate::{Claim, ShardId, shard::hash};

/// Silence of the owner after which others claim.
///
/// An owner writes at least every 400 ms and a write takes up to 300 ms on a slow platform; so
/// two signs of life may be missed. A claim that comes too early is safe and costs one pass over
/// the workers.
const SILENCE: Duration = Duration::from_millis(1_400);

/// Time without a sign of life from which on the owner is replaced though it writes to the shard's log:
/// callers hear of its jobs by what it tells beside its signs.
const UNHEARD_MAX: Duration = Duration::from_millis(4_200);

/// What an entry VM is to do about the workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionDecision {
    /// This process is the owner under this epoch.
    Own(u64),
    /// Claim now.
    Claim,
    /// Look again after this time.
    Wait(Duration),
}

/// Watches the owner's records from one process.
#[derive(Debug, Clone)]
pub struct Election {
    vm: String,
    process: u64,
    /// How much later than the first this process claims.
    claim_delay: Duration,
    /// When the last record of an owner was read, or the watch began.
    heard_at: Instant,
    /// The same, of its signs of life alone.
    signed_at: Instant,
    /// The epoch of the newest claim that was read in the shard's log.
    claim_seen: u64,
    /// That of the newest sign of life at the last verdict.
    signed: u64,
}

impl Election {
    /// A watch by the process `process` of `vm` that begins now.
    pub fn new(now: Instant, vm: &str, process: u64) -> Election {
        Election {
            vm: vm.to_owned(),
            process,
            claim_delay: Duration::ZERO,
            heard_at: now,
            signed_at: now,
            claim_seen: 0,
            signed: 0,
        }
    }

    /// Sets how much later than the first this process claims, besides the way to the platform.
    pub fn set_claim_delay(&mut self, claim_delay: Duration) {
        self.claim_delay = claim_delay;
    }

    /// The claim of this process under `epoch`; `predecessors_expired` says that no owner before it can renew
    /// anything.
    pub fn claim(&self, epoch: u64, predecessors_expired: bool) -> Claim {
        Claim {
            vm: self.vm.clone(),
            process: self.process,
            epoch,
            released: false,
            predecessors_expired,
        }
    }

    /// A sign of the owner's life came in, or anything else that is as good as one.
    pub fn heartbeat_received(&mut self, now: Instant) {
        self.signed_at = self.signed_at.max(now);
        self.restart_timeout(now);
    }

    /// The silence of an owner counts anew from now on, as nothing came of a claim.
    pub fn restart_timeout(&mut self, now: Instant) {
        self.heard_at = self.heard_at.max(now);
    }

    /// The owner has written to the shard's log of late; whether that counts as a sign of life. Signs
    /// of all owners go through one partition, and may be late while its other writes are not.
    pub fn owner_wrote(&mut self, now: Instant) -> bool {
        let counts = now.since(self.signed_at) < UNHEARD_MAX;
        if counts {
            self.restart_timeout(now);
        }
        counts
    }

    /// Whether somebody has claimed since the last verdict: `newest` is the newest claim in the shard's
    /// log. It is so once for each claim: one that is still without a sign of life when the next
    /// claim is due has died.
    ///
    /// Signs are read some time after they are written. Without this, each of forty VMs that start
    /// together claims in turn; each claim costs a pass over the workers, none counts as settled,
    /// and the VMs farthest from the platform, which are the last, own the shards in the end.
    pub fn is_newly_claimed(&mut self, newest: Option<&Claim>) -> bool {
        let Some(newest) = newest else { return false };
        let mine = newest.vm == self.vm && newest.process == self.process;
        let known = self.signed.max(self.claim_seen);
        self.claim_seen = self.claim_seen.max(newest.epoch);
        newest.epoch > known && !mine
    }

    /// What to do, given the newest claim and how long one's own calls to the platform take:
    /// those who are near it claim first, so that an owner's writes are short.
    pub fn decision(
        &mut self,
        now: Instant,
        newest: Option<&Claim>,
        platform_rtt: Duration,
    ) -> ElectionDecision {
        let claim_delay = (platform_rtt * 8).min(Duration::from_millis(300)) + self.claim_delay;
        // A claim that was read in the shard's log and has no sign of life yet.
        self.signed = newest.map_or(0, |it| it.epoch);
        let unsigned = self.claim_seen > self.signed;
        let wait = match newest {
            Some(it) if !it.released && it.vm == self.vm && it.process == self.process => {
                return ElectionDecision::Own(it.epoch);
            }
            _ if unsigned => SILENCE + claim_delay,
            // The owner was an earlier process of this VM: it is gone for sure.
            Some(it) if it.vm == self.vm => Duration::ZERO,
            Some(it) if it.released => claim_delay,
            None => claim_delay,
            Some(_) => SILENCE + claim_delay,
        };
        match wait.saturating_sub(now.since(self.heard_at)) {
            Duration::ZERO => ElectionDecision::Claim,
            left => ElectionDecision::Wait(left),
        }
    }
}

/// Where a process stands among those that may claim a shard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// The VM's name.
    pub vm: &'a str,
    /// The shard.
    pub shard: ShardId,
    /// How many shards there are.
    pub shards: u16,
    /// How many of them this process owns.
    pub owned: u32,
    /// The VM's share of a core.
    pub cpu_share: f64,
}

impl Candidate<'_> {
    /// How much later than the first it claims. Large VMs come before small ones and those that own
    /// nothing before those that own something; the rest is drawn by name, so that different
    /// shards go to different VMs and an owner's death is followed by few claims.
    pub fn claim_delay(&self) -> Duration {
        /// Twice what an owner of a full shard takes, in cores: less leaves no room for bursts.
        const SMALL_VM: f64 = 0.2;
        /// Longer than the draw below and a claim on a slow platform, whose calls take 0.25 s each, so
        /// that a small VM claims only if no large one does: its link is too narrow for a shard's
        /// lists, which then come late.
        const SMALL_VM_LATER: Duration = Duration::from_millis(2_000);
        /// For each shard owned: as long as a claim takes to be seen everywhere.
        const OWNED_LATER: Duration = Duration::from_millis(350);
        /// The draw, for each shard up to the most: an append and a read take some 20 ms.
        const DRAW_MS: u64 = 40;
        const DRAW_SHARDS_MAX: u64 = 8;
        let draw = DRAW_MS * u64::from(self.shards).min(DRAW_SHARDS_MAX);
        let name = format!("{} {}", self.vm, self.shard.0);
        let drawn = Duration::from_millis(hash(name.as_bytes()) % draw.max(1));
        let small = if self.cpu_share < SMALL_VM { SMALL_VM_LATER } else { Duration::ZERO };
        drawn + small + OWNED_LATER * self.owned
    }
}
