//! When an entry VM claims the workers.

use std::time::Duration;

use daisy_model::Instant;

use crate::Claim;

/// Silence of the owner after which others claim.
///
/// An owner writes at least every 400 ms and a write takes up to 300 ms on a slow platform; so
/// two signs of life may be missed. A claim that comes too early is safe and costs one pass over
/// the workers.
const SILENCE: Duration = Duration::from_millis(1_400);

/// What an entry VM is to do about the workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
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
    /// When the last record of an owner was read, or the watch began.
    heard_at: Instant,
}

impl Election {
    /// A watch by the process `process` of `vm` that begins now.
    pub fn new(now: Instant, vm: &str, process: u64) -> Election {
        Election { vm: vm.to_owned(), process, heard_at: now }
    }

    /// The claim of this process under `epoch`.
    pub fn claim(&self, epoch: u64, released: bool) -> Claim {
        Claim { vm: self.vm.clone(), process: self.process, epoch, released }
    }

    /// Records of the owner came in.
    pub fn heard(&mut self, now: Instant) {
        self.heard_at = now;
    }

    /// What to do, given the newest claim and how long one's own calls to the platform take:
    /// those who are near it claim first, so that an owner's writes are short.
    pub fn verdict(&self, now: Instant, newest: Option<&Claim>, platform_rtt: Duration) -> Verdict {
        let rank = (platform_rtt * 8).min(Duration::from_millis(300));
        let wait = match newest {
            Some(it) if !it.released && it.vm == self.vm && it.process == self.process => {
                return Verdict::Own(it.epoch);
            }
            // The owner was an earlier process of this VM: it is gone for sure.
            Some(it) if it.vm == self.vm => Duration::ZERO,
            Some(it) if it.released => rank,
            None => rank,
            Some(_) => SILENCE + rank,
        };
        match wait.saturating_sub(now.since(self.heard_at)) {
            Duration::ZERO => Verdict::Claim,
            left => Verdict::Wait(left),
        }
    }
}
