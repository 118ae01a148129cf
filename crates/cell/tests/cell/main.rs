//! The scheduler core against fake workers, a fake store and a fake adviser.

mod capacity;
mod crashes;
mod failures;
mod load;
mod narrow_link;
mod outdated_list;
mod pending;
mod support;
