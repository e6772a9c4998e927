//! Second tries: after a failure, or beside a first one that takes long.

use std::time::Duration;

use daisy_model::{Instant, VmId};

use crate::{
    Call, Router, Target,
    router::Placing,
    server::Distance,
    service::{ServiceKey, ServiceState},
};

impl Router {
    /// A second try of a request whose first one failed; `None` when it must not have one.
    ///
    /// `tried` are the backend servers that it has been at. Only for requests that are idempotent
    /// or proven not to have run.
    pub fn retry(
        &mut self,
        now: Instant,
        call: &Call,
        tried: &[VmId],
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let key = self.try_service(&call.service)?;
        let farthest = self.reach(now, key, call);
        self.try_again(now, Placing { key, call, ticket: None, farthest, exclude: tried }, rng)
    }

    /// After how long a request deserves a second try beside its first; `None` for never.
    pub fn hedge_after(&self, call: &Call) -> Option<Duration> {
        let service = self.services.get(self.try_service(&call.service)?)?;
        if call.idempotent { service.hedge_after() } else { None }
    }

    /// A second try beside the first, in the own region only; `None` when it must not have one.
    pub fn hedge(
        &mut self,
        now: Instant,
        call: &Call,
        tried: &[VmId],
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        if !call.idempotent {
            return None;
        }
        let key = self.try_service(&call.service)?;
        let farthest = Distance::Near;
        self.try_again(now, Placing { key, call, ticket: None, farthest, exclude: tried }, rng)
    }

    /// Guards against retries that keep an overload alive, which shows as a service that stays
    /// slow long after its fault has gone: tries beyond the first are a share of recent successes,
    /// and there are none while a first try waits.
    fn try_again(
        &mut self,
        now: Instant,
        placing: Placing<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let in_time = placing.call.deadline.since(now) > self.typical_of(placing.key)?;
        if !in_time || self.queue.has(placing.key) {
            return None;
        }
        if !self.services.get_mut(placing.key)?.retries.try_spend() {
            return None;
        }
        let target = self.try_send(now, placing, rng);
        if target.is_none() {
            self.services.get_mut(placing.key)?.retries.give_back();
        }
        target
    }

    fn typical_of(&self, key: ServiceKey) -> Option<Duration> {
        self.services.get(key).map(ServiceState::typical)
    }
}
