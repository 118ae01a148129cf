//! Amounts of resources.

/// An amount of CPU, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResourceSet {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in mebibytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl ResourceSet {
    /// Returns whether this amount fits into `free`.
    ///
    /// ```
    /// use damaskrack_cell::ResourceSet;
    ///
    /// let task = ResourceSet { cpu_millis: 500, memory_mb: 64, accelerators: 0 };
    /// let free = ResourceSet { cpu_millis: 500, memory_mb: 63, accelerators: 1 };
    /// assert!(!task.fits(&free));
    /// ```
    #[must_use]
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu_millis <= free.cpu_millis
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Returns how many times `other` fits into this amount.
    ///
    /// ```
    /// use damaskrack_cell::ResourceSet;
    ///
    /// let free = ResourceSet { cpu_millis: 500, memory_mb: 100, accelerators: 0 };
    /// let task = ResourceSet { cpu_millis: 100, memory_mb: 50, accelerators: 0 };
    /// assert_eq!(free.count_fitting(&task), 2);
    /// ```
    #[must_use]
    pub fn count_fitting(&self, other: &Self) -> u64 {
        let times = |own: u64, one: u64| own.checked_div(one).unwrap_or(u64::MAX);
        times(self.cpu_millis, other.cpu_millis)
            .min(times(self.memory_mb, other.memory_mb))
            .min(times(self.accelerators, other.accelerators))
    }

    /// Returns this amount `count` times.
    ///
    /// ```
    /// use damaskrack_cell::ResourceSet;
    ///
    /// let task = ResourceSet { cpu_millis: 500, memory_mb: 64, accelerators: 0 };
    /// assert_eq!(task.times(3).cpu_millis, 1_500);
    /// ```
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the sum of both amounts, saturating at the largest number.
    ///
    /// ```
    /// use damaskrack_cell::ResourceSet;
    ///
    /// let one = ResourceSet { cpu_millis: 500, memory_mb: 64, accelerators: 0 };
    /// assert_eq!(one.plus(&one).cpu_millis, 1_000);
    /// ```
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns this amount minus `other`, saturating at zero.
    ///
    /// ```
    /// use damaskrack_cell::ResourceSet;
    ///
    /// let one = ResourceSet { cpu_millis: 500, memory_mb: 64, accelerators: 0 };
    /// assert_eq!(one.minus(&one), ResourceSet::default());
    /// ```
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns whether this amount is within `limit`, where 0 means "no limit".
    ///
    /// ```
    /// use damaskrack_cell::ResourceSet;
    ///
    /// let used = ResourceSet { cpu_millis: 500, memory_mb: 64, accelerators: 0 };
    /// let limit = ResourceSet { cpu_millis: 500, memory_mb: 0, accelerators: 0 };
    /// assert!(used.is_within(&limit));
    /// ```
    #[must_use]
    pub fn is_within(&self, limit: &Self) -> bool {
        let holds = |used: u64, limit: u64| limit == 0 || used <= limit;
        holds(self.cpu_millis, limit.cpu_millis)
            && holds(self.memory_mb, limit.memory_mb)
            && holds(self.accelerators, limit.accelerators)
    }
}
