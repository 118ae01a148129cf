//! Keeps this daemon on the roster while it runs, and takes off it who has gone for good.

use {
    crate::{LogLevel, NodeConfig, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{ClockTime, MemberName},
    damaskrack_ownership::{MemberRoster, MemberStanding},
    damaskrack_platform::StoreCall,
};

/// Time after which a member that is neither listed nor heard is taken off, in milliseconds.
const GONE_MS: u64 = 3_600_000;
/// Time after which a change that has not shown up is tried again, in milliseconds.
const RETRY_MS: u64 = 1_500;

/// Writes this daemon's changes of the roster.
#[derive(Debug, Default)]
pub(crate) struct RosterKeeper {
    revision: u64,
    call: u64,
    retry_at: ClockTime,
    /// Member that an operator has declared gone.
    forgotten: Option<MemberName>,
}

impl RosterKeeper {
    /// Takes a changed roster.
    pub(crate) fn on_record(&mut self, value: Option<&str>, revision: u64, view: &mut ClusterView) {
        view.roster = value.and_then(MemberRoster::from_json).unwrap_or_default();
        self.revision = if value.is_some() { revision } else { 0 };
        self.retry_at = ClockTime::default();
        self.forgotten.take_if(|member| !view.roster.members.contains(member));
    }

    /// Takes an operator's word that a member is gone and will not come back.
    pub(crate) fn forget(&mut self, member: MemberName) {
        self.forgotten = Some(member);
    }

    /// Tells whether a store call belongs to the keeper. Only the record itself counts.
    pub(crate) fn owns_call(&self, call: u64) -> bool {
        self.call == call
    }

    /// Starts the change that is due. `informed` counts the members on the roster that know that
    /// this daemon reaches the store; `is_done` tells that this daemon is about to exit.
    pub(crate) fn tick(
        &mut self,
        informed: usize,
        is_done: bool,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        if view.now < self.retry_at {
            return;
        }
        let Some(roster) = self.next_roster(informed, is_done, view) else { return };
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

    fn next_roster(
        &self,
        informed: usize,
        is_done: bool,
        view: &ClusterView,
    ) -> Option<MemberRoster> {
        let mut roster = view.roster.clone();
        let is_enlisted = roster.members.contains(&view.me);
        if is_done {
            return is_enlisted.then(|| {
                roster.members.remove(&view.me);
                roster
            });
        }
        if !is_enlisted {
            let may_join = !view.is_leaving && view.members.contains_key(&view.me);
            return (may_join && roster.may_add(informed)).then(|| {
                roster.members.insert(view.me.clone());
                roster
            });
        }
        let gone = self.forgotten.clone().or_else(|| find_gone(view))?;
        roster.members.remove(&gone).then_some(roster)
    }
}

/// Finds a member that has been gone for so long that it no longer counts.
fn find_gone(view: &ClusterView) -> Option<MemberName> {
    if view.standing != MemberStanding::Connected {
        return None;
    }
    let gone = view.members.iter().find(|(member, row)| {
        let since = row.unlisted_at.filter(|_| !row.is_listed);
        let last = since.map(|at| row.heard_at.map_or(at, |heard| heard.max(at)));
        let is_gone = last.is_some_and(|at| view.now.since(at) > GONE_MS);
        is_gone && view.roster.members.contains(*member) && !view.owns_anything(member)
    });
    gone.map(|(member, _)| member.clone())
}
