//! Maintains this daemon's member record in the store.
//!
//! The record is attached to a store lease. There is one lease per daemon and not per piece, so the
//! cost of renewals does not grow with the number of pieces that the daemon owns.

use {
    crate::{NodeConfig, buffer::ActionBuffer},
    damaskrack_model::ClockTime,
    damaskrack_outside::{StoreCall, StoreError, StoreReply},
    damaskrack_ownership::MemberRecord,
};

/// Delay before a failed call is retried, in milliseconds.
const RETRY_MS: u64 = 300;
/// Number of renewals within the length of a lease.
const RENEWALS_PER_LEASE: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RegistrationPhase {
    Unleased,
    Granting,
    Leased,
    Writing,
    Listed,
    Renewing,
    Revoking,
    Revoked,
}

/// This daemon's lease and member record.
#[derive(Debug)]
pub(crate) struct MemberRegistration {
    phase: RegistrationPhase,
    call: u64,
    lease: u64,
    revision: u64,
    is_leaving_written: bool,
    next_at: ClockTime,
    /// When the record was first written under the current lease.
    registered_at: Option<ClockTime>,
    sent_at: ClockTime,
    renewed_at: Option<ClockTime>,
}

impl MemberRegistration {
    pub(crate) fn new() -> Self {
        Self {
            phase: RegistrationPhase::Unleased,
            call: 0,
            lease: 0,
            revision: 0,
            is_leaving_written: false,
            next_at: ClockTime::default(),
            registered_at: None,
            sent_at: ClockTime::default(),
            renewed_at: None,
        }
    }

    /// Returns when the current record was first written; `None` while there is none.
    pub(crate) fn registered_at(&self) -> Option<ClockTime> {
        let is_listed =
            matches!(self.phase, RegistrationPhase::Listed | RegistrationPhase::Renewing);
        self.registered_at.filter(|_| is_listed)
    }

    /// Returns when the last successful renewal of the lease was sent.
    pub(crate) fn renewed_at(&self) -> Option<ClockTime> {
        self.renewed_at
    }

    /// Returns whether the lease was revoked.
    pub(crate) fn is_revoked(&self) -> bool {
        self.phase == RegistrationPhase::Revoked
    }

    /// Starts to revoke the lease, so that the other members see at once that this daemon is gone.
    pub(crate) fn revoke(&mut self, timeout_ms: u64, out: &mut ActionBuffer) {
        if matches!(self.phase, RegistrationPhase::Revoking | RegistrationPhase::Revoked) {
            return;
        }
        if self.lease == 0 {
            self.phase = RegistrationPhase::Revoked;
            return;
        }
        self.call = out.store(StoreCall::LeaseRevoke { lease: self.lease }, timeout_ms);
        self.phase = RegistrationPhase::Revoking;
    }

    /// Starts the next call that is due.
    pub(crate) fn tick(
        &mut self,
        now: ClockTime,
        config: &NodeConfig,
        is_leaving: bool,
        out: &mut ActionBuffer,
    ) {
        if self.phase == RegistrationPhase::Listed && is_leaving && !self.is_leaving_written {
            self.phase = RegistrationPhase::Leased;
        }
        if now < self.next_at {
            return;
        }
        let (request, phase) = match self.phase {
            RegistrationPhase::Unleased => {
                let request = StoreCall::LeaseGrant { ttl_ms: config.member_lease_ms };
                (request, RegistrationPhase::Granting)
            }
            RegistrationPhase::Leased => {
                self.is_leaving_written = is_leaving;
                (self.put_request(config, is_leaving), RegistrationPhase::Writing)
            }
            RegistrationPhase::Listed => {
                (StoreCall::LeaseKeep { lease: self.lease }, RegistrationPhase::Renewing)
            }
            _ => return,
        };
        self.call = out.store(request, config.store_timeout_ms);
        self.sent_at = now;
        self.phase = phase;
    }

    fn put_request(&self, config: &NodeConfig, is_leaving: bool) -> StoreCall {
        let record = MemberRecord {
            member: config.member.clone(),
            boot: config.boot,
            address: config.peer_address,
            zone: config.zone.clone(),
            is_leaving,
        };
        StoreCall::Put {
            key: MemberRecord::store_key(&config.member),
            expected: self.revision,
            value: record.to_json(),
            lease: self.lease,
        }
    }

    /// Returns whether a store call belongs to the registration.
    pub(crate) fn owns_call(&self, call: u64) -> bool {
        self.call == call
    }

    /// Handles the result of a call.
    pub(crate) fn on_store(
        &mut self,
        now: ClockTime,
        config: &NodeConfig,
        result: Result<StoreReply, StoreError>,
    ) {
        let renewal_interval_ms = config.member_lease_ms / RENEWALS_PER_LEASE;
        let (phase, delay_ms) = match (self.phase, result) {
            (RegistrationPhase::Granting, Ok(StoreReply::Lease { lease })) => {
                self.lease = lease;
                self.renewed_at = Some(self.sent_at);
                (RegistrationPhase::Leased, 0)
            }
            (RegistrationPhase::Writing, Ok(StoreReply::Written { revision })) => {
                self.revision = revision;
                self.registered_at = self.registered_at.or(Some(now));
                (RegistrationPhase::Listed, renewal_interval_ms)
            }
            (RegistrationPhase::Writing, Ok(StoreReply::Conflict { current })) => {
                self.revision = current.map_or(0, |entry| entry.revision);
                (RegistrationPhase::Leased, 0)
            }
            (RegistrationPhase::Renewing, Ok(StoreReply::Lease { .. })) => {
                self.renewed_at = Some(self.sent_at);
                (RegistrationPhase::Listed, renewal_interval_ms)
            }
            (RegistrationPhase::Revoking, _) => (RegistrationPhase::Revoked, 0),
            (_, Ok(StoreReply::LeaseGone)) => {
                self.lease = 0;
                self.registered_at = None;
                self.is_leaving_written = false;
                (RegistrationPhase::Unleased, 0)
            }
            (RegistrationPhase::Granting, _) => (RegistrationPhase::Unleased, RETRY_MS),
            (RegistrationPhase::Writing, _) => (RegistrationPhase::Leased, RETRY_MS),
            (_, _) => (RegistrationPhase::Listed, RETRY_MS),
        };
        self.phase = phase;
        self.next_at = now.plus(delay_ms);
        self.call = 0;
    }
}
