//! Resources as fractions of a total, which makes resources of different units comparable.

use damaskrack_model::Resources;

/// Number of resource dimensions: processors, memory and accelerators.
pub(crate) const RESOURCE_COUNT: usize = 3;

/// One fraction for each resource.
pub(crate) type Fractions = [f64; RESOURCE_COUNT];

/// Returns the fraction of each resource of `whole` that `part` takes; 0 where `whole` has none.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn fractions(part: Resources, whole: Resources) -> Fractions {
    let pairs = [
        (part.millicores, whole.millicores),
        (part.memory_bytes, whole.memory_bytes),
        (part.accelerators, whole.accelerators),
    ];
    pairs.map(|(part, whole)| if whole == 0 { 0.0 } else { part as f64 / whole as f64 })
}

/// Returns the largest of the fractions, the dominant share.
pub(crate) fn dominant(fractions: Fractions) -> f64 {
    fractions.into_iter().fold(0.0, f64::max)
}
