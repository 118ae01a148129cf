//! The age of the list of workers.
//!
//! The list is kept by calls to the store. While these have no response, nobody reports that workers
//! shut down, shrink or leave, although other calls to the store may succeed. So the list counts as
//! of the time when the last answered call was sent, and not as unchanged.

/// What is known of the list of workers.
#[derive(Debug, Default)]
pub(super) struct WorkerList {
    /// Time at which the list was complete.
    confirmed_ms: u64,
    /// The list was outdated at the last check.
    was_outdated: bool,
    /// Time since which the list is current.
    current_since_ms: u64,
}

/// Change of a list between two checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListChange {
    /// It has become outdated.
    Outdated,
    /// It is current again.
    Current,
    /// Nothing has changed.
    Unchanged,
}

impl WorkerList {
    /// Records that the list has all changes made until a time.
    pub(super) fn confirm(&mut self, as_of_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(as_of_ms);
    }

    /// Returns the age of the list, in milliseconds.
    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Returns whether the list has been current for some time, in milliseconds.
    pub(super) fn has_been_current_for(&self, ms: u64, now_ms: u64) -> bool {
        now_ms >= self.current_since_ms + ms
    }

    /// Compares the list with the last check.
    pub(super) fn check(&mut self, now_ms: u64, max_age_ms: u64) -> ListChange {
        let is_outdated = self.age_ms(now_ms) > max_age_ms;
        if is_outdated {
            self.current_since_ms = now_ms;
        }
        match (std::mem::replace(&mut self.was_outdated, is_outdated), is_outdated) {
            (false, true) => ListChange::Outdated,
            (true, false) => ListChange::Current,
            _ => ListChange::Unchanged,
        }
    }
}
