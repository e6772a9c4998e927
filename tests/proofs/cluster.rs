//! A cluster: all processes of one test.

use std::{
    collections::BTreeSet,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
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
    cluster_config::{Addresses, ClusterConfig, SERVICE, entry_vm},
    operators::Operator,
    process::Process,
    wait_for,
};

/// Time limit for processes to be ready, the service to answer and changes to be accepted.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// The interval at which status and histories are polled.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The file with the behaviour of particular jobs; written before any worker starts.
const JOBS_FILE: &str = "jobs.json";
/// The timeout of a call to a stand-in or an entry VM.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the homes of keys need until their history is complete; longer than the 5 s of a key
/// transfer.
const KEY_HISTORY_DELAY: Duration = Duration::from_millis(6_000);
/// The time of two reads of the VM list.
const LIST_READ_DELAY: Duration = Duration::from_millis(400);
/// The difference between the id of a VM and that of its replacement.
const REPLACEMENT_ID_OFFSET: u32 = 50;

/// The processes of one test and what they recorded.
#[derive(Debug)]
pub struct Cluster {
    pub addresses: Addresses,
    pub config: ClusterConfig,
    pub operator: Operator,
    pub client: Client,
    pub platform: Process,
    pub entries: Vec<(VmJson, Process)>,
    pub workers: Vec<(VmJson, Process)>,
    dir: PathBuf,
    config_watchers: Vec<ConfigWatcher>,
    _permit: SemaphorePermit<'static>,
}

/// Limits the tests that run at one time, whatever the number of the machine's cores: each starts
/// up to a dozen processes, which would miss their heartbeats if they got too little processor
/// time.
static TEST_PERMITS: Semaphore = Semaphore::const_new(4);

/// Polls one entry VM for the configuration that it has in force, and records it.
#[derive(Debug)]
struct ConfigWatcher {
    recorder: Recorder,
    task: JoinHandle<()>,
}

impl Cluster {
    /// Starts all processes and waits until all entry VMs are ready.
    pub async fn start(test: &str, config: ClusterConfig) -> Cluster {
        let permit = TEST_PERMITS.acquire().await.expect("the semaphore is never closed");
        let addresses = Addresses::allocate();
        let dir = create_run_dir(test);
        let jobs = serde_json::to_vec(&config.jobs).expect("JSON");
        fs::write(dir.join(JOBS_FILE), jobs).expect("the jobs' file");
        let vms = config.vms(addresses);
        let platform = start_platform(&dir, &config, &vms, addresses);
        let mut cluster = Cluster {
            addresses,
            config,
            operator: Operator::new("operator"),
            client: Client::new(),
            platform,
            entries: Vec::new(),
            workers: Vec::new(),
            dir,
            config_watchers: Vec::new(),
            _permit: permit,
        };
        cluster.wait_for_answer(addresses.platform(), "/v1/vms").await;
        for vm in vms {
            cluster.start_vm(vm);
        }
        cluster.wait_until_ready(START_TIMEOUT).await;
        cluster
    }

    /// Starts the process of a VM.
    pub fn start_vm(&mut self, vm: VmJson) {
        match vm.role {
            RoleJson::Entry => self.start_entry(vm),
            RoleJson::Worker => self.start_worker(vm),
        }
    }

    /// Waits until every running entry VM is ready.
    pub async fn wait_until_ready(&mut self, timeout: Duration) {
        let addresses = self.addresses;
        let running = self.entries.iter_mut();
        let running = running.filter_map(|(vm, process)| process.is_running().then_some(vm.id));
        let running: Vec<u32> = running.collect();
        for id in running {
            let client = self.client.clone();
            wait_for("an entry VM is ready", timeout, async || {
                let answer =
                    client.get(addresses.callers(id), "/readyz", CALL_TIMEOUT).await.ok()?;
                answer.status.is_success().then_some(())
            })
            .await;
        }
    }

    /// Creates the service with `tasks` tasks and waits until a request is answered.
    ///
    /// A task needs more than half of a worker's processors, so that each task has a worker of its
    /// own.
    pub async fn create_service(&mut self, tasks: u32) {
        let create = format!(
            "create service {SERVICE} team web tasks {tasks} cpu 5 memory 256Mi priority critical"
        );
        self.submit_statement("quota team web cpu 1000 memory 1000Gi accelerators 100").await;
        self.submit_statement(&create).await;
        let options = self.load_options(1, 1.0);
        wait_for("the service answers", START_TIMEOUT, async || {
            let options = LoadOptions { attempts: 1, first_call: u64::MAX - 1, ..options.clone() };
            let report = Load::start(options).await.ok()?.finish().await.ok()?;
            (report.answered == 1).then_some(())
        })
        .await;
    }

    /// Waits until the homes of keys have a complete history: a process that has just started knows
    /// no earlier keys, and its history is complete only after the retry window, here 3 s, or after
    /// the 5 s in which other processes may transfer their keys.
    pub async fn wait_for_key_histories(&self) {
        self.submit_statement("publish policy retry-window=3s").await;
        sleep(KEY_HISTORY_DELAY).await;
    }

    /// Submits a statement through any entry VM until it is accepted, and returns the new
    /// generation; panics after [`START_TIMEOUT`].
    pub async fn submit_statement(&self, statement: &str) -> u64 {
        wait_for(statement, START_TIMEOUT, async || {
            for (vm, _) in &self.entries {
                let entry = self.addresses.operators(vm.id);
                let Some(answer) = self.operator.send_statements(entry, statement).await else {
                    continue;
                };
                let generation = answer["results"][0]["generation"].as_u64();
                if let Some(generation) = generation {
                    self.operator
                        .recorder()
                        .record(EventKind::ConfigAccepted { version: generation });
                    return Some(generation);
                }
                eprintln!("{statement}: {answer}");
            }
            None
        })
        .await
    }

    /// Returns the options for a load of `count` requests at `rate` per second through all entry
    /// VMs and those that replace them.
    pub fn load_options(&self, count: u64, rate: f64) -> LoadOptions {
        let ids = self.entries.iter().flat_map(|(vm, _)| [vm.id, vm.id + REPLACEMENT_ID_OFFSET]);
        LoadOptions {
            entries: ids.map(|id| self.addresses.callers(id)).collect(),
            history: Some(self.dir.join("callers.jsonl")),
            service: SERVICE.to_owned(),
            count,
            rate,
            ..LoadOptions::default()
        }
    }

    /// Waits until tasks 0 to `task_count - 1` of a job are done; panics after the timeout, with the
    /// system's reason for an unfinished task.
    pub async fn wait_for_done_tasks(&self, job: u32, task_count: u32, timeout: Duration) {
        let began = Instant::now();
        loop {
            let done = self.done_tasks(job);
            let Some(unfinished) = (0..task_count).find(|index| !done.contains(index)) else {
                return;
            };
            if began.elapsed() > timeout {
                let entry =
                    self.addresses.operators(self.entries[self.wait_for_holder(0).await].0.id);
                let reason = self
                    .operator
                    .send_statements(entry, &format!("why task {job}/{unfinished}"))
                    .await;
                panic!(
                    "{} of {task_count} tasks are done; task {job}/{unfinished}: {reason:?}",
                    done.len()
                );
            }
            sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    /// Returns the indexes of the tasks of a job that are done.
    fn done_tasks(&self, job: u32) -> BTreeSet<u32> {
        let history = self.worker_history();
        let done = history.events().iter().filter_map(|event| match event.kind {
            EventKind::TaskEnded { run, end: RunEnd::Done } if run.job == job => Some(run.index),
            _ => None,
        });
        done.collect()
    }

    /// Waits until any worker has started a task of a job.
    pub async fn wait_for_task_start(&self, job: u32, timeout: Duration) {
        wait_for("a task runs", timeout, async || {
            let history = self.worker_history();
            let is_start =
                |kind: &EventKind| matches!(kind, EventKind::TaskStarted { run, .. } if run.job == job);
            history.events().iter().any(|event| is_start(&event.kind)).then_some(())
        })
        .await;
    }

    /// Waits until a data centre has a holder, and returns the holder's index in `entries`.
    pub async fn wait_for_holder(&self, dc: u16) -> usize {
        wait_for("the data centre has a holder", START_TIMEOUT, async || {
            for (vm, _) in self.entries.iter().filter(|(vm, _)| vm.dc == dc) {
                let Some(status) = self.operator.status(self.addresses.operators(vm.id)).await
                else {
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
    pub async fn set_platform_faults(&self, faults: Faults) {
        self.set_faults(self.addresses.platform(), faults).await;
    }

    /// Replaces the fault switches of a stand-in.
    pub async fn set_faults(&self, standin: SocketAddr, faults: Faults) {
        self.client.set_faults(standin, &faults).await.expect("the fault switches are set");
    }

    /// Changes the platform's list of VMs.
    pub async fn change_vm(&self, change: &VmChange) {
        let body = serde_json::to_vec(change).expect("JSON");
        let answer =
            self.client.post(self.addresses.platform(), "/standin/vms", body, CALL_TIMEOUT).await;
        assert!(answer.as_ref().is_ok_and(|it| it.status.is_success()), "{answer:?}");
    }

    /// Kills the process of an entry VM.
    pub fn kill_entry(&mut self, index: usize) {
        let entry = self.caller_address_of(index);
        self.entries[index].1.kill(Some(entry));
    }

    /// Starts the planned stop of an entry VM.
    pub fn terminate_entry(&self, index: usize) {
        self.entries[index].1.terminate(Some(self.caller_address_of(index)));
    }

    fn caller_address_of(&self, index: usize) -> String {
        self.addresses.callers(self.entries[index].0.id).to_string()
    }

    /// Replaces all entry VMs one after the other: the replacement is ready before the old one
    /// stops, and each stop must end within `stop_timeout`.
    pub async fn replace_all_entries(&mut self, stop_timeout: Duration) {
        let old_count = self.entries.len();
        for index in 0..old_count {
            let vm = &self.entries[index].0;
            let replacement = entry_vm(vm.id + REPLACEMENT_ID_OFFSET, vm.dc, self.addresses);
            self.change_vm(&VmChange::Put(replacement.clone())).await;
            self.start_vm(replacement);
            self.wait_until_ready(START_TIMEOUT).await;
            self.change_vm(&VmChange::Leave(self.entries[index].0.id)).await;
            self.terminate_entry(index);
            let status = self.entries[index].1.wait_for_exit(stop_timeout).await;
            assert!(status.success(), "{status}");
            self.change_vm(&VmChange::Remove(self.entries[index].0.id)).await;
            // A VM that starts while the list still has a removed VM waits for that VM's keys,
            // which never come, and its own history of keys is not complete until a retry window
            // later.
            sleep(Duration::from_millis(self.config.vm_lag_ms) + LIST_READ_DELAY).await;
        }
    }

    /// Returns what workers and backend servers recorded.
    pub fn worker_history(&self) -> History {
        History::merge(self.workers.iter().map(|(_, process)| process.history()).collect())
    }

    /// Returns what all processes recorded, merged with the callers' histories.
    pub fn history(&self, callers: Vec<History>) -> History {
        let processes = self.entries.iter().chain(&self.workers).map(|(_, process)| process);
        let mut parts: Vec<History> = processes.map(Process::history).collect();
        parts.push(self.platform.history());
        parts.push(self.operator.recorder().history());
        parts.extend(self.config_watchers.iter().map(|watcher| watcher.recorder.history()));
        parts.extend(callers);
        History::merge(parts)
    }

    /// Waits until a stand-in answers.
    async fn wait_for_answer(&self, address: SocketAddr, path: &str) {
        wait_for("a stand-in answers", START_TIMEOUT, async || {
            self.client.get(address, path, CALL_TIMEOUT).await.ok().map(|_| ())
        })
        .await;
    }

    fn start_entry(&mut self, vm: VmJson) {
        let file = self.dir.join(format!("{}.yaml", vm.name));
        fs::write(&file, self.config.settings(&vm, self.addresses)).expect("the settings' file");
        let args = ["entry".to_owned(), "--settings".to_owned(), path_text(&file)];
        let process = Process::start(&vm.name, &self.dir, &args, None);
        self.start_config_watcher(&vm);
        self.entries.push((vm, process));
    }

    fn start_worker(&mut self, vm: VmJson) {
        let jobs = self.dir.join(JOBS_FILE);
        let history = self.dir.join(format!("{}.jsonl", vm.name));
        let args = [
            ("--name", vm.name.clone()),
            ("--control", self.addresses.control(vm.id).to_string()),
            ("--backend", self.addresses.backend(vm.id).to_string()),
            ("--cpu-milli", vm.capacity.cpu_milli.to_string()),
            ("--memory-mib", vm.capacity.memory_mib.to_string()),
            ("--accelerators", vm.capacity.accelerators.to_string()),
            ("--run-ms", self.config.run_ms.to_string()),
            ("--jobs", path_text(&jobs)),
            ("--history", path_text(&history)),
        ];
        let process =
            Process::start(&vm.name, &self.dir, &standin_args("worker", &args), Some(history));
        self.workers.push((vm, process));
    }

    /// Starts to poll an entry VM for the configuration that it has in force.
    fn start_config_watcher(&mut self, vm: &VmJson) {
        let recorder = Recorder::new(&vm.name);
        let (operator, entry) = (self.operator.clone(), self.addresses.operators(vm.id));
        let watcher_recorder = recorder.clone();
        let task = tokio::spawn(async move {
            loop {
                sleep(STATUS_POLL_INTERVAL).await;
                let Some(status) = operator.status(entry).await else { continue };
                // An entry VM that is not ready accepts no callers, so no configuration is in force
                // there.
                if status["ready"].as_bool() != Some(true) {
                    continue;
                }
                if let Some(version) = status["generation"].as_u64() {
                    watcher_recorder.record(EventKind::ConfigInForce { version });
                }
            }
        });
        self.config_watchers.push(ConfigWatcher { recorder, task });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for watcher in &self.config_watchers {
            watcher.task.abort();
        }
        if std::thread::panicking() {
            eprintln!("the records of this run are kept in {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Creates a directory that no other run of the test uses: concurrent runs would delete each
/// other's files, and a later run the records of a failed one.
fn create_run_dir(test: &str) -> PathBuf {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    let name = format!("proofs-{test}-{}-{}", since_epoch.as_millis(), process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir(&dir).expect("a directory for the run");
    dir
}

fn start_platform(
    dir: &Path,
    config: &ClusterConfig,
    vms: &[VmJson],
    addresses: Addresses,
) -> Process {
    let list = dir.join("vms.json");
    fs::write(&list, serde_json::to_vec(vms).expect("JSON")).expect("the VM list's file");
    let history = dir.join("platform.jsonl");
    let args = [
        ("--listen", addresses.platform().to_string()),
        ("--vms", path_text(&list)),
        ("--vm-lag-ms", config.vm_lag_ms.to_string()),
        ("--history", path_text(&history)),
    ];
    Process::start("platform", dir, &standin_args("platform", &args), Some(history))
}

/// Returns the arguments that start a stand-in.
fn standin_args(kind: &str, options: &[(&str, String)]) -> Vec<String> {
    let options = options.iter().flat_map(|(name, value)| [(*name).to_owned(), value.clone()]);
    ["standin", kind].map(str::to_owned).into_iter().chain(options).collect()
}

fn path_text(path: &Path) -> String {
    path.to_str().expect("a path in UTF-8").to_owned()
}
