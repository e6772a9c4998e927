//! When an entry VM claims a shard.

use std::time::Duration;

use daisy_model::Instant;

use crate::{Claim, ShardId, shard::hash};

/// Other VMs claim the shard after this time without a heartbeat of its owner.
///
/// An owner writes at least every 400 ms, and a write takes up to 300 ms on a slow platform, so two
/// heartbeats may be missed. A claim that comes too early is safe and costs one pass over the
/// workers.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// The owner is replaced after this time without a heartbeat even if it writes to the shard's log:
/// callers learn the states of its jobs from what it publishes along with its heartbeats.
const HEARTBEAT_GAP_MAX: Duration = Duration::from_millis(4_200);

/// What an entry VM is to do about a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionDecision {
    /// This process is the owner under this epoch.
    Own(u64),
    /// Claim now.
    Claim,
    /// Decide again after this time.
    Wait(Duration),
}

/// Whether the owners before a claim can still renew leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PredecessorState {
    /// There was no owner before.
    NoneBefore,
    /// The last owner has released the shard, and all before it have ended.
    Released,
    /// The last owner was an earlier process of the claiming VM, and all before it have ended.
    SameVm,
    /// The last owner has ended, but an earlier one may still run.
    EarlierMayRun,
    /// The last owner may still run.
    LastMayRun,
}

impl PredecessorState {
    /// Returns what the newest claim, or its owner's last heartbeat, says to a process of `vm` that
    /// claims next.
    ///
    /// Without the condition on the earlier owners, an owner that cannot reach the log could go on
    /// renewing leases while its successor starts and ends, and its tasks would be started a second
    /// time elsewhere.
    pub fn new(last: Option<&Claim>, vm: &str) -> PredecessorState {
        match last {
            None => PredecessorState::NoneBefore,
            Some(it) if !it.released && it.vm != vm => PredecessorState::LastMayRun,
            Some(it) if !it.predecessors_expired => PredecessorState::EarlierMayRun,
            Some(it) if it.released => PredecessorState::Released,
            Some(_) => PredecessorState::SameVm,
        }
    }

    /// Whether no owner before the claim can renew leases any more.
    pub fn have_ended(self) -> bool {
        match self {
            PredecessorState::NoneBefore
            | PredecessorState::Released
            | PredecessorState::SameVm => true,
            PredecessorState::EarlierMayRun | PredecessorState::LastMayRun => false,
        }
    }

    /// Returns the state's name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            PredecessorState::NoneBefore => "none",
            PredecessorState::Released => "released",
            PredecessorState::SameVm => "same_vm",
            PredecessorState::EarlierMayRun => "earlier_may_run",
            PredecessorState::LastMayRun => "last_may_run",
        }
    }
}

/// The state of one process's watch over a shard's owner.
#[derive(Debug, Clone)]
pub struct Election {
    vm: String,
    process: u64,
    /// How much later than the first candidate this process claims.
    claim_delay: Duration,
    /// When the timeout for the owner's records was last restarted: a record was read, or the
    /// watch began.
    timeout_started_at: Instant,
    /// When the owner's last heartbeat was read, or the watch began.
    last_heartbeat_at: Instant,
    /// The epoch of the newest claim that was read in the shard's log.
    newest_claim_epoch: u64,
    /// The epoch of the newest heartbeat at the last decision.
    newest_heartbeat_epoch: u64,
}

impl Election {
    /// Creates a watch by the process `process` of `vm` that begins now.
    pub fn new(now: Instant, vm: &str, process: u64) -> Election {
        Election {
            vm: vm.to_owned(),
            process,
            claim_delay: Duration::ZERO,
            timeout_started_at: now,
            last_heartbeat_at: now,
            newest_claim_epoch: 0,
            newest_heartbeat_epoch: 0,
        }
    }

    /// Sets how much later than the first candidate this process claims, besides the delay for its
    /// distance to the platform.
    pub fn set_claim_delay(&mut self, claim_delay: Duration) {
        self.claim_delay = claim_delay;
    }

    /// Returns the claim of this process under `epoch`; `predecessors_expired` says that no earlier
    /// owner can renew anything any more.
    pub fn claim(&self, epoch: u64, predecessors_expired: bool) -> Claim {
        Claim {
            vm: self.vm.clone(),
            process: self.process,
            epoch,
            released: false,
            predecessors_expired,
        }
    }

    /// Records that a heartbeat of the owner was received, or anything else that is equivalent.
    pub fn heartbeat_received(&mut self, now: Instant) {
        self.last_heartbeat_at = self.last_heartbeat_at.max(now);
        self.restart_timeout(now);
    }

    /// Restarts the heartbeat timeout at `now`, for example because a claim did not succeed.
    pub fn restart_timeout(&mut self, now: Instant) {
        self.timeout_started_at = self.timeout_started_at.max(now);
    }

    /// Records that the owner recently wrote to the shard's log, and returns whether that is
    /// accepted in place of a heartbeat. The heartbeats of all owners go through one partition and
    /// may be delayed while the owner's other writes are not.
    pub fn owner_wrote(&mut self, now: Instant) -> bool {
        let is_accepted = now.since(self.last_heartbeat_at) < HEARTBEAT_GAP_MAX;
        if is_accepted {
            self.restart_timeout(now);
        }
        is_accepted
    }

    /// Returns whether another process has claimed since the last decision; `newest` is the newest
    /// claim in the shard's log. This is true only once for each claim: a claimant that is still
    /// without a heartbeat when the next claim is due has died.
    ///
    /// Heartbeats are read some time after they are written. Without this check, forty VMs that
    /// start together would claim one after the other: each claim costs a pass over the workers,
    /// none has `predecessors_expired`, and the VMs farthest from the platform, which claim last,
    /// end up owning the shards.
    pub fn is_newly_claimed(&mut self, newest: Option<&Claim>) -> bool {
        let Some(newest) = newest else { return false };
        let is_own = newest.vm == self.vm && newest.process == self.process;
        let known_epoch = self.newest_heartbeat_epoch.max(self.newest_claim_epoch);
        self.newest_claim_epoch = self.newest_claim_epoch.max(newest.epoch);
        newest.epoch > known_epoch && !is_own
    }

    /// Returns what to do, given the newest claim and the duration of this VM's calls to the
    /// platform. VMs near the platform claim first, so that an owner's writes are fast.
    pub fn decision(
        &mut self,
        now: Instant,
        newest: Option<&Claim>,
        platform_rtt: Duration,
    ) -> ElectionDecision {
        let claim_delay = (platform_rtt * 8).min(Duration::from_millis(300)) + self.claim_delay;
        // A claim was read in the shard's log whose owner has sent no heartbeat yet.
        self.newest_heartbeat_epoch = newest.map_or(0, |it| it.epoch);
        let has_claim_without_heartbeat = self.newest_claim_epoch > self.newest_heartbeat_epoch;
        let wait = match newest {
            Some(it) if !it.released && it.vm == self.vm && it.process == self.process => {
                return ElectionDecision::Own(it.epoch);
            }
            _ if has_claim_without_heartbeat => HEARTBEAT_TIMEOUT + claim_delay,
            // The owner was an earlier process of this VM, which has certainly ended.
            Some(it) if it.vm == self.vm => Duration::ZERO,
            Some(it) if it.released => claim_delay,
            None => claim_delay,
            Some(_) => HEARTBEAT_TIMEOUT + claim_delay,
        };
        match wait.saturating_sub(now.since(self.timeout_started_at)) {
            Duration::ZERO => ElectionDecision::Claim,
            left => ElectionDecision::Wait(left),
        }
    }
}

/// A process that may claim a shard, with what decides how early it claims.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// The VM's name.
    pub vm: &'a str,
    /// The shard.
    pub shard: ShardId,
    /// The number of shards.
    pub shards: u16,
    /// The number of shards that this process owns.
    pub owned: u32,
    /// The VM's processor share, in cores.
    pub cpu_share: f64,
}

impl Candidate<'_> {
    /// Returns how much later than the first candidate this one claims. Large VMs come before small
    /// ones, and VMs that own nothing before those that own a shard; the rest depends on a hash of
    /// the names, so that different shards go to different VMs and an owner's death causes few
    /// claims.
    pub fn claim_delay(&self) -> Duration {
        /// A VM with a smaller share, in cores, is small: this is twice what the owner of a full
        /// shard uses, and less leaves no headroom for bursts.
        const SMALL_VM_CPU_SHARE: f64 = 0.2;
        /// Longer than the spread below plus a claim on a slow platform, whose calls take 0.25 s
        /// each, so that a small VM claims only if no large one does: its link is too narrow for a
        /// shard's worker lists, which then arrive late.
        const SMALL_VM_DELAY: Duration = Duration::from_millis(2_000);
        /// The delay for each shard owned: as long as a claim takes to become visible everywhere.
        const DELAY_PER_OWNED_SHARD: Duration = Duration::from_millis(350);
        /// The delays by name are spread over this time for each shard, up to a number of shards:
        /// an append and a read take about 20 ms.
        const SPREAD_MS_PER_SHARD: u64 = 40;
        const SPREAD_SHARDS_MAX: u64 = 8;
        let spread = SPREAD_MS_PER_SHARD * u64::from(self.shards).min(SPREAD_SHARDS_MAX);
        let name = format!("{} {}", self.vm, self.shard.0);
        let name_delay = Duration::from_millis(hash(name.as_bytes()) % spread.max(1));
        let small_vm_delay =
            if self.cpu_share < SMALL_VM_CPU_SHARE { SMALL_VM_DELAY } else { Duration::ZERO };
        name_delay + small_vm_delay + DELAY_PER_OWNED_SHARD * self.owned
    }
}
