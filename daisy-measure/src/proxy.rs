//! `proxy`: cost of a request through one entry VM, against the same load sent directly to a backend
//! server.
//!
//! Backend server, entry VM and callers each have their own threads and talk over loopback.

use std::{
    convert::Infallible,
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use daisy_entry::{
    boundary::PeerKeys,
    proxy::{Options, Proxy},
};
use daisy_model::{DcId, JobId, Name, Priority, SortedMap, VmId};
use daisy_routing::{Backend, KeyAnswer, KeyQuery, Routes, Service};
use daisy_settings::Limits;
use daisy_wire::headers;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1 as client, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    sync::watch,
};

/// Number of callers' connections.
const CALLER_CONNECTIONS: usize = 32;
/// Threads of each of the three runtimes.
const THREADS_PER_RUNTIME: usize = 2;
const REQUEST_BYTES: usize = 200;
const ANSWER_BYTES: usize = 1_024;
/// Name of the entry VM's threads, by which their processor time is found.
const ENTRY_THREAD: &str = "entry";
/// Ticks of processor time in a second, as Linux reports them.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures requests through one entry VM against requests sent directly to a backend server.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "proxy")]
pub(crate) struct Args {
    /// seconds that each of the four runs takes (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
}

/// Runs both paths at full and at half load and prints one line for all.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    let length = Duration::from_secs(args.seconds);
    let (servers, entries, callers) =
        (runtime("backend")?, runtime(ENTRY_THREAD)?, runtime("caller")?);
    let direct = servers.block_on(start_backend())?;
    let entry = entries.block_on(start_entry(direct))?;
    std::thread::sleep(Duration::from_millis(200));

    let direct_full = callers.block_on(send_load(direct, length, None))?;
    let before = entry_ticks()?;
    let entry_full = callers.block_on(send_load(entry, length, None))?;
    let ticks = entry_ticks()? - before;
    let half = entry_full.per_second / 2.0;
    let direct_half = callers.block_on(send_load(direct, length, Some(half)))?;
    let entry_half = callers.block_on(send_load(entry, length, Some(half)))?;

    let cpu_us = ticks / TICKS_PER_SECOND * 1e6 / entry_full.answers.max(1) as f64;
    println!(
        "measure=proxy direct_per_s={:.0} entry_per_s={:.0} throughput_ratio={:.2} \
         half_load_per_s={half:.0} {} {} p99_ratio={:.2} entry_cpu_us={cpu_us:.1} failed={}",
        direct_full.per_second,
        entry_full.per_second,
        entry_full.per_second / direct_full.per_second,
        direct_half.format_latencies("direct"),
        entry_half.format_latencies("entry"),
        entry_half.quantile_us(0.99) / direct_half.quantile_us(0.99),
        direct_full.failed + entry_full.failed + direct_half.failed + entry_half.failed,
    );
    Ok(())
}

fn runtime(name: &str) -> anyhow::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    Ok(builder.worker_threads(THREADS_PER_RUNTIME).thread_name(name).enable_all().build()?)
}

/// Starts a backend server that answers at once and echoes the request's id.
async fn start_backend() -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let service = service::service_fn(echo);
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(conn);
        }
    });
    Ok(address)
}

async fn echo(req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let id = req.headers().get(headers::REQUEST_ID).cloned();
    let _ = req.into_body().collect().await;
    let mut response = Response::new(Full::new(Bytes::from_static(&[b'x'; ANSWER_BYTES])));
    if let Some(id) = id {
        response.headers_mut().insert(headers::REQUEST_ID, id);
    }
    Ok(response)
}

/// Access to peers of an entry VM that has none.
#[derive(Debug, Clone)]
struct NoPeers;

impl PeerKeys<KeyQuery, KeyAnswer> for NoPeers {
    async fn send_query(&self, _: VmId, _: KeyQuery, _: Duration) -> Option<KeyAnswer> {
        None
    }
}

async fn start_entry(backend: SocketAddr) -> anyhow::Result<SocketAddr> {
    let (routes, watched) = watch::channel(Arc::new(routes(backend)));
    let options = Options {
        vm: VmId(1),
        dc: DcId(0),
        limits: Limits::default(),
        balancer_delay: Duration::ZERO,
        seed: 1,
    };
    let proxy = Proxy::new(options, watched, NoPeers);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let served = proxy.serve(listener, viz::Router::new()).await;
        drop(routes);
        served
    });
    Ok(address)
}

/// Returns routes to one backend server. Its slots and connections are more than the callers use,
/// since the cost of the path is measured and not the limits.
fn routes(address: SocketAddr) -> Routes {
    let slots = 2 * CALLER_CONNECTIONS as u32;
    let backend = Backend {
        vm: VmId(100),
        dc: DcId(0),
        address,
        slots,
        connections: 4 * slots,
        leaving: false,
    };
    let state = Service {
        job: JobId(0),
        priority: Priority::Critical,
        may_reject: false,
        backends: vec![backend],
    };
    let entries = vec![(DcId(0), VmId(1))];
    Routes {
        version: 1,
        dc: DcId(0),
        regions: vec![0],
        live_entries: entries.clone(),
        listed_entries: entries,
        services: SortedMap::from_iter([(Name::new("quote").expect("a name"), state)]),
        ..Routes::default()
    }
}

#[derive(Debug)]
struct Summary {
    per_second: f64,
    answers: u64,
    failed: u64,
    latencies: Histogram<u64>,
}

impl Summary {
    fn quantile_us(&self, q: f64) -> f64 {
        self.latencies.value_at_quantile(q) as f64
    }

    fn format_latencies(&self, name: &str) -> String {
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| self.quantile_us(q));
        format!("{name}_p50_us={p50:.0} {name}_p99_us={p99:.0} {name}_p999_us={p999:.0}")
    }
}

/// Sends requests for `length`, at `per_second` over all connections, or else as fast as answers
/// arrive.
async fn send_load(
    to: SocketAddr,
    length: Duration,
    per_second: Option<f64>,
) -> anyhow::Result<Summary> {
    let failed = Arc::new(AtomicU64::new(0));
    let started_at = Instant::now();
    let tasks: Vec<_> = (0..CALLER_CONNECTIONS)
        .map(|at| {
            let interval =
                per_second.map(|rate| Duration::from_secs_f64(CALLER_CONNECTIONS as f64 / rate));
            let first_due = started_at
                + interval.unwrap_or_default().mul_f64(at as f64 / CALLER_CONNECTIONS as f64);
            tokio::spawn(caller(to, first_due, started_at + length, interval, Arc::clone(&failed)))
        })
        .collect();
    let mut latencies = Histogram::new_with_bounds(1, 60_000_000, 3)?;
    for task in tasks {
        latencies.add(task.await??)?;
    }
    let answers = latencies.len();
    let per_second = answers as f64 / started_at.elapsed().as_secs_f64();
    Ok(Summary { per_second, answers, failed: failed.load(Ordering::Relaxed), latencies })
}

/// Sends requests over one connection. Latency is counted from the time a request was due.
async fn caller(
    to: SocketAddr,
    first_due: Instant,
    end: Instant,
    interval: Option<Duration>,
    failed: Arc<AtomicU64>,
) -> anyhow::Result<Histogram<u64>> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut tx, conn) = client::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    let mut latencies = Histogram::new_with_bounds(1, 60_000_000, 3)?;
    let mut due = first_due;
    while due < end && Instant::now() < end {
        if interval.is_some() {
            tokio::time::sleep_until(due.into()).await;
        } else {
            due = Instant::now();
        }
        tx.ready().await?;
        let response = tx.send_request(request()?).await?;
        let has_success_status = response.status().is_success();
        let is_complete = response.into_body().collect().await?.to_bytes().len() == ANSWER_BYTES;
        if has_success_status && is_complete {
            latencies.saturating_record(due.elapsed().as_micros() as u64);
        } else {
            failed.fetch_add(1, Ordering::Relaxed);
        }
        due += interval.unwrap_or_default();
    }
    Ok(latencies)
}

fn request() -> anyhow::Result<Request<Full<Bytes>>> {
    let builder = Request::post("/price").header("host", "entry").header(headers::SERVICE, "quote");
    Ok(builder.body(Full::new(Bytes::from_static(&[b'q'; REQUEST_BYTES])))?)
}

/// Returns the processor time of the entry VM's threads so far, in ticks.
fn entry_ticks() -> anyhow::Result<f64> {
    let mut ticks = 0.0;
    for task in fs::read_dir("/proc/self/task")? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        // The thread's name is in parentheses; user and system time are the 14th and 15th field.
        let Some((head, rest)) = stat.rsplit_once(')') else { continue };
        if head.ends_with(ENTRY_THREAD) {
            let fields = rest.split_whitespace().skip(11).take(2);
            ticks += fields.filter_map(|field| field.parse::<f64>().ok()).sum::<f64>();
        }
    }
    Ok(ticks)
}
