//! The platform's list of VMs, without input or output.

use std::{net::SocketAddr, time::Duration};

use daisy_model::Instant;
use daisy_wire::platform::{StatusJson, VmJson, VmList};
use serde::{Deserialize, Serialize};

/// A change of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmChange {
    /// Adds a VM, or replaces the one with the same number.
    Put(VmJson),
    /// Marks the VM of this number as leaving.
    Leave(u32),
    /// Takes the VM of this number away.
    Remove(u32),
}

/// Other addresses of a VM for one process, so that a [`Link`](crate::Link) stands between
/// just these two.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressOverride {
    /// The process by its `daisy-from`.
    pub from: String,
    /// The VM's number.
    pub vm: u32,
    /// Its control address as that process sees it; absent for the real one.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Its backend address as that process sees it; absent for the real one.
    #[serde(default)]
    pub backend: Option<SocketAddr>,
}

/// Why a change is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum VmError {
    /// No VM has this number.
    #[error("no VM has the number {0}")]
    Unknown(u32),
    /// The number belonged to a VM that is gone; numbers are never given twice.
    #[error("the number {0} belonged to a VM that is gone")]
    Reused(u32),
}

/// What came of a change.
#[derive(Debug, Clone)]
pub struct Told {
    /// The VM's name.
    pub name: String,
    /// Its status from now on, `None` for gone.
    pub status: Option<StatusJson>,
}

/// The truth about VMs and the list of it that lags behind.
#[derive(Debug)]
pub struct VmBook {
    lag: Duration,
    truth: Vec<VmJson>,
    gone: Vec<u32>,
    version: u64,
    /// Versions that are not yet listed, oldest first.
    waiting: Vec<(Instant, u64, Vec<VmJson>)>,
    listed: (u64, Vec<VmJson>),
    views: Vec<AddressOverride>,
}

impl VmBook {
    /// No VMs yet.
    pub fn new(lag: Duration) -> VmBook {
        VmBook {
            lag,
            truth: Vec::new(),
            gone: Vec::new(),
            version: 1,
            waiting: Vec::new(),
            listed: (1, Vec::new()),
            views: Vec::new(),
        }
    }

    /// Takes a change in; the list shows it after the lag.
    pub fn change(&mut self, now: Instant, change: VmChange) -> Result<Told, VmError> {
        let told = self.apply(change)?;
        self.version += 1;
        self.waiting.push((now + self.lag, self.version, self.truth.clone()));
        Ok(told)
    }

    /// Shows all changes so far without the lag.
    pub fn publish_at_once(&mut self) {
        self.waiting.clear();
        self.listed = (self.version, self.truth.clone());
    }

    /// Replaces the addresses that particular processes see, at once.
    pub fn set_views(&mut self, views: Vec<AddressOverride>) {
        self.views = views;
        self.version += 1;
        self.listed.0 = self.version;
    }

    /// The list as it is shown to `from` at `now`.
    pub fn list(&mut self, now: Instant, from: &str) -> VmList {
        let due = self.waiting.iter().take_while(|(at, ..)| *at <= now).count();
        if let Some((_, version, vms)) = self.waiting.drain(..due).next_back() {
            self.listed = (version.max(self.listed.0), vms);
        }
        let mut vms = self.listed.1.clone();
        for view in self.views.iter().filter(|view| view.from == from) {
            for vm in vms.iter_mut().filter(|vm| vm.id == view.vm) {
                vm.control = view.control.unwrap_or(vm.control);
                vm.backend = view.backend.or(vm.backend);
            }
        }
        VmList { version: self.listed.0, vms }
    }

    fn apply(&mut self, change: VmChange) -> Result<Told, VmError> {
        match change {
            VmChange::Put(vm) if self.gone.contains(&vm.id) => Err(VmError::Reused(vm.id)),
            VmChange::Put(vm) => {
                let told = Told { name: vm.name.clone(), status: Some(vm.status) };
                match self.position(vm.id) {
                    Ok(at) => self.truth[at] = vm,
                    Err(_) => self.truth.push(vm),
                }
                Ok(told)
            }
            VmChange::Leave(id) => {
                let at = self.position(id)?;
                self.truth[at].status = StatusJson::Leaving;
                let name = self.truth[at].name.clone();
                Ok(Told { name, status: Some(StatusJson::Leaving) })
            }
            VmChange::Remove(id) => {
                let at = self.position(id)?;
                self.gone.push(id);
                Ok(Told { name: self.truth.remove(at).name, status: None })
            }
        }
    }

    fn position(&self, id: u32) -> Result<usize, VmError> {
        self.truth.iter().position(|vm| vm.id == id).ok_or(VmError::Unknown(id))
    }
}
