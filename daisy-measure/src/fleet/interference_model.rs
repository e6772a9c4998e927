//! Which tasks interfere with which, and when; the decisions under measurement do not know this.

/// Number of kinds of services.
pub const SERVICE_KINDS: usize = 4;
/// Number of kinds of batch work; every fourth kind is noisy.
pub const BATCH_KINDS: usize = 12;
/// Period in which a noisy kind interferes strongly for a time and then weakly, in seconds.
const WAVE_PERIOD_S: f32 = 240.0;
/// Share of the period in which a noisy kind interferes strongly.
const NOISY_SHARE: f32 = 0.3;
/// Share of a worker's processors in use above which all its tasks slow down.
const OVERLOAD_THRESHOLD: f32 = 0.85;

/// The slowdowns that kinds of tasks cause one another.
#[derive(Debug)]
pub struct InterferenceModel {
    /// Slowdown in thousandths that one batch neighbour (second index) adds to a service (first).
    pair_slowdowns: Vec<Vec<f32>>,
    /// Processors used by each kind, as a share of those declared: services, then batch work.
    cpu_use_share: Vec<f32>,
}

impl InterferenceModel {
    /// Draws a model from a seed.
    pub fn new(seed: u64) -> InterferenceModel {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut draw_row =
            || (0..BATCH_KINDS).map(|kind| draw_pair_slowdown(kind, &mut rng)).collect();
        let pair_slowdowns = (0..SERVICE_KINDS).map(|_| draw_row()).collect();
        let cpu_use_share =
            (0..SERVICE_KINDS + BATCH_KINDS).map(|_| 0.3 + 0.8 * rng.f32()).collect();
        InterferenceModel { pair_slowdowns, cpu_use_share }
    }

    /// Returns the processors used by a task of a kind, as a share of those declared.
    pub fn cpu_use_share(&self, is_service: bool, kind: usize) -> f32 {
        if is_service { self.cpu_use_share[kind] } else { self.cpu_use_share[SERVICE_KINDS + kind] }
    }

    /// Returns how strongly a batch kind interferes at a time, from 0 to 1.
    pub fn interference_wave(&self, kind: usize, seconds: f32) -> f32 {
        if !is_noisy(kind) {
            return 1.0;
        }
        let phase = (seconds / WAVE_PERIOD_S + kind as f32 / BATCH_KINDS as f32).fract();
        if phase < NOISY_SHARE { 1.0 } else { 0.1 }
    }

    /// Returns the slowdown in thousandths that one batch neighbour adds to a service.
    ///
    /// It falls with the square of the neighbour's processor share, since caches and memory channels
    /// are exhausted only near full use.
    pub fn added_slowdown(&self, service: usize, batch: usize, share: u32, seconds: f32) -> f32 {
        let share = share as f32 / 1000.0;
        self.pair_slowdowns[service][batch] * share * share * self.interference_wave(batch, seconds)
    }

    /// Returns the slowdown in thousandths that high processor use of a worker adds to all its tasks.
    pub fn overload_slowdown(&self, cpu_use: f32) -> f32 {
        (cpu_use - OVERLOAD_THRESHOLD).max(0.0) * 4_000.0
    }
}

fn is_noisy(kind: usize) -> bool {
    kind.is_multiple_of(4)
}

fn draw_pair_slowdown(kind: usize, rng: &mut fastrand::Rng) -> f32 {
    let is_sensitive = rng.bool();
    match (is_noisy(kind), is_sensitive) {
        (true, true) => 60.0 + 120.0 * rng.f32(),
        (true, false) => 10.0 + 20.0 * rng.f32(),
        (false, _) => 4.0 * rng.f32(),
    }
}
