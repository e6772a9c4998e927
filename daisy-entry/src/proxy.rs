//! The request side of an entry VM: an HTTP proxy between callers and backend servers.
//!
//! `daisy-routing` decides; the modules here own sockets and timers. [`Proxy::serve`] runs it, a
//! [`RoutesWatch`] provides the services, and the control side uses it through [`RequestSide`].

use std::{
    future::Future,
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use daisy_model::{DcId, VmId};
use daisy_routing::{KeyAnswer, KeyQuery, Routes};
use daisy_settings::{Limits, Settings};
use prometheus_client::registry::Registry;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    boundary::{PeerKeys, RequestSide, RoutesWatch},
    proxy::{
        core::{Core, MAX_KEYED_IN_PROGRESS},
        pool::lock,
        request::Requests,
        serve::DrainStage,
    },
};

mod answer;
mod body;
mod clock;
mod core;
mod forward;
mod guard;
mod head;
mod keyed;
mod metrics;
mod pool;
mod request;
mod serve;
mod stored;
mod tries;

pub use self::body::{AnswerBody, BodyError, Streamed};

/// Interval between checks of the queue for requests that can no longer finish in time.
const QUEUE_TICK: Duration = Duration::from_millis(5);

/// Interval between the checks while no request waits: at 5 ms an idle entry VM spent one percent
/// of a core on waking up. It is much shorter than the gap by which a freeze of the process is
/// detected.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// Interval between updates of the homes of keys from the routes.
const HOMES_INTERVAL: Duration = Duration::from_secs(1);

/// Options of a [`Proxy`].
#[derive(Debug, Clone)]
pub struct Options {
    /// This VM.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// Limits against abuse.
    pub limits: Limits,
    /// In a planned stop, the time between reporting not ready and closing the callers' port.
    pub balancer_delay: Duration,
    /// Seeds the random choice of backend servers and request IDs; differs between processes.
    pub seed: u64,
}

impl Options {
    /// Returns the options that `settings` specify.
    pub fn new(settings: &Settings, seed: u64) -> Options {
        Options {
            vm: settings.vm,
            dc: settings.data_centre,
            limits: settings.limits.clone(),
            balancer_delay: settings.timing.balancer_delay,
            seed,
        }
    }
}

/// The request side of an entry VM; clones share it.
#[derive(Debug, Clone)]
pub struct Proxy<K> {
    core: Arc<Core>,
    routes: RoutesWatch,
    peers: K,
    stage: Arc<watch::Sender<DrainStage>>,
    done: watch::Receiver<bool>,
    finished: Arc<watch::Sender<bool>>,
}

impl<K: PeerKeys<KeyQuery, KeyAnswer>> Proxy<K> {
    /// Creates a proxy that serves the services in `routes` and queries other entry VMs through
    /// `peers`.
    pub fn new(options: Options, routes: RoutesWatch, peers: K) -> Proxy<K> {
        let (finished, done) = watch::channel(false);
        Proxy {
            core: Arc::new(Core::new(options)),
            routes,
            peers,
            stage: Arc::new(watch::Sender::new(DrainStage::Serving)),
            done,
            finished: Arc::new(finished),
        }
    }

    /// Returns the client that queries other entry VMs.
    pub fn peers(&self) -> &K {
        &self.peers
    }

    /// Registers the metrics of requests in `registry`.
    pub fn register_metrics(&self, registry: &mut Registry) {
        self.core.metrics.register(registry);
    }

    /// Returns whether a planned stop has begun; `/readyz` reports not ready from then on.
    pub fn is_draining(&self) -> bool {
        self.core.is_draining()
    }

    /// Serves callers on `listener`; `own` handles requests that name no service.
    ///
    /// Returns once [`RequestSide::drain`] has closed the listener and every connection has ended.
    pub async fn serve(&self, listener: TcpListener, own: viz::Router) -> io::Result<()> {
        log::info!("event=serving callers={}", listener.local_addr()?);
        let own = Arc::new(viz::Tree::from(own));
        let requests = Requests { core: Arc::clone(&self.core), peers: self.peers.clone() };
        let served = async {
            serve::serve(requests, listener, own, self.stage.subscribe()).await;
            self.hand_over_all_keys().await;
        };
        tokio::select! {
            () = served => {}
            () = self.follow_routes() => {}
        }
        self.finished.send_replace(true);
        Ok(())
    }

    /// Waits for keyed requests whose callers have disconnected, then hands the keys over.
    async fn hand_over_all_keys(&self) {
        let _ = self.core.keyed_permits.acquire_many(MAX_KEYED_IN_PROGRESS).await;
        let messages = lock(&self.core.keys).start_handover(self.core.clock.now());
        keyed::hand_over(&self.core, &self.peers, messages, keyed::LEAVE_HANDOVER_TIMEOUT).await;
    }

    /// Applies routes as they change, and ticks the queue and the keys; never returns.
    async fn follow_routes(&self) {
        let mut routes = self.routes.clone();
        let mut last_tick = tokio::time::Instant::now();
        let mut home_ticks = tokio::time::interval(HOMES_INTERVAL);
        home_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        routes.mark_changed();
        loop {
            let pause = if self.core.has_waiting() { QUEUE_TICK } else { IDLE_TICK };
            tokio::select! {
                Ok(()) = routes.changed() => {
                    let routes = Arc::clone(&routes.borrow_and_update());
                    self.core.set_routes(&routes);
                    self.refresh_key_homes(&routes);
                }
                _ = home_ticks.tick() => self.refresh_key_homes(&self.routes.borrow()),
                () = tokio::time::sleep_until(last_tick + pause) => {
                    self.core.tick();
                    last_tick = tokio::time::Instant::now();
                }
                // A request waits now, so the next pause is the short one.
                () = self.core.queued.notified() => {}
            }
        }
    }

    fn refresh_key_homes(&self, routes: &Routes) {
        let messages = self.core.update_key_homes(routes);
        if !messages.is_empty() {
            let Proxy { core, peers, .. } = self.clone();
            tokio::spawn(async move {
                keyed::hand_over(&core, &peers, messages, keyed::JOIN_HANDOVER_TIMEOUT).await;
            });
        }
    }
}

impl<K: PeerKeys<KeyQuery, KeyAnswer>> RequestSide<KeyQuery, KeyAnswer> for Proxy<K> {
    fn in_flight(&self) -> Vec<(VmId, u32)> {
        self.core.in_flight()
    }

    fn peer_in_flight(&self, peer: VmId, in_flight: Vec<(VmId, u32)>) {
        self.core.peer_in_flight(peer, &in_flight);
    }

    async fn answer(&self, from: VmId, query: KeyQuery) -> KeyAnswer {
        self.core.answer_key(from, query)
    }

    fn drain(&self) -> impl Future<Output = ()> + Send {
        let mut done = self.done.clone();
        async move {
            let first = !self.core.draining.swap(true, Ordering::Relaxed);
            if first {
                log::info!("event=draining vm={}", self.core.options.vm);
                self.stage.send_replace(DrainStage::Leaving);
                tokio::time::sleep(self.core.options.balancer_delay).await;
                self.stage.send_replace(DrainStage::Closed);
            }
            let _ = done.wait_for(|done| *done).await;
        }
    }
}
