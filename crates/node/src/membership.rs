//! Membership of this daemon in the cell: its record, the records of the others, heartbeats and the
//! roster.

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
