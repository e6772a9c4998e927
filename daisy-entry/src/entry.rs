//! An entry VM's process as a value that can be started, queried for its addresses, and stopped.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use daisy_http::Http;
use daisy_membership::{Membership, Options, RecordSource};
use daisy_routing::Routes;
use daisy_settings::Settings;
use daisy_wire::headers;
use http::{HeaderName, HeaderValue};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::{JoinHandle, JoinSet},
    time::timeout,
};

use crate::{
    boundary::{RequestSide, RoutesWatch},
    callers::{self, Health},
    clock::Clock,
    control::{self, Control, Identity, Input, Outputs},
    metrics::Metrics,
    operators::{self, OperatorContext, Tokens},
    peers::{AllowedPeers, Links, PeerKeyClient, Server, Tail},
    platform::Platform,
    proxy::{self, Proxy},
    reader::{self, ReadPlan, Reader},
    vm_list,
};

/// How long a planned stop waits until all queued records are in the log.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// The addresses on which a process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers, `/healthz`, `/readyz` and `/metrics`.
    pub callers: SocketAddr,
    /// For other entry VMs.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running entry VM; dropping it without [`Entry::stop`] ends it at once like a killed process.
#[derive(Debug)]
pub struct Entry {
    addresses: Addresses,
    control: mpsc::Sender<Input>,
    proxy: Proxy<PeerKeyClient>,
    serving: JoinHandle<()>,
    tasks: JoinSet<()>,
}

/// Starts an entry VM.
///
/// # Errors
///
/// If one of the addresses in `settings` cannot be taken.
pub async fn start(settings: Settings) -> anyhow::Result<Entry> {
    let listeners = Listeners::open(&settings).await?;
    let addresses = listeners.addresses()?;
    let (control, inputs) = mpsc::channel(control::INPUT_QUEUE);
    let (routes, follow_routes) = watch::channel(Arc::new(Routes::default()));
    let context = ProcessContext::new(settings, control.clone());
    let proxy = context.proxy(follow_routes);
    let (metrics, mut registry) = Metrics::registered();
    proxy.register_metrics(&mut registry);
    let (plan, follow_plan) = watch::channel(context.first_plan());
    let (ready, follow_ready) = watch::channel(false);
    let outputs = context.outputs(plan, routes, ready, metrics.clone());
    let health = Arc::new(Health { ready: follow_ready, registry });

    let mut tasks = JoinSet::new();
    tasks.spawn(context.control_task(&proxy, outputs).run(inputs));
    tasks.spawn(context.reader(follow_plan).run());
    tasks.spawn(context.server(&proxy).run(listeners.peers));
    tasks.spawn(operators::serve(Arc::new(context.operators(metrics)), listeners.operators));
    let period = context.settings.timing.vm_list_interval;
    tasks.spawn(vm_list::run(context.platform, context.links, period, control.clone()));
    let serving = tokio::spawn(serve_callers(proxy.clone(), listeners.callers, health));
    log::info!("event=started vm={} callers={}", context.settings.vm, addresses.callers);
    Ok(Entry { addresses, control, proxy, serving, tasks })
}

/// The listeners of a process.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

impl Listeners {
    async fn open(settings: &Settings) -> anyhow::Result<Listeners> {
        Ok(Listeners {
            callers: listen(settings.callers_address).await?,
            peers: listen(settings.peers_address).await?,
            operators: listen(settings.operators_address).await?,
        })
    }

    fn addresses(&self) -> anyhow::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            operators: self.operators.local_addr()?,
        })
    }
}

/// State that the tasks of a process share.
struct ProcessContext {
    settings: Settings,
    clock: Clock,
    /// The sender ID of this process's appends, and the seed of random choices.
    sender: u64,
    platform: Platform,
    links: Links,
    tail: Tail,
    control: mpsc::Sender<Input>,
}

impl ProcessContext {
    fn new(settings: Settings, control: mpsc::Sender<Input>) -> ProcessContext {
        let from = HeaderValue::from_str(settings.name.as_str());
        let from = from.unwrap_or(HeaderValue::from_static("entry"));
        let http = Http::new(Some((HeaderName::from_static(headers::FROM), from)));
        ProcessContext {
            clock: Clock::start(),
            sender: fastrand::u64(..),
            platform: Platform { http, address: settings.platform },
            links: Links::new(settings.vm),
            tail: Tail::new(),
            settings,
            control,
        }
    }

    fn first_plan(&self) -> ReadPlan {
        let wait = reader::poll_wait(self.settings.timing.holder_timeout, true);
        ReadPlan { source: RecordSource::Log, wait }
    }

    fn proxy(&self, routes: RoutesWatch) -> Proxy<PeerKeyClient> {
        let own = self.settings.vm;
        let keys = PeerKeyClient { own, links: self.links.clone(), control: self.control.clone() };
        Proxy::new(proxy::Options::new(&self.settings, self.sender), routes, keys)
    }

    fn outputs(
        &self,
        plan: watch::Sender<ReadPlan>,
        routes: watch::Sender<Arc<Routes>>,
        ready: watch::Sender<bool>,
        metrics: Metrics,
    ) -> Outputs {
        Outputs {
            http: self.platform.http.clone(),
            platform: self.platform.clone(),
            links: self.links.clone(),
            tail: self.tail.clone(),
            plan,
            routes,
            ready,
            control: self.control.clone(),
            metrics,
        }
    }

    fn control_task(
        &self,
        proxy: &Proxy<PeerKeyClient>,
        outputs: Outputs,
    ) -> Control<Proxy<PeerKeyClient>> {
        let options = membership_options(&self.settings);
        let membership = Membership::new(self.clock.now(), options);
        let identity = identity(&self.settings, self.sender);
        Control::new(self.clock, identity, membership, proxy.clone(), outputs)
    }

    fn reader(&self, plan: watch::Receiver<ReadPlan>) -> Reader {
        Reader {
            platform: self.platform.clone(),
            links: self.links.clone(),
            clock: self.clock,
            plan,
            control: self.control.clone(),
        }
    }

    fn server(&self, proxy: &Proxy<PeerKeyClient>) -> Server<Proxy<PeerKeyClient>> {
        Server {
            allowed: AllowedPeers::new(self.settings.allowed_peers.clone()),
            requests: proxy.clone(),
            control: self.control.clone(),
            tail: self.tail.clone(),
            traffic: self.links.traffic.clone(),
        }
    }

    fn operators(&self, metrics: Metrics) -> OperatorContext {
        OperatorContext {
            tokens: Tokens::new(self.settings.operator_tokens.clone()),
            clock: self.clock,
            control: self.control.clone(),
            links: self.links.clone(),
            metrics,
        }
    }
}

impl Entry {
    /// Returns the addresses on which the process listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Performs a planned stop: reports not ready, releases the data centre, finishes requests in
    /// flight, hands keys over, and ends.
    pub async fn stop(mut self) {
        log::info!("event=stopping callers={}", self.addresses.callers);
        let _ = self.control.send(Input::Stop).await;
        self.proxy.drain().await;
        let (reply, flushed) = oneshot::channel();
        let _ = self.control.send(Input::NotifyWhenFlushed { reply }).await;
        if timeout(FLUSH_TIMEOUT, flushed).await.is_err() {
            log::warn!(
                "event=stopped_with_unsent cause=\"the log did not accept all records in time\""
            );
        }
        self.tasks.shutdown().await;
        let _ = (&mut self.serving).await;
        log::info!("event=stopped callers={}", self.addresses.callers);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("listening on {address}"))
}

async fn serve_callers(proxy: Proxy<PeerKeyClient>, listener: TcpListener, health: Arc<Health>) {
    if let Err(e) = proxy.serve(listener, callers::router(health)).await {
        log::error!("event=callers_port_failed cause=\"{e}\"");
    }
}

fn membership_options(settings: &Settings) -> Options {
    Options {
        vm: settings.vm,
        dc: settings.data_centre,
        heartbeat_interval: settings.timing.heartbeat_interval,
        holder_timeout: settings.timing.holder_timeout,
    }
}

fn identity(settings: &Settings, sender: u64) -> Identity {
    let mut regions: Vec<_> = settings.data_centres.iter().map(|it| it.region.clone()).collect();
    regions.sort_unstable();
    regions.dedup();
    let number = |name| regions.binary_search(name).unwrap_or_default() as u16;
    Identity {
        vm: settings.vm,
        name: settings.name.clone(),
        dc: settings.data_centre,
        dcs: settings.data_centres.iter().map(|it| it.name.clone()).collect(),
        regions: settings.data_centres.iter().map(|it| number(&it.region)).collect(),
        sender,
        worker_lease: settings.timing.worker_lease,
        holder_timeout: settings.timing.holder_timeout,
        log_retention: settings.timing.log_retention,
    }
}
