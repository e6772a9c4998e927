//! The fixed division of a backend server's slots and connections among entry VMs.
//!
//! Every entry VM calculates the same division from the same list, so that it applies without
//! communication.

use daisy_model::VmId;

use crate::digest::weight;

/// Up to one in this many entry VMs may be replaced at a time; some entry VMs count it then, others
/// do not.
const MAX_REPLACED_ONE_IN: u32 = 8;

/// Returns how many of the `total` connections to a backend server each of `entries` entry VMs may
/// open.
///
/// Prevents more than `total` connections while a VM is replaced: the old and the new VM are both
/// connected for a while, and not every list contains both. The margin allows for one VM in eight
/// (at least one) beyond those listed.
pub fn connections(total: u32, entries: u32) -> u32 {
    let margin = entries.div_ceil(MAX_REPLACED_ONE_IN).max(1);
    (total / (entries + margin)).max(1)
}

/// Returns how many of the `total` slots of the backend server `server` are reserved for `own_vm`
/// among `entries`.
///
/// The remainder of the division goes to the entry VMs with the highest weights for the server, so
/// that over many servers each of them gets its part.
pub fn slots(total: u32, server: VmId, own_vm: VmId, entries: &[VmId]) -> u32 {
    let count = entries.len() as u32;
    if !entries.contains(&own_vm) {
        return 0;
    }
    let item = u64::from(server.0);
    let mine = (weight(item, own_vm.0), own_vm);
    let before = entries.iter().filter(|entry| (weight(item, entry.0), **entry) > mine).count();
    total / count + u32::from((before as u32) < total % count)
}
