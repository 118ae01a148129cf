//! The scheduler core against fake workers, a fake store and a fake adviser.

mod capacity;
mod crashes;
mod failures;
mod inherited_leases;
mod load;
mod narrow_link;
mod pending;
mod support;
