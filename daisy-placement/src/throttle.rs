//! Throttling of batch work on a worker in favour of the services beside it.

use std::time::Duration;

use daisy_model::{Instant, Objective};

/// The shares that batch work may be throttled to, in thousandths.
pub const SHARE_LEVELS: [u32; 6] = [1000, 750, 500, 350, 200, 100];

/// The slowdown up to which a service is considered undisturbed, in thousandths.
pub const TARGET_SLOWDOWN: u32 = 1150;

/// How the share follows the reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ThrottleRule {
    /// Batch work is never throttled.
    Off,
    /// Batch work is always throttled to one share, in thousandths.
    Static(u32),
    /// Additive increase, multiplicative decrease.
    Aimd,
    /// The level with the least `V * penalty - Q * service`, where `Q` is the accumulated
    /// slowdown of services above the target and `V` weighs a lost thousandth of batch work
    /// against a thousandth of slowdown. Implemented for measured comparison; no policy uses it.
    DriftPlusPenalty(f32),
}

/// How batch work beside services is throttled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ThrottleControl {
    /// How the share follows the reports.
    pub rule: ThrottleRule,
    /// Whether only families known to be noisy are throttled, on workers that run any.
    pub interfering_only: bool,
    /// The highest share of families known to be noisy.
    pub ceiling: Ceiling,
}

/// The highest share of families known to be noisy, however low the last reported slowdown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ceiling {
    /// A fixed share, in thousandths.
    Fixed(u32),
    /// The share that bounds the backlog of batch work at the least harm to services; a greater
    /// `V` tolerates a longer backlog.
    Backlog(f32),
}

impl Ceiling {
    /// Returns the share in thousandths when `backlog` batch tasks wait for each worker.
    ///
    /// This is the level with the least `V * harm - backlog * work`: a neighbour's harm falls
    /// with the square of its share, its work with the share. It is rule (12) of M. Yang et al.,
    /// "Adaptive Configuration of Cloud Video Transcoding", which keeps a queue stable at the
    /// least penalty; the queue here is the waiting batch work.
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

    /// The lowest share: a lower one helps services little more and slows work down much more.
    const MIN_SHARE: u32 = 200;
}

impl ThrottleControl {
    /// Returns the control for the published weights.
    pub fn of(objective: &Objective) -> ThrottleControl {
        let v = objective.tail as f32 / objective.throughput.max(1) as f32;
        let ceiling = Ceiling::Backlog(v * ThrottleControl::BACKLOG_SCALE);
        ThrottleControl { rule: ThrottleRule::Aimd, interfering_only: true, ceiling }
    }

    /// Returns how long slow services are tolerated with batch work at the lowest share before a
    /// neighbour is evicted: longer the more evictions weigh.
    pub fn eviction_delay(objective: &Objective) -> Duration {
        let ratio = objective.evictions as f32 / objective.tail.max(1) as f32;
        ThrottleControl::MIN_EVICTION_DELAY
            + Duration::from_secs_f32(ThrottleControl::EVICTION_DELAY_SECONDS * ratio.min(1.0))
    }

    /// Twice the delay of reports.
    const MIN_EVICTION_DELAY: Duration = Duration::from_secs(14);
    /// The seconds added where evictions weigh as much as the tail latency.
    const EVICTION_DELAY_SECONDS: f32 = 300.0;
    /// The factor from the ratio of tail to throughput to waiting tasks per worker: `V` is about
    /// 3 for Beaulac and 12 for Confeitaria, by `daisy-measure interference`.
    const BACKLOG_SCALE: f32 = 0.5;
}

/// A worker's usage report, received some seconds after its measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSignal {
    /// The slowdown of the worst service, in thousandths.
    pub slowdown: u32,
    /// The processor use of the worker, in thousandths of its capacity.
    pub cpu_use: u32,
    /// The processor use above which batch work is throttled, in thousandths.
    pub max_cpu_use: u32,
}

/// The throttling state of one worker's batch work.
#[derive(Debug, Clone, Copy)]
pub struct Throttle {
    share: f32,
    /// The accumulated slowdown above the target that has not been compensated yet.
    excess_slowdown: f32,
    /// Since when reports have been bad at the lowest share.
    at_minimum_since: Option<Instant>,
    /// No further cut before this time: reports do not show the effect of the last one yet.
    next_cut_at: Instant,
    /// When the last report was received.
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
    /// The increase of the share for each second of good reports, in thousandths.
    const INCREASE_PER_SECOND: f32 = 12.5;
    /// The most seconds of increase for one good report.
    const MAX_INCREASE_SECONDS: f32 = 10.0;
    /// The fraction of the share that a cut leaves.
    const DECREASE_FACTOR: f32 = 0.6;
    const MIN_SHARE: f32 = 200.0;
    /// The time from a cut until reports show its effect; reports are delayed by some seconds.
    const REPORT_LAG: Duration = Duration::from_secs(7);

    /// Returns the share in force, in thousandths.
    pub fn share(&self) -> u32 {
        self.share as u32
    }

    /// Whether throttling alone has not helped for `eviction_delay`, so that the worst neighbour
    /// should be evicted.
    pub fn is_ineffective(&self, now: Instant, eviction_delay: Duration) -> bool {
        self.at_minimum_since.is_some_and(|since| now >= since + eviction_delay)
    }

    /// Restarts the measurement of `is_ineffective` after a neighbour was evicted.
    pub fn restart_ineffective_timer(&mut self) {
        self.at_minimum_since = None;
    }

    /// Handles a report and returns the share to set.
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

    /// Returns the next share, which rises with time rather than with reports, since reports
    /// come at any rate.
    ///
    /// Cuts are at least the report delay apart: otherwise reports from before a cut would cut
    /// again and again, down to the lowest share, for one burst.
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

    /// Returns the next share by drift plus penalty.
    ///
    /// The queue is the accumulated slowdown of services above the target. The service of a
    /// level is the neighbours' use that it takes away, whose harm grows more than in
    /// proportion. Its penalty is the lost batch work.
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
