//! How this daemon takes part in the cell: its record, its view of the store, its peers.

mod follower;
mod keeper;
mod monitor;
mod registration;

pub(crate) use {
    follower::{FollowedChange, StoreFollower},
    keeper::RosterKeeper,
    monitor::{HeartbeatView, OwnNews, PeerMonitor},
    registration::MemberRegistration,
};
