//! What a VM holds and a task takes.

use std::fmt;

/// Processors, memory and accelerators; exact integers, so that sums never drift.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Nothing at all.
    pub const ZERO: Resources = Resources { cpu_milli: 0, memory_mib: 0, accelerators: 0 };

    /// The sum, or `None` where a part overflows.
    pub fn try_add(self, rhs: Resources) -> Option<Resources> {
        Some(Resources {
            cpu_milli: self.cpu_milli.checked_add(rhs.cpu_milli)?,
            memory_mib: self.memory_mib.checked_add(rhs.memory_mib)?,
            accelerators: self.accelerators.checked_add(rhs.accelerators)?,
        })
    }

    /// The difference, or `None` where a part would be negative.
    pub fn try_sub(self, rhs: Resources) -> Option<Resources> {
        Some(Resources {
            cpu_milli: self.cpu_milli.checked_sub(rhs.cpu_milli)?,
            memory_mib: self.memory_mib.checked_sub(rhs.memory_mib)?,
            accelerators: self.accelerators.checked_sub(rhs.accelerators)?,
        })
    }

    /// The product with a count, or `None` where a part overflows.
    pub fn try_mul(self, count: u32) -> Option<Resources> {
        Some(Resources {
            cpu_milli: self.cpu_milli.checked_mul(count)?,
            memory_mib: self.memory_mib.checked_mul(count)?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }

    /// How many times `need` fits into this; a part that is not needed does not count.
    pub fn count_fitting(self, need: Resources) -> u32 {
        let times = |part: u32, need: u32| part.checked_div(need).unwrap_or(u32::MAX);
        let processors = times(self.cpu_milli, need.cpu_milli);
        let memory = times(self.memory_mib, need.memory_mib);
        processors.min(memory).min(times(self.accelerators, need.accelerators))
    }

    /// Whether all of this fits into `room`.
    pub fn fits(self, room: Resources) -> bool {
        room.try_sub(self).is_some()
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources { cpu_milli, memory_mib, accelerators } = self;
        write!(f, "cpu {cpu_milli}m memory {memory_mib}Mi accelerators {accelerators}")
    }
}
