//! An entry VM's process as a value: started, asked for its addresses, stopped.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use daisy_membership::{Membership, Options, Source};
use daisy_routing::Routes;
use daisy_settings::Settings;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::{JoinHandle, JoinSet},
    time::timeout,
};

use crate::{
    boundary::RequestSide,
    callers::{self, Health},
    clock::Clock,
    control::{self, Control, Identity, Input, Outputs},
    http::Http,
    metrics::Metrics,
    operators::{self, Port, Tokens},
    peers::{Allowed, Keys, Links, Server, Tail},
    platform::Platform,
    proxy::{self, Proxy},
    reader::{self, Plan, Reader},
    vm_list,
};

/// How long a planned stop waits until all that was to be appended is in the log.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// Where a process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers, `/healthz`, `/readyz` and `/metrics`.
    pub callers: SocketAddr,
    /// For other entry VMs.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running entry VM; dropped without [`Entry::stop`], it ends at once like a killed process.
#[derive(Debug)]
pub struct Entry {
    addresses: Addresses,
    control: mpsc::Sender<Input>,
    proxy: Proxy<Keys>,
    serving: JoinHandle<()>,
    tasks: JoinSet<()>,
}

/// Starts an entry VM.
///
/// # Errors
///
/// If one of the addresses in `settings` cannot be taken.
pub async fn start(settings: Settings) -> anyhow::Result<Entry> {
    let callers = listen(settings.callers).await?;
    let peers = listen(settings.peers).await?;
    let operators = listen(settings.operators).await?;
    let addresses = Addresses {
        callers: callers.local_addr()?,
        peers: peers.local_addr()?,
        operators: operators.local_addr()?,
    };
    let clock = Clock::start();
    let http = Http::new(settings.name.as_str());
    let platform = Platform { http: http.clone(), address: settings.platform };
    let links = Links::new(settings.vm);
    let tail = Tail::new();
    let (metrics, registry) = Metrics::registered();
    let (control, inputs) = mpsc::channel(control::QUEUE);
    let wait = reader::poll_wait(settings.timing.holder_timeout, true);
    let (plan, follow_plan) = watch::channel(Plan { source: Source::Log, wait });
    let (routes, follow_routes) = watch::channel(Arc::new(Routes::default()));
    let (ready, follow_ready) = watch::channel(false);
    let sender = fastrand::u64(..);
    let options = proxy::Options::new(&settings, sender);
    let keys = Keys { own: settings.vm, links: links.clone(), control: control.clone() };
    let proxy = Proxy::new(options, follow_routes, keys);

    let outputs = Outputs {
        http,
        platform: platform.clone(),
        links: links.clone(),
        tail: tail.clone(),
        plan,
        routes,
        ready,
        control: control.clone(),
        metrics: metrics.clone(),
    };
    let membership = Membership::new(clock.now(), membership_options(&settings));
    let identity = identity(&settings, sender);
    let task = Control::new(clock, identity, membership, proxy.clone(), outputs);
    let reader = Reader {
        platform: platform.clone(),
        links: links.clone(),
        clock,
        plan: follow_plan,
        control: control.clone(),
    };
    let server = Server {
        allowed: Allowed::new(settings.allowed_peers.clone()),
        requests: proxy.clone(),
        control: control.clone(),
        tail,
        traffic: links.traffic.clone(),
    };
    let tokens = Tokens::new(settings.operator_tokens.clone());
    let port = Port { tokens, clock, control: control.clone(), links: links.clone(), metrics };
    let health = Health { ready: follow_ready, registry };

    let mut tasks = JoinSet::new();
    tasks.spawn(task.run(inputs));
    tasks.spawn(reader.run());
    tasks.spawn(server.run(peers));
    tasks.spawn(vm_list::run(platform, links, settings.timing.vm_list, control.clone()));
    tasks.spawn(operators::serve(Arc::new(port), operators));
    let serving = tokio::spawn(serve_callers(proxy.clone(), callers, Arc::new(health)));
    log::info!("event=started vm={} callers={}", settings.vm, addresses.callers);
    Ok(Entry { addresses, control, proxy, serving, tasks })
}

impl Entry {
    /// Where the process listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// A planned stop: not ready first, the data centre released, requests in flight finished,
    /// keys handed over, then the end.
    pub async fn stop(mut self) {
        log::info!("event=stopping callers={}", self.addresses.callers);
        let _ = self.control.send(Input::Stop).await;
        self.proxy.drain().await;
        let (reply, flushed) = oneshot::channel();
        let _ = self.control.send(Input::Flushed { reply }).await;
        if timeout(FLUSH_TIMEOUT, flushed).await.is_err() {
            log::warn!("event=stopped_with_unsent cause=\"the log takes no appends\"");
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

async fn serve_callers(proxy: Proxy<Keys>, listener: TcpListener, health: Arc<Health>) {
    if let Err(e) = proxy.serve(listener, callers::router(health)).await {
        log::error!("event=callers_port_failed cause={e:?}");
    }
}

fn membership_options(settings: &Settings) -> Options {
    Options {
        vm: settings.vm,
        dc: settings.data_centre,
        heartbeat: settings.timing.heartbeat,
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
    }
}
