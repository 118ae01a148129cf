//! Adds running members to the roster, removes this daemon at its shutdown and removes members that
//! are gone for good.

use {
    super::PeerMonitor,
    crate::{LogLevel, NodeConfig, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{ClockTime, MemberName},
    damaskrack_outside::StoreCall,
    damaskrack_ownership::{MemberRoster, MemberStanding},
    std::collections::BTreeSet,
};

/// Time after which a member that is neither listed nor heard is removed, in milliseconds.
const ABSENCE_LIMIT_MS: u64 = 3_600_000;
/// Time that the members of a new cell get to discover each other, in milliseconds.
const DISCOVERY_MS: u64 = 1_500;
/// Time after which a change that has not appeared in the store is retried, in milliseconds.
const RETRY_MS: u64 = 1_500;

/// Writes this daemon's changes to the roster.
#[derive(Debug, Default)]
pub(crate) struct RosterWriter {
    revision: u64,
    call: u64,
    retry_at: ClockTime,
    /// When the current roster was first seen.
    changed_at: ClockTime,
    /// When this daemon was first seen listed while there was no roster.
    discovery_since: Option<ClockTime>,
}

impl RosterWriter {
    /// Handles a changed roster record.
    pub(crate) fn on_record(&mut self, value: Option<&str>, revision: u64, view: &mut ClusterView) {
        view.roster = value.and_then(MemberRoster::from_json).unwrap_or_default();
        self.revision = if value.is_some() { revision } else { 0 };
        self.retry_at = ClockTime::default();
        self.changed_at = view.now;
    }

    /// Returns whether a store call is a write of the roster. Its result is ignored: only the
    /// changed record counts.
    pub(crate) fn owns_call(&self, call: u64) -> bool {
        self.call == call
    }

    /// Starts the change that is due. `is_exiting` states whether this daemon is about to exit.
    pub(crate) fn tick(
        &mut self,
        monitor: &PeerMonitor,
        is_exiting: bool,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        if view.now < self.retry_at {
            return;
        }
        let is_empty = view.roster.members.is_empty();
        let is_listed = view.members.contains_key(&view.me);
        if is_empty && (!is_listed || !self.is_discovery_over(view.now)) {
            return;
        }
        let Some(roster) = self.next_roster(monitor, is_exiting, view, config) else { return };
        self.retry_at = view.now.plus(RETRY_MS);
        out.log(LogLevel::Info, "roster_changing", &[("members", &roster.members.len())]);
        let request = StoreCall::Put {
            key: MemberRoster::STORE_KEY.to_owned(),
            expected: self.revision,
            value: roster.to_json(),
            lease: 0,
        };
        self.call = out.store(request, config.store_timeout_ms);
    }

    /// Returns whether the members of a new cell have had time to discover each other. The first
    /// roster then contains all of them, so the loss of the member that wrote it is not the loss of
    /// a majority.
    fn is_discovery_over(&mut self, now: ClockTime) -> bool {
        let since = *self.discovery_since.get_or_insert(now);
        now.since(since) >= DISCOVERY_MS
    }

    fn next_roster(
        &self,
        monitor: &PeerMonitor,
        is_exiting: bool,
        view: &ClusterView,
        config: &NodeConfig,
    ) -> Option<MemberRoster> {
        if let Some(former) = &view.roster.former {
            return self.drop_former(former, monitor, view, config);
        }
        let is_on_roster = view.roster.members.contains(&view.me);
        let mut members = view.roster.members.clone();
        if is_exiting {
            return members.remove(&view.me).then(|| view.roster.with_members(members));
        }
        let informed = monitor.informed_count(&members, view, config);
        let is_connected = is_on_roster && view.standing == MemberStanding::Connected;
        let may_join = !is_on_roster && !view.is_leaving && view.roster.may_add(informed);
        if is_connected || may_join {
            members.extend(joining_members(view, config));
            if members != view.roster.members {
                return Some(view.roster.with_members(members));
            }
        }
        let gone = find_gone(view).filter(|_| is_on_roster)?;
        members.remove(&gone).then(|| view.roster.with_members(members))
    }

    /// Drops the former roster once half of its members know of a store read that is so much later
    /// than the change that no member which missed the change continues without a store read.
    fn drop_former(
        &self,
        former: &BTreeSet<MemberName>,
        monitor: &PeerMonitor,
        view: &ClusterView,
        config: &NodeConfig,
    ) -> Option<MemberRoster> {
        let is_late = view.now.since(self.changed_at) > config.member_lease_ms;
        let own_count = usize::from(former.contains(&view.me));
        let informed = monitor.informed_count(former, view, config) + own_count;
        let is_settled = is_late && informed * 2 >= former.len();
        is_settled.then(|| MemberRoster { members: view.roster.members.clone(), former: None })
    }
}

/// Returns the members that belong on the roster: listed, heard and not shutting down.
fn joining_members<'a>(
    view: &'a ClusterView,
    config: &'a NodeConfig,
) -> impl Iterator<Item = MemberName> + 'a {
    view.members
        .iter()
        .filter(move |(member, entry)| {
            **member == view.me || entry.is_heard(view.now, config.isolation_ms)
        })
        .filter(|(_, entry)| entry.is_listed && !entry.is_leaving)
        .map(|(member, _)| member.clone())
}

/// Finds a member that has been gone for so long that it is removed from the roster.
fn find_gone(view: &ClusterView) -> Option<MemberName> {
    if view.standing != MemberStanding::Connected {
        return None;
    }
    let gone = view.members.iter().find(|(member, entry)| {
        let is_gone = entry.silent_ms(view.now) > ABSENCE_LIMIT_MS;
        is_gone && view.roster.members.contains(*member) && !view.owns_anything(member)
    });
    gone.map(|(member, _)| member.clone())
}
