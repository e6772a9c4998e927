//! Second tries of a request: retries after a failure and hedges beside a slow first try.

use std::time::Duration;

use daisy_model::{Instant, VmId};

use crate::{
    Call, Router, Target,
    router::PendingSend,
    server::Distance,
    service::{ServiceKey, ServiceState},
};

impl Router {
    /// Chooses the target of a second try after a failed one; `None` if none is allowed.
    ///
    /// `tried` are the backend servers that have already been tried. Must be called only for
    /// requests that are idempotent or proven not to have run.
    pub fn retry(
        &mut self,
        now: Instant,
        call: &Call,
        tried: &[VmId],
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let key = self.find_service(&call.service)?;
        let max_distance = self.max_distance(now, key, call);
        self.try_again(
            now,
            PendingSend { key, call, ticket: None, max_distance, exclude: tried },
            rng,
        )
    }

    /// Returns after how long a second try may be sent beside the first; `None` for never.
    pub fn hedge_after(&self, call: &Call) -> Option<Duration> {
        let service = self.services.get(self.find_service(&call.service)?)?;
        if call.idempotent { service.hedge_after() } else { None }
    }

    /// Chooses the target of a second try beside the first, in the local region only; `None` if
    /// none is allowed.
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
        let key = self.find_service(&call.service)?;
        let max_distance = Distance::SameRegion;
        self.try_again(
            now,
            PendingSend { key, call, ticket: None, max_distance, exclude: tried },
            rng,
        )
    }

    /// Prevents retries from sustaining an overload, which shows as a service that stays slow long
    /// after the fault that caused it has ended: further tries are limited to a share of recent
    /// successes, and none are made while a first try is waiting.
    fn try_again(
        &mut self,
        now: Instant,
        pending: PendingSend<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let in_time = pending.call.deadline.since(now) > self.typical_latency_of(pending.key)?;
        if !in_time || self.queue.has_waiting(pending.key) {
            return None;
        }
        if !self.services.get_mut(pending.key)?.retry_budget.try_spend() {
            return None;
        }
        let target = self.try_send(now, pending, rng);
        if target.is_none() {
            self.services.get_mut(pending.key)?.retry_budget.refund();
        }
        target
    }

    fn typical_latency_of(&self, key: ServiceKey) -> Option<Duration> {
        self.services.get(key).map(ServiceState::typical_latency)
    }
}
