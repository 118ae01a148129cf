//! Amounts of processor time, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of each resource that a worker has and a task takes.
///
/// # Examples
///
/// ```
/// use damaskrack_model::Resources;
///
/// let worker = Resources { millicores: 16_000, memory_bytes: 32 << 30, accelerators: 0 };
/// let task = Resources { millicores: 500, memory_bytes: 1 << 30, accelerators: 0 };
/// assert!(worker.covers(task));
/// assert_eq!(worker.checked_sub(task).map(|r| r.millicores), Some(15_500));
/// assert_eq!(task.checked_sub(worker), None);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    #[serde(default)]
    pub millicores: u64,
    /// Memory, in bytes.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// No resources at all.
    pub const ZERO: Self = Self { millicores: 0, memory_bytes: 0, accelerators: 0 };

    /// Tells whether this amount is at least `other` in every resource.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.millicores >= other.millicores
            && self.memory_bytes >= other.memory_bytes
            && self.accelerators >= other.accelerators
    }

    /// Adds each resource; returns `None` on overflow.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_add(other.millicores)?,
            memory_bytes: self.memory_bytes.checked_add(other.memory_bytes)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Subtracts each resource; returns `None` if `other` is larger in any resource.
    #[must_use]
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_sub(other.millicores)?,
            memory_bytes: self.memory_bytes.checked_sub(other.memory_bytes)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Adds each resource, saturating at the greatest value.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts each resource, saturating at 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each resource by a number of tasks; returns `None` on overflow.
    #[must_use]
    pub fn checked_mul(self, count: u64) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_mul(count)?,
            memory_bytes: self.memory_bytes.checked_mul(count)?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }

    /// Returns the dominant share: the largest fraction that this amount is of any resource of
    /// `total`.
    ///
    /// The fraction of a resource that `total` lacks is 1 if this amount includes any of it.
    #[must_use]
    pub fn dominant_share(self, total: Self) -> f64 {
        let parts = [
            (self.millicores, total.millicores),
            (self.memory_bytes, total.memory_bytes),
            (self.accelerators, total.accelerators),
        ];
        parts.iter().map(|&(part, whole)| fraction(part, whole)).fold(0.0, f64::max)
    }
}

#[allow(clippy::cast_precision_loss)]
fn fraction(part: u64, whole: u64) -> f64 {
    match (part, whole) {
        (0, _) => 0.0,
        (_, 0) => 1.0,
        _ => part as f64 / whole as f64,
    }
}
