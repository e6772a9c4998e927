//! What the decisions under measurement do not know: who disturbs whom, and when.

/// Kinds of services.
pub const SERVICES: usize = 4;
/// Kinds of batch work; every fourth is noisy.
pub const BATCHES: usize = 12;
/// Length of a wave of noise and the quiet after it, in seconds.
const WAVE_PERIOD: f32 = 240.0;
/// The part of it that is noisy.
const WAVE_SHARE: f32 = 0.3;
/// Processor use of a worker above which everything on it slows down.
const CROWDED: f32 = 0.85;

/// The slowdowns that kinds add to one another.
#[derive(Debug)]
pub struct Truth {
    /// Thousandths added to a service (first index) by one batch neighbour (second).
    pairs: Vec<Vec<f32>>,
    /// Use of processors by kind, as a share of what is declared: services, then batch.
    use_of: Vec<f32>,
}

impl Truth {
    /// Draws a truth from a seed.
    pub fn new(seed: u64) -> Truth {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut row = || (0..BATCHES).map(|kind| pair(kind, &mut rng)).collect();
        let pairs = (0..SERVICES).map(|_| row()).collect();
        let use_of = (0..SERVICES + BATCHES).map(|_| 0.3 + 0.8 * rng.f32()).collect();
        Truth { pairs, use_of }
    }

    /// Processors used by a task of a kind, as a share of what is declared.
    pub fn use_of(&self, service: bool, kind: usize) -> f32 {
        if service { self.use_of[kind] } else { self.use_of[SERVICES + kind] }
    }

    /// How strongly a batch kind disturbs at a time, 0 to 1.
    pub fn wave(&self, kind: usize, seconds: f32) -> f32 {
        if !is_noisy(kind) {
            return 1.0;
        }
        let phase = (seconds / WAVE_PERIOD + kind as f32 / BATCHES as f32).fract();
        if phase < WAVE_SHARE { 1.0 } else { 0.1 }
    }

    /// What one neighbour adds to a service, in thousandths.
    ///
    /// Limiting a neighbour helps more than in proportion, as caches and memory
    /// channels fill up only near full use.
    pub fn added(&self, service: usize, batch: usize, share: u32, seconds: f32) -> f32 {
        let share = share as f32 / 1000.0;
        self.pairs[service][batch] * share * share * self.wave(batch, seconds)
    }

    /// What a crowded worker adds to everything on it, in thousandths.
    pub fn crowding(&self, busy: f32) -> f32 {
        (busy - CROWDED).max(0.0) * 4_000.0
    }
}

fn is_noisy(kind: usize) -> bool {
    kind.is_multiple_of(4)
}

fn pair(kind: usize, rng: &mut fastrand::Rng) -> f32 {
    let is_sensitive = rng.bool();
    match (is_noisy(kind), is_sensitive) {
        (true, true) => 60.0 + 120.0 * rng.f32(),
        (true, false) => 10.0 + 20.0 * rng.f32(),
        (false, _) => 4.0 * rng.f32(),
    }
}
