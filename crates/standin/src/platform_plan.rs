//! What an embedded platform consists of.

use {
    crate::StorePlan,
    damaskrack_model::Resources,
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Sizes and lags of a [`StandinPlatform`](crate::StandinPlatform), in builder style.
///
/// # Examples
///
/// ```
/// use damaskrack_standin::PlatformPlan;
///
/// let plan = PlatformPlan::new(3, 2, 8).with_seed(7);
/// assert_eq!(plan.workers(), 48);
/// ```
#[derive(Debug, Clone)]
pub struct PlatformPlan {
    /// Availability zones, named `zone-a`, `zone-b` and so on.
    pub zones: u32,
    /// Racks in each zone, named `a1`, `a2` and so on.
    pub racks_per_zone: u32,
    /// Workers in each rack, named `a1-1`, `a1-2` and so on.
    pub workers_per_rack: u32,
    /// What each worker has.
    pub capacity: Resources,
    /// Most tasks at once on each worker.
    pub slots: u32,
    /// Time until a change of the host list shows, in milliseconds.
    pub host_lag_ms: u64,
    /// Age at which a task's usage first shows, in milliseconds.
    pub usage_lag_ms: u64,
    /// Bounds of the store.
    pub store: StorePlan,
    /// Seed of boot numbers, clock offsets and faults.
    pub seed: u64,
    /// Address that everything listens on; the ports are free ones, but for the fixed ones below.
    pub listen: IpAddr,
    /// Port of the store; 0 for a free one.
    pub store_port: u16,
    /// Port of the host list; 0 for a free one.
    pub hosts_port: u16,
    /// Port of the switches; 0 for a free one.
    pub control_port: u16,
}

impl PlatformPlan {
    /// Most availability zones, so that each has a letter.
    pub const MAX_ZONES: u32 = 26;

    /// Makes a plan with workers of 16 cores and 32 GB on loopback.
    #[must_use]
    pub fn new(zones: u32, racks_per_zone: u32, workers_per_rack: u32) -> Self {
        Self {
            zones: zones.min(Self::MAX_ZONES),
            racks_per_zone,
            workers_per_rack,
            capacity: Resources { millicores: 16_000, memory_bytes: 32 << 30, accelerators: 0 },
            slots: crate::WorkerPlan::SLOTS,
            host_lag_ms: 500,
            usage_lag_ms: 1_000,
            store: StorePlan::default(),
            seed: 1,
            listen: Ipv4Addr::LOCALHOST.into(),
            store_port: 0,
            hosts_port: 0,
            control_port: 0,
        }
    }

    /// Sets what each worker has.
    #[must_use]
    pub fn with_capacity(mut self, capacity: Resources) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the lag of the host list, in milliseconds.
    #[must_use]
    pub fn with_host_lag_ms(mut self, millis: u64) -> Self {
        self.host_lag_ms = millis;
        self
    }

    /// Sets the bounds of the store.
    #[must_use]
    pub fn with_store(mut self, store: StorePlan) -> Self {
        self.store = store;
        self
    }

    /// Returns the number of workers.
    #[must_use]
    pub fn workers(&self) -> u32 {
        self.zones * self.racks_per_zone * self.workers_per_rack
    }

    pub(crate) fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.listen, port)
    }
}
