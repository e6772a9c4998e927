//! The measured resource use of a job's tasks.

use std::time::Duration;

use daisy_model::Resources;

/// The measured resource use of a job's tasks.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeasuredUsage {
    samples: u32,
    cpu_milli: f32,
    memory_peak_mib: u32,
    run_time: Option<Duration>,
}

/// The number of samples before a declared size is corrected: a single report may describe a
/// task's first second.
const MIN_SAMPLES: u32 = 3;
const CPU_SMOOTHING: f32 = 0.1;
/// The margin above the highest measured memory, in percent: the next task may need a little
/// more.
const MEMORY_MARGIN_PERCENT: u64 = 10;

impl MeasuredUsage {
    /// Adds the use that one task reported.
    pub(crate) fn add_sample(&mut self, used: Resources) {
        let cpu = used.cpu_milli as f32;
        let rate = if self.samples == 0 { 1.0 } else { CPU_SMOOTHING };
        self.cpu_milli += rate * (cpu - self.cpu_milli);
        self.memory_peak_mib = self.memory_peak_mib.max(used.memory_mib);
        self.samples = self.samples.saturating_add(1);
    }

    /// Adds the run time of a task that completed its work.
    pub(crate) fn add_run_time(&mut self, run: Duration) {
        let mean = self.run_time.map_or(run, |mean| mean.mul_f32(0.8) + run.mul_f32(0.2));
        self.run_time = Some(mean);
    }

    /// Returns the measured run time, or else the declared one.
    pub(crate) fn try_run_time(&self, declared: Option<Duration>) -> Option<Duration> {
        self.run_time.or(declared)
    }

    /// Returns the size to start a task with: the declared size, or more if more use was
    /// measured.
    ///
    /// The size is never reduced. Memory that was not used yesterday may be used today, and a VM
    /// that runs out of memory kills arbitrary processes. If processors were overcommitted to batch
    /// work, services' tail latency would suffer whenever both need them. So a size declared too
    /// large costs capacity, which the operator sees and corrects, and a size declared too small is
    /// raised here. It is raised to `largest` at most, since otherwise the task could never run.
    pub(crate) fn corrected_size(&self, declared: Resources, largest: Resources) -> Resources {
        if self.samples < MIN_SAMPLES {
            return declared;
        }
        let peak = u64::from(self.memory_peak_mib) * (100 + MEMORY_MARGIN_PERCENT) / 100;
        let is_memory_exceeded = self.memory_peak_mib > declared.memory_mib;
        let memory =
            if is_memory_exceeded { peak.min(u64::from(largest.memory_mib)) as u32 } else { 0 };
        let cpu = (self.cpu_milli as u32).min(largest.cpu_milli);
        Resources {
            cpu_milli: declared.cpu_milli.max(cpu),
            memory_mib: declared.memory_mib.max(memory),
            accelerators: declared.accelerators,
        }
    }
}
