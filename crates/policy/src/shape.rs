//! Amounts as fractions of a whole, the form in which resources of different units compare.

use damaskrack_model::Resources;

/// Number of resources that a worker has.
pub(crate) const RESOURCE_COUNT: usize = 3;

/// Fractions of each resource.
pub(crate) type Fractions = [f64; RESOURCE_COUNT];

/// Returns which part of each resource of `whole` an amount takes; 0 where `whole` has none.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn fractions(part: Resources, whole: Resources) -> Fractions {
    let pairs = [
        (part.millicores, whole.millicores),
        (part.memory_bytes, whole.memory_bytes),
        (part.accelerators, whole.accelerators),
    ];
    pairs.map(|(part, whole)| if whole == 0 { 0.0 } else { part as f64 / whole as f64 })
}

/// Returns the largest of the fractions.
pub(crate) fn dominant(fractions: Fractions) -> f64 {
    fractions.into_iter().fold(0.0, f64::max)
}
