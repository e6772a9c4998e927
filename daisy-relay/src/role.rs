//! Which VMs of a data centre read the log for the others.

/// How many partitions of a data centre's group make their holder a reader, so how many VMs of the
/// data centre read the log at most. With two, the followers of a lost reader have another one at
/// once.
pub const READER_SLOTS: u16 = 2;

/// Returns whether a member of a data centre's group is a reader.
///
/// The platform divides `partitions` partitions evenly among the members of the group; `held` are
/// those of the member. The partitions that make a reader are half of all apart, and not a multiple
/// of a small group's size, so that one member seldom holds both.
pub fn is_reader(held: &[u16], partitions: u16) -> bool {
    (0..READER_SLOTS).any(|slot| held.contains(&(slot * (partitions / READER_SLOTS + 1))))
}
