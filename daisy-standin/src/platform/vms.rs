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
pub struct AppliedChange {
    /// The VM's name.
    pub name: String,
    /// Its status from now on, `None` for gone.
    pub status: Option<StatusJson>,
}

/// The truth about VMs and the list of it that lags behind.
#[derive(Debug)]
pub struct VmRegistry {
    lag: Duration,
    current: Vec<VmJson>,
    removed_ids: Vec<u32>,
    version: u64,
    /// Versions that are not yet listed, oldest first.
    pending: Vec<(Instant, u64, Vec<VmJson>)>,
    published: (u64, Vec<VmJson>),
    overrides: Vec<AddressOverride>,
}

impl VmRegistry {
    /// No VMs yet.
    pub fn new(lag: Duration) -> VmRegistry {
        VmRegistry {
            lag,
            current: Vec::new(),
            removed_ids: Vec::new(),
            version: 1,
            pending: Vec::new(),
            published: (1, Vec::new()),
            overrides: Vec::new(),
        }
    }

    /// Takes a change in; the list shows it after the lag.
    pub fn change(&mut self, now: Instant, change: VmChange) -> Result<AppliedChange, VmError> {
        let applied = self.apply(change)?;
        self.version += 1;
        self.pending.push((now + self.lag, self.version, self.current.clone()));
        Ok(applied)
    }

    /// Shows all changes so far without the lag.
    pub fn publish_now(&mut self) {
        self.pending.clear();
        self.published = (self.version, self.current.clone());
    }

    /// Replaces the addresses that particular processes see, at once.
    pub fn set_overrides(&mut self, overrides: Vec<AddressOverride>) {
        self.overrides = overrides;
        self.version += 1;
        self.published.0 = self.version;
    }

    /// The list as it is shown to `from` at `now`.
    pub fn list(&mut self, now: Instant, from: &str) -> VmList {
        let due_count = self.pending.iter().take_while(|(due_at, ..)| *due_at <= now).count();
        if let Some((_, version, vms)) = self.pending.drain(..due_count).next_back() {
            self.published = (version.max(self.published.0), vms);
        }
        let mut vms = self.published.1.clone();
        for address_override in
            self.overrides.iter().filter(|address_override| address_override.from == from)
        {
            for vm in vms.iter_mut().filter(|vm| vm.id == address_override.vm) {
                vm.control = address_override.control.unwrap_or(vm.control);
                vm.backend = address_override.backend.or(vm.backend);
            }
        }
        VmList { version: self.published.0, vms }
    }

    fn apply(&mut self, change: VmChange) -> Result<AppliedChange, VmError> {
        match change {
            VmChange::Put(vm) if self.removed_ids.contains(&vm.id) => Err(VmError::Reused(vm.id)),
            VmChange::Put(vm) => {
                let applied = AppliedChange { name: vm.name.clone(), status: Some(vm.status) };
                match self.position(vm.id) {
                    Ok(index) => self.current[index] = vm,
                    Err(_) => self.current.push(vm),
                }
                Ok(applied)
            }
            VmChange::Leave(id) => {
                let index = self.position(id)?;
                self.current[index].status = StatusJson::Leaving;
                let name = self.current[index].name.clone();
                Ok(AppliedChange { name, status: Some(StatusJson::Leaving) })
            }
            VmChange::Remove(id) => {
                let index = self.position(id)?;
                self.removed_ids.push(id);
                Ok(AppliedChange { name: self.current.remove(index).name, status: None })
            }
        }
    }

    fn position(&self, id: u32) -> Result<usize, VmError> {
        self.current.iter().position(|vm| vm.id == id).ok_or(VmError::Unknown(id))
    }
}
