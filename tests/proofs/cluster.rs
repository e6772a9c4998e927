//! All processes of one test.

use std::{
    collections::BTreeSet,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use daisy_history::{EventKind, History, RunEnd};
use daisy_standin::{
    Faults, Recorder,
    client::Client,
    load::{Load, Options as LoadOptions},
    platform::VmChange,
};
use daisy_wire::platform::{RoleJson, VmJson};
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    task::JoinHandle,
    time::sleep,
};

use crate::{
    eventually,
    operators::Operator,
    process::Process,
    shape::{Addresses, SERVICE, Shape, entry_vm},
};

const STARTS: Duration = Duration::from_secs(15);
const STATUS_POLL: Duration = Duration::from_millis(100);
/// How tasks of particular jobs run; written before any worker reads it.
const JOBS: &str = "jobs.json";
pub const SOON: Duration = Duration::from_secs(2);
const KEYS_SETTLED: Duration = Duration::from_millis(6_000);
/// Two reads of the VM list.
const LIST_READ: Duration = Duration::from_millis(400);
/// What the number of a VM's replacement has more.
const ROLLED: u32 = 50;

/// The processes of one test and what they saw.
#[derive(Debug)]
pub struct Cluster {
    pub at: Addresses,
    pub shape: Shape,
    pub operator: Operator,
    pub client: Client,
    pub platform: Process,
    pub entries: Vec<(VmJson, Process)>,
    pub workers: Vec<(VmJson, Process)>,
    dir: PathBuf,
    watchers: Vec<Watcher>,
    _turn: SemaphorePermit<'static>,
}

/// Tests that run at one time, whatever the number of the machine's cores: each starts up to
/// a dozen processes, and starved ones would miss their heartbeats.
static TURNS: Semaphore = Semaphore::const_new(4);

/// Asks one entry VM again and again what it has in force.
#[derive(Debug)]
struct Watcher {
    recorder: Recorder,
    task: JoinHandle<()>,
}

impl Cluster {
    /// Starts everything and waits until all entry VMs are ready.
    pub async fn start(test: &str, shape: Shape) -> Cluster {
        let turn = TURNS.acquire().await.expect("never closed");
        let at = Addresses::take();
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("proofs-{test}"));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("a directory for the test");
        let jobs = serde_json::to_vec(&shape.jobs).expect("JSON");
        fs::write(dir.join(JOBS), jobs).expect("the jobs' file");
        let vms = shape.vms(at);
        let platform = start_platform(&dir, &shape, &vms, at);
        let mut cluster = Cluster {
            at,
            shape,
            operator: Operator::new("operator"),
            client: Client::new(),
            platform,
            entries: Vec::new(),
            workers: Vec::new(),
            dir,
            watchers: Vec::new(),
            _turn: turn,
        };
        cluster.answers(at.platform(), "/v1/vms").await;
        for vm in vms {
            cluster.start_vm(vm);
        }
        cluster.ready(STARTS).await;
        cluster
    }

    /// Starts the process of a VM.
    pub fn start_vm(&mut self, vm: VmJson) {
        match vm.role {
            RoleJson::Entry => self.start_entry(vm),
            RoleJson::Worker => self.start_worker(vm),
        }
    }

    /// Waits until every entry VM that runs is ready.
    pub async fn ready(&mut self, within: Duration) {
        let at = self.at;
        let all = self.entries.iter_mut();
        let all = all.filter_map(|(vm, process)| process.runs().then_some(vm.id));
        let all: Vec<u32> = all.collect();
        for id in all {
            let client = self.client.clone();
            eventually("an entry VM is ready", within, async || {
                let answer = client.get(at.callers(id), "/readyz", SOON).await.ok()?;
                answer.status.is_success().then_some(())
            })
            .await;
        }
    }

    /// Creates the service with `tasks` tasks and waits until a request is answered.
    ///
    /// A task takes more than half a worker, so that each has a worker of its own.
    pub async fn create_service(&mut self, tasks: u32) {
        let create = format!(
            "create service {SERVICE} team web tasks {tasks} cpu 5 memory 256Mi priority critical"
        );
        self.accept("quota team web cpu 1000 memory 1000Gi accelerators 100").await;
        self.accept(&create).await;
        let options = self.load(1, 1.0);
        eventually("the service answers", STARTS, async || {
            let options = LoadOptions { attempts: 1, first_call: u64::MAX - 1, ..options.clone() };
            let report = Load::start(options).await.ok()?.finish().await.ok()?;
            (report.answered == 1).then_some(())
        })
        .await;
    }

    /// Waits until the keys' homes vouch for their past: a process that has just started knows
    /// of no keys before it, and vouches only after the retry window, here 3 s, or after the
    /// 5 s in which others may hand their keys over.
    pub async fn keys_settled(&self) {
        self.accept("publish policy retry-window=3s").await;
        sleep(KEYS_SETTLED).await;
    }

    /// Makes a change through any entry VM, and fails unless it is accepted in the end.
    pub async fn accept(&self, statement: &str) -> u64 {
        eventually(statement, STARTS, async || {
            for (vm, _) in &self.entries {
                let entry = self.at.operators(vm.id);
                let Some(said) = self.operator.say(entry, statement).await else { continue };
                let generation = said["results"][0]["generation"].as_u64();
                if let Some(generation) = generation {
                    self.operator
                        .recorder()
                        .record(EventKind::ConfigAccepted { version: generation });
                    return Some(generation);
                }
                eprintln!("{statement}: {said}");
            }
            None
        })
        .await
    }

    /// Callers that make `count` requests at `rate` a second through all entry VMs, and
    /// through those that replace them.
    pub fn load(&self, count: u64, rate: f64) -> LoadOptions {
        let ids = self.entries.iter().flat_map(|(vm, _)| [vm.id, vm.id + ROLLED]);
        LoadOptions {
            entries: ids.map(|id| self.at.callers(id)).collect(),
            history: Some(self.dir.join("callers.jsonl")),
            service: SERVICE.to_owned(),
            count,
            rate,
            ..LoadOptions::default()
        }
    }

    /// Waits until tasks 0 to `tasks` of `job` are done; else fails with the system's reason.
    pub async fn done(&self, job: u32, tasks: u32, within: Duration) {
        let began = Instant::now();
        loop {
            let done = self.done_tasks(job);
            let Some(open) = (0..tasks).find(|index| !done.contains(index)) else { return };
            if began.elapsed() > within {
                let entry = self.at.operators(self.entries[self.holder(0).await].0.id);
                let why = self.operator.say(entry, &format!("why task {job}/{open}")).await;
                panic!("{} of {tasks} tasks are done; task {job}/{open}: {why:?}", done.len());
            }
            sleep(STATUS_POLL).await;
        }
    }

    fn done_tasks(&self, job: u32) -> BTreeSet<u32> {
        let history = self.worker_history();
        let done = history.events().iter().filter_map(|event| match event.kind {
            EventKind::TaskEnded { run, end: RunEnd::Done } if run.job == job => Some(run.index),
            _ => None,
        });
        done.collect()
    }

    /// Waits until a task of `job` runs anywhere.
    pub async fn runs(&self, job: u32, within: Duration) {
        eventually("a task runs", within, async || {
            let history = self.worker_history();
            let started =
                |kind: &EventKind| matches!(kind, EventKind::TaskStarted { run, .. } if run.job == job);
            history.events().iter().any(|event| started(&event.kind)).then_some(())
        })
        .await;
    }

    /// The position in `entries` of the holder of a data centre, once it has one.
    pub async fn holder(&self, dc: u16) -> usize {
        eventually("the data centre has a holder", STARTS, async || {
            for (vm, _) in self.entries.iter().filter(|(vm, _)| vm.dc == dc) {
                let Some(status) = self.operator.status(self.at.operators(vm.id)).await else {
                    continue;
                };
                let Some(holder) = status["holder"].as_u64() else { continue };
                if status["released"].as_bool() == Some(true) {
                    continue;
                }
                return self.entries.iter().position(|(vm, _)| u64::from(vm.id) == holder);
            }
            None
        })
        .await
    }

    /// Replaces the platform's fault switches.
    pub async fn platform_faults(&self, faults: Faults) {
        self.set_faults(self.at.platform(), faults).await;
    }

    /// Replaces the fault switches of a stand-in.
    pub async fn set_faults(&self, standin: SocketAddr, faults: Faults) {
        self.client.set_faults(standin, &faults).await.expect("the switches are set");
    }

    /// Changes the platform's list of VMs.
    pub async fn change_vm(&self, change: &VmChange) {
        let body = serde_json::to_vec(change).expect("JSON");
        let answer = self.client.post(self.at.platform(), "/standin/vms", body, SOON).await;
        assert!(answer.as_ref().is_ok_and(|it| it.status.is_success()), "{answer:?}");
    }

    /// Kills an entry VM.
    pub fn kill_entry(&mut self, at: usize) {
        let entry = self.callers_of(at);
        self.entries[at].1.kill(Some(entry));
    }

    /// Asks an entry VM for its planned stop.
    pub fn terminate_entry(&self, at: usize) {
        self.entries[at].1.terminate(Some(self.callers_of(at)));
    }

    fn callers_of(&self, at: usize) -> String {
        self.at.callers(self.entries[at].0.id).to_string()
    }

    /// Replaces all entry VMs one after the other: a fresh one is ready before an old one
    /// stops, and `within` bounds each stop.
    pub async fn roll(&mut self, within: Duration) {
        let old = self.entries.len();
        for at in 0..old {
            let vm = &self.entries[at].0;
            let fresh = entry_vm(vm.id + ROLLED, vm.dc, self.at);
            self.change_vm(&VmChange::Put(fresh.clone())).await;
            self.start_vm(fresh);
            self.ready(STARTS).await;
            self.change_vm(&VmChange::Leave(self.entries[at].0.id)).await;
            self.terminate_entry(at);
            let status = self.entries[at].1.ended(within).await;
            assert!(status.success(), "{status}");
            self.change_vm(&VmChange::Remove(self.entries[at].0.id)).await;
            // A VM that starts while the list still names one that is gone waits in vain for its
            // keys, and vouches for none until a retry window later.
            sleep(Duration::from_millis(self.shape.vm_lag_ms) + LIST_READ).await;
        }
    }

    /// What workers and backend servers saw.
    pub fn worker_history(&self) -> History {
        History::merge(self.workers.iter().map(|(_, process)| process.history()).collect())
    }

    /// What all processes saw, with the callers' part.
    pub fn history(&self, callers: Vec<History>) -> History {
        let processes = self.entries.iter().chain(&self.workers).map(|(_, process)| process);
        let mut parts: Vec<History> = processes.map(Process::history).collect();
        parts.push(self.platform.history());
        parts.push(self.operator.recorder().history());
        parts.extend(self.watchers.iter().map(|watcher| watcher.recorder.history()));
        parts.extend(callers);
        History::merge(parts)
    }

    async fn answers(&self, address: SocketAddr, path: &str) {
        eventually("a stand-in answers", STARTS, async || {
            self.client.get(address, path, SOON).await.ok().map(|_| ())
        })
        .await;
    }

    fn start_entry(&mut self, vm: VmJson) {
        let file = self.dir.join(format!("{}.yaml", vm.name));
        fs::write(&file, self.shape.settings(&vm, self.at)).expect("the settings' file");
        let args = ["entry".to_owned(), "--settings".to_owned(), text(&file)];
        let process = Process::start(&vm.name, &self.dir, &args, None);
        self.watch(&vm);
        self.entries.push((vm, process));
    }

    fn start_worker(&mut self, vm: VmJson) {
        let jobs = self.dir.join(JOBS);
        let history = self.dir.join(format!("{}.jsonl", vm.name));
        let args = [
            ("--name", vm.name.clone()),
            ("--control", self.at.control(vm.id).to_string()),
            ("--backend", self.at.backend(vm.id).to_string()),
            ("--cpu-milli", vm.capacity.cpu_milli.to_string()),
            ("--memory-mib", vm.capacity.memory_mib.to_string()),
            ("--accelerators", vm.capacity.accelerators.to_string()),
            ("--run-ms", self.shape.run_ms.to_string()),
            ("--jobs", text(&jobs)),
            ("--history", text(&history)),
        ];
        let process = Process::start(&vm.name, &self.dir, &standin("worker", &args), Some(history));
        self.workers.push((vm, process));
    }

    fn watch(&mut self, vm: &VmJson) {
        let recorder = Recorder::new(&vm.name);
        let (operator, entry) = (self.operator.clone(), self.at.operators(vm.id));
        let own = recorder.clone();
        let task = tokio::spawn(async move {
            loop {
                sleep(STATUS_POLL).await;
                let Some(status) = operator.status(entry).await else { continue };
                // An entry VM that is not ready takes no callers, so it has nothing in force.
                if status["ready"].as_bool() != Some(true) {
                    continue;
                }
                if let Some(version) = status["generation"].as_u64() {
                    own.record(EventKind::ConfigInForce { version });
                }
            }
        });
        self.watchers.push(Watcher { recorder, task });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for watcher in &self.watchers {
            watcher.task.abort();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn start_platform(dir: &Path, shape: &Shape, vms: &[VmJson], at: Addresses) -> Process {
    let list = dir.join("vms.json");
    fs::write(&list, serde_json::to_vec(vms).expect("JSON")).expect("the VM list's file");
    let history = dir.join("platform.jsonl");
    let args = [
        ("--listen", at.platform().to_string()),
        ("--vms", text(&list)),
        ("--vm-lag-ms", shape.vm_lag_ms.to_string()),
        ("--history", text(&history)),
    ];
    Process::start("platform", dir, &standin("platform", &args), Some(history))
}

fn standin(kind: &str, options: &[(&str, String)]) -> Vec<String> {
    let options = options.iter().flat_map(|(name, value)| [(*name).to_owned(), value.clone()]);
    ["standin", kind].map(str::to_owned).into_iter().chain(options).collect()
}

fn text(path: &Path) -> String {
    path.to_str().expect("a path of text").to_owned()
}
