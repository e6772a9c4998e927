//! How far batch work on a worker is limited for the sake of the services beside it.

use daisy_model::Objective;

/// The shares that a worker's batch work may be limited to, in thousandths.
pub const LEVELS: [u32; 6] = [1000, 750, 500, 350, 200, 100];

/// A slowdown of services that is taken for undisturbed, in thousandths.
pub const TARGET: u32 = 1150;

/// How the share is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// Batch work is never limited.
    Off,
    /// Batch work is always limited to one share, in thousandths.
    Static(u32),
    /// Additive increase, multiplicative decrease.
    Aimd,
    /// The level with the least `V * penalty - Q * service`: drift plus penalty, after
    /// equation (12) of the paper named in `docs/DESIGN.md`. `V` is what a lost thousandth
    /// of batch work weighs against a thousandth of the services' slowdown.
    DriftPlusPenalty(f32),
}

impl Rule {
    /// The rule for the published weights.
    pub fn of(objective: &Objective) -> Rule {
        let _ = objective;
        Rule::Aimd
    }
}

/// What a worker reported, some seconds late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Signal {
    /// The slowdown of the worst service, in thousandths.
    pub slowdown: u32,
    /// Processor use of the worker, in thousandths of what it holds.
    pub busy: u32,
    /// Processor use above which batch work is limited, in thousandths.
    pub limit: u32,
}

/// The limit of one worker's batch work.
#[derive(Debug, Clone, Copy)]
pub struct Throttle {
    share: f32,
    /// Slowdown above the target that has not been made good yet.
    debt: f32,
    /// Reports in a row that were bad at the lowest share.
    stuck: u32,
}

impl Default for Throttle {
    fn default() -> Throttle {
        Throttle { share: 1000.0, debt: 0.0, stuck: 0 }
    }
}

impl Throttle {
    /// Added to the share by each good report, in thousandths.
    const INCREASE: f32 = 50.0;
    /// What a bad report leaves of the share.
    const DECREASE: f32 = 0.6;
    const LEAST: f32 = 100.0;
    /// Bad reports in a row at the lowest share before something has to go.
    const STUCK: u32 = 3;

    /// The share in force, in thousandths.
    pub fn share(&self) -> u32 {
        self.share as u32
    }

    /// Whether limiting alone has not helped: the worst neighbour should leave.
    pub fn is_stuck(&self) -> bool {
        self.stuck >= Throttle::STUCK
    }

    /// Starts to count anew after a neighbour was made to leave.
    pub fn relieved(&mut self) {
        self.stuck = 0;
    }

    /// Takes a report in and returns the share to set.
    pub fn step(&mut self, rule: Rule, signal: Signal) -> u32 {
        let is_bad = signal.slowdown > TARGET;
        self.share = match rule {
            Rule::Off => 1000.0,
            Rule::Static(share) => share as f32,
            Rule::Aimd => self.aimd(is_bad || signal.busy > signal.limit),
            Rule::DriftPlusPenalty(v) => self.drift_plus_penalty(v, signal),
        };
        let is_lowest = self.share <= LEVELS[LEVELS.len() - 1] as f32;
        self.stuck = if is_bad && is_lowest { self.stuck + 1 } else { 0 };
        self.share()
    }

    fn aimd(&self, is_bad: bool) -> f32 {
        if is_bad {
            (self.share * Throttle::DECREASE).max(Throttle::LEAST)
        } else {
            (self.share + Throttle::INCREASE).min(1000.0)
        }
    }

    /// The queue is the services' slowdown above the target that was not made good; a
    /// level's service is what it takes off the neighbours' use, which hurts more than in
    /// proportion; its penalty is the batch work lost.
    fn drift_plus_penalty(&mut self, v: f32, signal: Signal) -> f32 {
        let over = signal.slowdown as f32 - TARGET as f32;
        self.debt = (self.debt + over).clamp(0.0, 10_000.0);
        let cost = |level: &u32| {
            let share = *level as f32 / 1000.0;
            v * (1.0 - share) * 1000.0 - self.debt * (1.0 - share * share)
        };
        let best = LEVELS.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.copied().unwrap_or(1000) as f32
    }
}
