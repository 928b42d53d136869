//! Amounts of processor, memory and accelerators: the demand of tasks and the capacity of workers.
use crate::spec::Stage;

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Resources {
    pub(crate) cpu_millicores: u64,
    pub(crate) memory_mb: u64,
    pub(crate) gpus: u64,
}

impl Resources {
    /// The demand of one task of a stage.
    pub(crate) fn demand_of(stage: &Stage) -> Self {
        Resources { cpu_millicores: stage.cpu_millicores, memory_mb: stage.memory_mb, gpus: stage.gpus }
    }

    pub(crate) fn fits_in(self, free: Resources) -> bool {
        self.cpu_millicores <= free.cpu_millicores
            && self.memory_mb <= free.memory_mb
            && self.gpus <= free.gpus
    }

    pub(crate) fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores + other.cpu_millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    /// The element-wise maximum.
    pub(crate) fn max(self, other: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.max(other.cpu_millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// The element-wise difference, 0 where the other amount is larger.
    pub(crate) fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// The number of times that this demand fits into `free`; `u64::MAX` for a zero demand.
    pub(crate) fn times_in(self, free: Resources) -> u64 {
        let times = |demand: u64, free: u64| free.checked_div(demand).unwrap_or(u64::MAX);
        times(self.cpu_millicores, free.cpu_millicores)
            .min(times(self.memory_mb, free.memory_mb))
            .min(times(self.gpus, free.gpus))
    }

    /// The number of tasks of a stage that fit into a worker's free capacity, within the stage's
    /// limit for one worker.
    pub(crate) fn tasks_that_fit(stage: &Stage, free: Resources) -> u64 {
        let times = Resources::demand_of(stage).times_in(free);
        if stage.anti_affinity == 0 { times } else { times.min(stage.anti_affinity.into()) }
    }

    /// The dominant share: the largest of the shares of each resource's capacity that this amount
    /// takes, 0 to 1.
    pub(crate) fn dominant_share_of(self, capacity: Resources) -> f64 {
        let share =
            |used: u64, capacity: u64| if capacity == 0 { 0.0 } else { used as f64 / capacity as f64 };
        share(self.cpu_millicores, capacity.cpu_millicores)
            .max(share(self.memory_mb, capacity.memory_mb))
            .max(share(self.gpus, capacity.gpus))
    }
}
