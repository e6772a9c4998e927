//! The capacity of VMs and the sizes of tasks.

use std::fmt;

/// Processors, memory and accelerators; integers, so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Resources {
    /// Processors in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// The number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// No resources.
    pub const ZERO: Resources = Resources { cpu_milli: 0, memory_mib: 0, accelerators: 0 };

    /// Returns the sum, or `None` if a part overflows.
    pub fn try_add(self, rhs: Resources) -> Option<Resources> {
        Some(Resources {
            cpu_milli: self.cpu_milli.checked_add(rhs.cpu_milli)?,
            memory_mib: self.memory_mib.checked_add(rhs.memory_mib)?,
            accelerators: self.accelerators.checked_add(rhs.accelerators)?,
        })
    }

    /// Returns the difference, or `None` if a part would be negative.
    pub fn try_sub(self, rhs: Resources) -> Option<Resources> {
        Some(Resources {
            cpu_milli: self.cpu_milli.checked_sub(rhs.cpu_milli)?,
            memory_mib: self.memory_mib.checked_sub(rhs.memory_mib)?,
            accelerators: self.accelerators.checked_sub(rhs.accelerators)?,
        })
    }

    /// Returns the product with a count, or `None` if a part overflows.
    pub fn try_mul(self, count: u32) -> Option<Resources> {
        Some(Resources {
            cpu_milli: self.cpu_milli.checked_mul(count)?,
            memory_mib: self.memory_mib.checked_mul(count)?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }

    /// Returns how many times `need` fits into this; parts that `need` does not use are ignored.
    pub fn count_fitting(self, need: Resources) -> u32 {
        let times = |part: u32, need: u32| part.checked_div(need).unwrap_or(u32::MAX);
        let processors = times(self.cpu_milli, need.cpu_milli);
        let memory = times(self.memory_mib, need.memory_mib);
        processors.min(memory).min(times(self.accelerators, need.accelerators))
    }

    /// Returns whether every part of this fits into `available`.
    pub fn fits(self, available: Resources) -> bool {
        available.try_sub(self).is_some()
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources { cpu_milli, memory_mib, accelerators } = self;
        write!(f, "cpu {cpu_milli}m memory {memory_mib}Mi accelerators {accelerators}")
    }
}
