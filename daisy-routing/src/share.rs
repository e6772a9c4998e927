//! The fixed split of a backend server's slots and connections among entry VMs.
//!
//! Every entry VM computes the same split from the same list, so it holds without talking.

use daisy_model::VmId;

use crate::digest::weight;

/// One entry VM in this many may be counted by some and not by others while VMs are replaced.
const MAX_REPLACED_ONE_IN: u32 = 8;

/// Connections to a backend server with `total` that one of `entries` entry VMs may open.
///
/// Guards against more than `total` connections while a VM is replaced: the old and the new one
/// are both connected for a while, and not all lists show both. The margin has room for one VM in
/// eight (at least one) beyond those listed.
pub fn connections(total: u32, entries: u32) -> u32 {
    let margin = entries.div_ceil(MAX_REPLACED_ONE_IN).max(1);
    (total / (entries + margin)).max(1)
}

/// Slots of the backend server `server` that are `me`'s own among `entries`.
///
/// What does not divide evenly goes to the entry VMs that weigh most for the server, so that
/// over many servers each gets its part.
pub fn slots(total: u32, server: VmId, me: VmId, entries: &[VmId]) -> u32 {
    let count = entries.len() as u32;
    if !entries.contains(&me) {
        return 0;
    }
    let item = u64::from(server.0);
    let mine = (weight(item, me.0), me);
    let before = entries.iter().filter(|entry| (weight(item, entry.0), **entry) > mine).count();
    total / count + u32::from((before as u32) < total % count)
}
