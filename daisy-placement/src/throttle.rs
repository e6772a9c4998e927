//! How far batch work on a worker is limited for the sake of the services beside it.

use std::time::Duration;

use daisy_model::{Instant, Objective};

/// The shares that a worker's batch work may be limited to, in thousandths.
pub const SHARE_LEVELS: [u32; 6] = [1000, 750, 500, 350, 200, 100];

/// A slowdown of services that is taken for undisturbed, in thousandths.
pub const TARGET_SLOWDOWN: u32 = 1150;

/// How the share follows the reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ThrottleRule {
    /// Batch work is never limited.
    Off,
    /// Batch work is always limited to one share, in thousandths.
    Static(u32),
    /// Additive increase, multiplicative decrease.
    Aimd,
    /// The level with the least `V * penalty - Q * service`, `Q` being the slowdown of
    /// services that was not made good; `V` weighs a lost thousandth of batch work against
    /// a thousandth of slowdown. Measured for comparison and in no policy's use.
    DriftPlusPenalty(f32),
}

/// How batch work beside services is limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ThrottleControl {
    /// How the share follows the reports.
    pub rule: ThrottleRule,
    /// Whether only the kinds that are known for noisy are limited, where there are any.
    pub interfering_only: bool,
    /// The most that such kinds get at any time.
    pub ceiling: Ceiling,
}

/// The most that kinds known for noisy get, however quiet the last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ceiling {
    /// One share, in thousandths.
    Fixed(u32),
    /// The share that keeps the backlog of batch work in bounds, at the least harm to
    /// services; a greater `V` bears a longer backlog.
    Backlog(f32),
}

impl Ceiling {
    /// The share in thousandths when `backlog` batch tasks wait for each worker.
    ///
    /// The level with the least `V * harm - backlog * work`: a neighbour's harm falls with the
    /// square of its share, its work with the share. This is the rule (12) of M. Yang et al.,
    /// "Adaptive Configuration of Cloud Video Transcoding", which keeps a queue stable at
    /// the least penalty; the queue here is the batch work that waits.
    pub fn share(self, backlog: f32) -> u32 {
        let v = match self {
            Ceiling::Fixed(share) => return share,
            Ceiling::Backlog(v) => v,
        };
        let cost = |level: &u32| {
            let share = *level as f32 / 1000.0;
            v * share * share - backlog * share
        };
        let levels = SHARE_LEVELS.iter().filter(|level| **level >= Ceiling::MIN_SHARE);
        levels.min_by(|a, b| cost(a).total_cmp(&cost(b))).copied().unwrap_or(1000)
    }

    /// Less helps services little more and work much less.
    const MIN_SHARE: u32 = 200;
}

impl ThrottleControl {
    /// The control for the published weights.
    pub fn of(objective: &Objective) -> ThrottleControl {
        let v = objective.tail as f32 / objective.throughput.max(1) as f32;
        let ceiling = Ceiling::Backlog(v * ThrottleControl::BACKLOG_SCALE);
        ThrottleControl { rule: ThrottleRule::Aimd, interfering_only: true, ceiling }
    }

    /// How long services are borne to be slow, with batch work limited as far as it goes,
    /// before a neighbour is evicted: longer the more evictions weigh.
    pub fn eviction_delay(objective: &Objective) -> Duration {
        let ratio = objective.evictions as f32 / objective.tail.max(1) as f32;
        ThrottleControl::MIN_EVICTION_DELAY
            + Duration::from_secs_f32(ThrottleControl::EVICTION_DELAY_SECONDS * ratio.min(1.0))
    }

    /// Twice the lag of reports.
    const MIN_EVICTION_DELAY: Duration = Duration::from_secs(14);
    /// Seconds that are added where evictions weigh as much as the tail.
    const EVICTION_DELAY_SECONDS: f32 = 300.0;
    /// Turns the ratio of tail to throughput into waiting tasks a worker: `V` of about 3 for
    /// Beaulac and 12 for Confeitaria, by `daisy-measure interference`.
    const BACKLOG_SCALE: f32 = 0.5;
}

/// What a worker reported, some seconds late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSignal {
    /// The slowdown of the worst service, in thousandths.
    pub slowdown: u32,
    /// Processor use of the worker, in thousandths of what it holds.
    pub cpu_use: u32,
    /// Processor use above which batch work is limited, in thousandths.
    pub max_cpu_use: u32,
}

/// The limit of one worker's batch work.
#[derive(Debug, Clone, Copy)]
pub struct Throttle {
    share: f32,
    /// Slowdown above the target that has not been made good yet.
    excess_slowdown: f32,
    /// Since when reports have been bad at the lowest share.
    at_minimum_since: Option<Instant>,
    /// No further cut before: what the last one did is not in the reports yet.
    next_cut_at: Instant,
    /// When the last report came.
    last_step_at: Option<Instant>,
}

impl Default for Throttle {
    fn default() -> Throttle {
        Throttle {
            share: 1000.0,
            excess_slowdown: 0.0,
            at_minimum_since: None,
            next_cut_at: Instant(0),
            last_step_at: None,
        }
    }
}

impl Throttle {
    /// Added to the share for each second of good reports, in thousandths.
    const INCREASE_PER_SECOND: f32 = 12.5;
    /// The most seconds that one good report counts for.
    const MAX_INCREASE_SECONDS: f32 = 10.0;
    /// What a cut leaves of the share.
    const DECREASE_FACTOR: f32 = 0.6;
    const MIN_SHARE: f32 = 200.0;
    /// From a cut until reports show its effect; reports lag by some seconds.
    const REPORT_LAG: Duration = Duration::from_secs(7);

    /// The share in force, in thousandths.
    pub fn share(&self) -> u32 {
        self.share as u32
    }

    /// Whether limiting alone has not helped for `eviction_delay`: the worst neighbour should leave.
    pub fn is_ineffective(&self, now: Instant, eviction_delay: Duration) -> bool {
        self.at_minimum_since.is_some_and(|since| now >= since + eviction_delay)
    }

    /// Starts to count anew after a neighbour was made to leave.
    pub fn restart_ineffective_timer(&mut self) {
        self.at_minimum_since = None;
    }

    /// Takes a report in and returns the share to set.
    pub fn step(&mut self, now: Instant, rule: ThrottleRule, signal: UsageSignal) -> u32 {
        let is_bad = signal.slowdown > TARGET_SLOWDOWN;
        let elapsed = self.last_step_at.replace(now).map_or(0.0, |at| now.since(at).as_secs_f32());
        self.share = match rule {
            ThrottleRule::Off => 1000.0,
            ThrottleRule::Static(share) => share as f32,
            ThrottleRule::Aimd => {
                self.aimd(now, elapsed, is_bad || signal.cpu_use > signal.max_cpu_use)
            }
            ThrottleRule::DriftPlusPenalty(v) => self.drift_plus_penalty(v, signal),
        };
        let is_at_minimum = self.share <= Throttle::MIN_SHARE;
        if !(is_bad && is_at_minimum) {
            self.at_minimum_since = None;
        } else if self.at_minimum_since.is_none() {
            self.at_minimum_since = Some(now);
        }
        self.share()
    }

    /// Rises with time, not with reports, which come at any pace.
    ///
    /// Cuts no more often than the lag: reports of the time before a cut would cut again
    /// and again, down to the floor, for one wave.
    fn aimd(&mut self, now: Instant, elapsed: f32, is_bad: bool) -> f32 {
        if !is_bad {
            let seconds = elapsed.min(Throttle::MAX_INCREASE_SECONDS);
            return (self.share + Throttle::INCREASE_PER_SECOND * seconds).min(1000.0);
        }
        if now < self.next_cut_at {
            return self.share;
        }
        self.next_cut_at = now + Throttle::REPORT_LAG;
        (self.share * Throttle::DECREASE_FACTOR).max(Throttle::MIN_SHARE)
    }

    /// The queue is the services' slowdown above the target that was not made good; a
    /// level's service is what it takes off the neighbours' use, which hurts more than in
    /// proportion; its penalty is the batch work lost.
    fn drift_plus_penalty(&mut self, v: f32, signal: UsageSignal) -> f32 {
        let excess = signal.slowdown as f32 - TARGET_SLOWDOWN as f32;
        self.excess_slowdown = (self.excess_slowdown + excess).clamp(0.0, 10_000.0);
        let cost = |level: &u32| {
            let share = *level as f32 / 1000.0;
            v * (1.0 - share) * 1000.0 - self.excess_slowdown * (1.0 - share * share)
        };
        let best = SHARE_LEVELS.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.copied().unwrap_or(1000) as f32
    }
}
