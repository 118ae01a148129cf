//! The scheduler core against fake workers, a fake store and a fake adviser.

mod failures;
mod load;
mod pending;
mod support;
