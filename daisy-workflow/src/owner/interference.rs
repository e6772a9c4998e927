//! How much best-effort tasks of one image slow serving tasks of another, learnt from what
//! workers report.
//!
//! The tail latency of a serving task, as a share of its target, is taken as a base plus, for
//! each image of best-effort tasks beside it, a weight times the share of the worker's processors
//! that they use. The weights are fitted to the reports by least squares, none below zero.

use std::sync::Arc;

use daisy_model::{Instant, SortedMap};

/// Reports older than this count for half: the amounts change within seconds, and a worker
/// reports about twice a second.
const HALF_LIFE_S: f64 = 10.0;
/// The weight that a pair begins with: a task on a tenth of a worker then costs 0.4 of a target,
/// so that unknown images are tried one or two to a worker.
const PRIOR_WEIGHT: f64 = 4.0;
/// How firmly it is held to, in squared shares of a worker: some five reports of a task on a
/// tenth of a worker outweigh it.
const PRIOR_STRENGTH: f64 = 0.05;
/// Reports above this many targets count as this many: far out, tails say little.
const TAIL_MAX: f64 = 4.0;
/// Passes of the fit; the next report goes on from where the last fit ended.
const PASSES: usize = 4;

/// What was learnt of all pairs of images.
#[derive(Debug, Clone, Default)]
pub(crate) struct Interference {
    /// Numbers of the images of best-effort tasks.
    images: SortedMap<Arc<str>, usize>,
    serving: SortedMap<Arc<str>, Fit>,
}

/// Weighted sums of one serving image's reports, and the weights fitted to them. Position 0 is the
/// base, the others are images of best-effort tasks.
#[derive(Debug, Clone)]
struct Fit {
    products: Vec<Vec<f64>>,
    answers: Vec<f64>,
    weights: Vec<f64>,
    at: Instant,
}

impl Fit {
    fn new(now: Instant) -> Fit {
        Fit { products: Vec::new(), answers: Vec::new(), weights: Vec::new(), at: now }
    }

    fn grow(&mut self, len: usize) {
        let old = self.weights.len();
        if old >= len {
            return;
        }
        for row in &mut self.products {
            row.resize(len, 0.0);
        }
        self.products.resize(len, vec![0.0; len]);
        self.answers.resize(len, 0.0);
        self.weights.resize(len, PRIOR_WEIGHT);
        if old == 0 {
            self.weights[0] = 0.3;
        }
    }

    fn forget(&mut self, now: Instant) {
        let keep = 0.5f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE_S);
        self.at = now;
        self.answers.iter_mut().for_each(|it| *it *= keep);
        self.products.iter_mut().flatten().for_each(|it| *it *= keep);
    }

    fn add(&mut self, x: &[(usize, f64)], y: f64) {
        for (i, a) in x {
            self.answers[*i] += a * y;
            for (j, b) in x {
                self.products[*i][*j] += a * b;
            }
        }
    }

    /// Coordinate descent: each weight in turn takes its best value at or above zero.
    fn solve(&mut self) {
        for _ in 0..PASSES {
            for i in 0..self.weights.len() {
                let prior = if i == 0 { 0.0 } else { PRIOR_STRENGTH };
                let row = &self.products[i];
                let others: f64 = row.iter().zip(&self.weights).map(|(a, w)| a * w).sum();
                let rest = self.answers[i] - others + row[i] * self.weights[i];
                let scale = row[i] + prior;
                if scale > 0.0 {
                    self.weights[i] = ((rest + prior * PRIOR_WEIGHT) / scale).max(0.0);
                }
            }
        }
    }
}

impl Interference {
    /// Takes a report in: a serving task of `image` had `tail` targets of latency while
    /// best-effort tasks used these shares of its worker's processors.
    pub fn learn(&mut self, now: Instant, image: &Arc<str>, tail: f64, beside: &[(Arc<str>, f64)]) {
        let mut x = vec![(0, 1.0)];
        for (other, share) in beside {
            let next = self.images.len() + 1;
            let at = *self.images.get_or_insert_with(other.clone(), || next);
            match x.iter_mut().find(|(i, _)| *i == at) {
                Some((_, sum)) => *sum += share,
                None => x.push((at, *share)),
            }
        }
        let len = self.images.len() + 1;
        let fit = self.serving.get_or_insert_with(image.clone(), || Fit::new(now));
        fit.grow(len);
        fit.forget(now);
        fit.add(&x, tail.min(TAIL_MAX));
        fit.solve();
    }

    /// The targets of latency that a best-effort task of image `other`, using all of a worker's
    /// processors, would add to a serving task of `image`.
    pub fn weight(&self, image: &str, other: &str) -> f64 {
        let fit = self.find(image);
        let at = self.images.iter().find(|(it, _)| &***it == other).map(|(_, at)| *at);
        let known = fit.zip(at).and_then(|(fit, at)| fit.weights.get(at));
        known.copied().unwrap_or(PRIOR_WEIGHT)
    }

    fn find(&self, image: &str) -> Option<&Fit> {
        self.serving.iter().find(|(it, _)| &***it == image).map(|(_, fit)| fit)
    }
}
