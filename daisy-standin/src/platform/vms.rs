//! The platform's list of VMs as a data structure, without I/O.

use std::{net::SocketAddr, time::Duration};

use daisy_model::Instant;
use daisy_wire::platform::{StatusJson, VmJson, VmList};
use serde::{Deserialize, Serialize};

/// A change of the list of VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmChange {
    /// Adds a VM, or replaces the one with the same number.
    Put(VmJson),
    /// Marks the VM with this number as leaving.
    Leave(u32),
    /// Removes the VM with this number.
    Remove(u32),
}

/// Replaces the addresses of a VM in the list that one process sees, so that a
/// [`Link`](crate::Link) can be placed between just this process and this VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressOverride {
    /// The name of the process, as in its header `daisy-from`.
    pub from: String,
    /// The VM's number.
    pub vm: u32,
    /// The control address that the process sees; absent for the real one.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// The backend address that the process sees; absent for the real one.
    #[serde(default)]
    pub backend: Option<SocketAddr>,
}

/// Why a change of the list is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum VmError {
    /// No VM has this number.
    #[error("no VM has the number {0}")]
    Unknown(u32),
    /// The number belonged to a VM that was removed; numbers are never reused.
    #[error("the number {0} belonged to a VM that was removed")]
    Reused(u32),
}

/// The result of a change of the list.
#[derive(Debug, Clone)]
pub struct AppliedChange {
    /// The VM's name.
    pub name: String,
    /// Its new status; `None` if it was removed.
    pub status: Option<StatusJson>,
}

/// The current VMs, and the published list of them, which lags behind.
#[derive(Debug)]
pub struct VmRegistry {
    lag: Duration,
    /// The VMs with all changes so far.
    current: Vec<VmJson>,
    /// Numbers of removed VMs, which must not be reused.
    removed_ids: Vec<u32>,
    version: u64,
    /// Versions that are not yet published, oldest first: when each is due, its number, and its VMs.
    pending: Vec<(Instant, u64, Vec<VmJson>)>,
    /// The version that is shown, and its VMs.
    published: (u64, Vec<VmJson>),
    overrides: Vec<AddressOverride>,
}

impl VmRegistry {
    /// Creates a list without VMs, whose changes are published after `lag`.
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

    /// Applies a change; the published list shows it after the lag.
    ///
    /// # Errors
    ///
    /// If the VM does not exist, or the number of a new VM was used before.
    pub fn change(&mut self, now: Instant, change: VmChange) -> Result<AppliedChange, VmError> {
        let applied = self.apply(change)?;
        self.version += 1;
        self.pending.push((now + self.lag, self.version, self.current.clone()));
        Ok(applied)
    }

    /// Publishes all changes so far without the lag.
    pub fn publish_now(&mut self) {
        self.pending.clear();
        self.published = (self.version, self.current.clone());
    }

    /// Replaces the addresses that particular processes see, without the lag.
    pub fn set_overrides(&mut self, overrides: Vec<AddressOverride>) {
        self.overrides = overrides;
        self.version += 1;
        self.published.0 = self.version;
    }

    /// Returns the list that the process `from` sees at `now`.
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
