//! How this daemon takes part in the cell: its record, its view of the store, its peers.

mod follower;
mod monitor;
mod registration;
mod roster;

pub(crate) use {
    follower::{FollowedChange, StoreFollower},
    monitor::{PeerMonitor, ReceivedHeartbeat, StoreReadTimes},
    registration::MemberRegistration,
    roster::RosterWriter,
};
