//! The scheduler core against fake workers, a fake store and a fake adviser.

mod capacity;
mod crash_storms;
mod crashes;
mod failures;
mod load;
mod narrow_link;
mod pending;
mod support;
