//! Digests and rendezvous hashing with the same results on all entry VMs.

/// The offset basis and the prime of 64-bit FNV-1a.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns a digest of `bytes` that is the same in every process: FNV-1a with a final mix.
pub fn digest(bytes: &[u8]) -> u64 {
    let fnv =
        bytes.iter().fold(FNV_BASIS, |hash, &b| (hash ^ u64::from(b)).wrapping_mul(FNV_PRIME));
    mix(fnv)
}

/// Returns the weight of `candidate` for `item` in rendezvous hashing; the candidate with the
/// highest weight wins.
pub fn weight(item: u64, candidate: u32) -> u64 {
    mix(item ^ mix(u64::from(candidate).wrapping_add(1)))
}

/// The finalizer of splitmix64: a change of one input bit changes about half of the output bits.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
