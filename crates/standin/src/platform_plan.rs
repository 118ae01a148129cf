//! Configuration of an embedded platform.

use {
    crate::StorePlan,
    damaskrack_model::Resources,
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Configuration of a [`StandinPlatform`](crate::StandinPlatform), in builder style.
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
    /// Number of availability zones, named `zone-a`, `zone-b` and so on.
    pub zones: u32,
    /// Number of racks in each zone, named `a1`, `a2` and so on.
    pub racks_per_zone: u32,
    /// Number of workers in each rack, named `a1-1`, `a1-2` and so on.
    pub workers_per_rack: u32,
    /// Total resources of each worker.
    pub capacity: Resources,
    /// Maximum number of concurrent tasks on each worker.
    pub slots: u32,
    /// Time until a change of the host list becomes visible, in milliseconds.
    pub host_lag_ms: u64,
    /// Age of a task at which its usage is first reported, in milliseconds.
    pub usage_lag_ms: u64,
    /// Limits of the store.
    pub store: StorePlan,
    /// Seed of boot numbers, clock offsets and faults.
    pub seed: u64,
    /// Address that all servers listen on; worker ports are free ports chosen at the start.
    pub listen: IpAddr,
    /// Port of the store; 0 selects a free port.
    pub store_port: u16,
    /// Port of the host list; 0 selects a free port.
    pub hosts_port: u16,
    /// Port of the control server; 0 selects a free port.
    pub control_port: u16,
}

impl PlatformPlan {
    /// Maximum number of availability zones: each is named by a letter.
    pub const MAX_ZONES: u32 = 26;

    /// Creates a plan that listens on loopback, with workers of 16 cores and 32 GiB.
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

    /// Sets the total resources of each worker.
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

    /// Sets the limits of the store.
    #[must_use]
    pub fn with_store(mut self, store: StorePlan) -> Self {
        self.store = store;
        self
    }

    /// Returns the total number of workers.
    #[must_use]
    pub fn workers(&self) -> u32 {
        self.zones * self.racks_per_zone * self.workers_per_rack
    }

    pub(crate) fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.listen, port)
    }
}
